package faultinjection

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"
)

// fleetSettleTime is the least time that members have to agree on the membership before the first request.
const fleetSettleTime = 1500 * time.Millisecond

// Setup names the program to run and the directory for its files.
type Setup struct {
	Binary string // path of the damsonscale executable
	Dir    string // existing directory for configuration files, state and logs
}

// Run runs a timeline and evaluates the outcome. It ends all processes that it has started, even if ctx ends first.
func Run(ctx context.Context, setup Setup, t *Timeline) (*Report, error) {
	if err := t.Validate(); err != nil {
		return nil, err
	}
	p := newExperiment(setup, t)
	defer p.close()
	if err := p.start(ctx); err != nil {
		return nil, err
	}
	return p.runFaults(ctx)
}

// experiment is the state of a running timeline: its servers, processes and links, and what was observed.
type experiment struct {
	setup               Setup
	timeline            *Timeline
	starter             *ProcessStarter
	configuredBalancers int // number of balancers in the settings, if larger than the number of processes
	servers             *servers
	registry            *registry
	processes           []*process
	links               map[[2]int]*link // by the indexes of the sending and the receiving process

	memberAddresses []string // addresses at which the members listen, without the links

	mu           sync.Mutex
	crashes      []string             // a description of each crash
	fenceSeenAt  map[uint64]time.Time // by fence: when a member first reported it
	stepResults  []string             // commands of operators with their replies, in order of the replies
	rolloutTimes map[uint64]time.Time // by version: when the command to roll it out was sent
	maxOverLimit int                  // largest number of members that got no lease at the same time, less the number that may be without one
}

func newExperiment(setup Setup, t *Timeline) *experiment {
	return &experiment{setup: setup, timeline: t, starter: NewProcessStarter(), links: map[[2]int]*link{}}
}

// start starts the servers of the timeline, discovery and the processes.
func (p *experiment) start(ctx context.Context) (err error) {
	if p.servers, err = startServers(p.timeline.Servers, p.timeline.Seed); err != nil {
		return err
	}
	return p.launch(ctx)
}

// launch starts discovery and the processes, and waits until all are ready.
func (p *experiment) launch(ctx context.Context) (err error) {
	if p.registry, err = startRegistry(&p.servers.list); err != nil {
		return err
	}
	addrs, err := FreeAddrs(2 * p.timeline.Processes)
	if err != nil {
		return err
	}
	listens, members := addrs[:p.timeline.Processes], addrs[p.timeline.Processes:]
	p.memberAddresses = members
	for i := range listens {
		process, err := p.newProcess(i, listens[i], members)
		if err != nil {
			return err
		}
		p.processes = append(p.processes, process)
		if err := process.start(); err != nil {
			return err
		}
	}
	for _, process := range p.processes {
		if err := process.waitReady(ctx); err != nil {
			return err
		}
	}
	if p.timeline.Fleet {
		sleep(ctx, max(fleetSettleTime, 3*ms(p.timeline.LeaseMs)))
	}
	return ctx.Err()
}

// FreeAddrs returns n distinct free addresses on a random loopback host. On 127.0.0.1, an outgoing connection could take the port before
// the process listens, or while the process is down.
func FreeAddrs(n int) ([]string, error) {
	var addrs []string
	host := fmt.Sprintf("127.%d.%d.%d:0", 1+rand.IntN(254), rand.IntN(256), 1+rand.IntN(254))
	for range n {
		ln, err := net.Listen("tcp", host)
		if err != nil {
			return nil, err
		}
		defer ln.Close()
		addrs = append(addrs, ln.Addr().String())
	}
	return addrs, nil
}

func processName(i int) string { return fmt.Sprintf("n%d", i+1) }

// newProcess writes the files of process i and returns the process without starting it.
func (p *experiment) newProcess(i int, listen string, members []string) (*process, error) {
	sidecar := &process{
		name: processName(i), binary: p.setup.Binary, listen: listen, dir: filepath.Join(p.setup.Dir, processName(i)), starter: p.starter,
	}
	sidecar.config = p.config(i, listen)
	if p.timeline.Fleet {
		path, err := p.writeOptions(i, sidecar.dir, members)
		if err != nil {
			return nil, err
		}
		sidecar.env = append(sidecar.env, "DAMSONSCALE_OPTIONS="+path)
	}
	return sidecar, sidecar.prepare()
}

// config returns the configuration file of process i.
func (p *experiment) config(i int, listen string) map[string]any {
	settings := p.settings(i, ValidSettings)
	for _, s := range p.timeline.Steps {
		if slices.Contains(s.RejectingMembers, i) {
			settings["Aside"] = true // the versions of rollouts lack this key, so that this process rejects them
		}
	}
	return map[string]any{
		"name": processName(i), "listen": listen, "discovery": p.registry.addr, "seed": fmt.Sprintf("%016x", p.timeline.Seed+uint64(i)),
		"limits":   map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024},
		"known":    &p.servers.list,
		"settings": settings,
	}
}

// settings returns the settings of the given kind for process i. A rollout sends the settings of process 0 to all members.
func (p *experiment) settings(i int, kind SettingsKind) map[string]any {
	var services []map[string]any
	for _, c := range classes {
		deadline := p.timeline.DeadlineMs * 1000
		if kind == DegradingSettings {
			deadline = 1000
		}
		s := map[string]any{
			"Name": c.name, "Semantics": c.semantics, "AimUs": deadline / 2, "DeadlineUs": deadline, "LateShare": 0.3, "Worth": 1,
		}
		if c.hasKey {
			s["Group"], s["WindowUs"] = "all", p.timeline.DeadlineMs*4000
		}
		services = append(services, s)
	}
	settings := map[string]any{
		"Balancers": max(p.configuredBalancers, p.timeline.Processes), "Me": i, "Zone": "a", "RegistryMode": "on_request", "WeightSource": "nominal", "TickUs": 5000,
		"Services": services,
		"Realms":   []any{map[string]any{"Name": "acme", "AllowancePerS": 10_000, "Share": 1.0}},
		"Limits": map[string]any{
			"Cancel": true, "RetryAfter": true, "MaxAttempts": 4, "MaxRetryAfterUs": 1_000_000, "ConnIdleUs": 10_000_000,
			"DialTimeoutUs": 250_000,
		},
		"ScoringMix": map[string]any{"Whole": 1},
		"Guarantees": map[string]any{
			"AnswerSlackUs": 20_000, "AskEveryUs": 10_000_000, "StopSendingWithinUs": 2_000_000, "ColdFrom": 0.3, "ColdUs": 8_000_000,
			"OverloadFactor": 3, "FallUs": 3_000_000,
		},
	}
	if kind == UnknownKeySettings {
		settings["Sideways"] = true
	}
	return settings
}

// writeOptions writes the options file of process i and returns its path. The process reaches each other member through a link, which
// writeOptions starts.
func (p *experiment) writeOptions(i int, dir string, members []string) (string, error) {
	state, err := p.stateDir(i, dir)
	if err != nil {
		return "", err
	}
	var b strings.Builder
	fmt.Fprintf(&b, "[fleet]\naddress = %q\nstate_dir = %q\nmembers = [\n", members[i], state)
	for j, addr := range members {
		if j != i {
			l, err := startLink(addr, p.timeline.Seed<<8+uint64(i*len(members)+j))
			if err != nil {
				return "", err
			}
			p.links[[2]int{i, j}], addr = l, l.addr()
		}
		fmt.Fprintf(&b, "  {name = %q, address = %q},\n", processName(j), addr)
	}
	fmt.Fprint(&b, "]\n")
	if t := p.timeline.LeaseMs; t > 0 {
		fmt.Fprintf(&b, "lease_ms = %d\n", t)
	}
	fmt.Fprint(&b, "[takeover]\nenabled = true\n")
	if len(members) < 3 {
		fmt.Fprint(&b, "holders = 1\n")
	}
	if p.timeline.Audit {
		b.WriteString("[audit]\nenabled = true\n")
		if !p.timeline.InMemory {
			fmt.Fprintf(&b, "dir = %q\n", filepath.Join(dir, "audit"))
		}
	}
	fmt.Fprint(&b, "[takeover.custody]\n")
	for _, c := range p.timeline.Strict {
		fmt.Fprintf(&b, "%s = \"strict\"\n", c)
	}
	path := filepath.Join(dir, "options.toml")
	return path, os.WriteFile(path, []byte(b.String()), 0o644)
}

// stateDir returns the path of the state directory of process i. If the timeline gives the process a read-only or a full disk, the path is
// prepared so that writes fail.
func (p *experiment) stateDir(i int, dir string) (string, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return "", err
	}
	disk := WritableDisk
	if i < len(p.timeline.Disks) {
		disk = p.timeline.Disks[i]
	}
	switch disk {
	case ReadOnlyDisk: // a path below a regular file cannot be written, not even by root
		file := filepath.Join(dir, "file")
		return filepath.Join(file, "state"), os.WriteFile(file, nil, 0o644)
	case FullDisk: // each write to the database fails with ENOSPC
		state := filepath.Join(dir, "state")
		if err := os.MkdirAll(state, 0o755); err != nil {
			return "", err
		}
		return state, os.Symlink("/dev/full", filepath.Join(state, "fleet.db"))
	}
	return filepath.Join(dir, "state"), nil
}

// runFaults injects the faults and runs the commands of operators while clients send requests, then evaluates the observations.
func (p *experiment) runFaults(ctx context.Context) (*Report, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	start := time.Now()
	var background sync.WaitGroup // faults and steps
	failed := make(chan error, maxFaults)
	for i := range p.timeline.Faults {
		f := &p.timeline.Faults[i]
		background.Go(func() {
			if err := p.injectFault(ctx, start, f); err != nil && ctx.Err() == nil {
				failed <- err
			}
		})
	}
	addrs := make([]string, len(p.processes))
	for i, process := range p.processes {
		addrs[i] = process.listen
	}
	for i := range p.timeline.Steps {
		s := &p.timeline.Steps[i]
		background.Go(func() { p.runStep(ctx, start, i, s) })
	}
	stall := make(chan time.Duration, 1)
	watchEnded := make(chan struct{})
	watchContext, stopWatching := context.WithCancel(ctx)
	go func() { defer close(watchEnded); p.watchFences(watchContext) }()
	defer stopWatching()
	go func() { stall <- measureStall(watchContext) }()
	requests := newClients(p.timeline, addrs).run(ctx, start)
	background.Wait()
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	select {
	case err := <-failed:
		return nil, err
	default:
	}
	p.recordCrashes()
	var cpu time.Duration
	var rss int64
	for _, process := range p.processes {
		processCPU, processRSS := process.usage()
		cpu, rss = cpu+processCPU, max(rss, processRSS)
	}
	sleep(ctx, ms(p.timeline.DeadlineMs)/2) // executions that start after the deadline still count
	observed := &observations{requests: requests, executions: p.servers.executionsByRequest(), deadline: ms(p.timeline.DeadlineMs), crashes: p.crashes}
	for _, process := range p.processes {
		process.mu.Lock()
		observed.uptimes = append(observed.uptimes, append([]interval(nil), process.uptimes...))
		process.mu.Unlock()
	}
	r := evaluate(observed)
	r.CPUUs, r.RSSMB = cpu.Microseconds()/int64(max(1, len(requests))), float64(rss)/(1<<20)
	stopWatching()
	<-watchEnded
	r.StallMs = (<-stall).Milliseconds()
	if p.timeline.Audit {
		err := p.checkAudit(ctx, observed, r)
		return r, err
	}
	return r, nil
}

// measureStall returns the longest time for which this process was not scheduled before ctx ended.
func measureStall(ctx context.Context) (longest time.Duration) {
	const step = 10 * time.Millisecond
	tick := time.NewTicker(step)
	defer tick.Stop()
	for last := time.Now(); ; {
		select {
		case <-ctx.Done():
			return longest
		case <-tick.C:
			now := time.Now()
			longest, last = max(longest, now.Sub(last)-step), now
		}
	}
}

// recordCrashes records processes that exited unexpectedly.
func (p *experiment) recordCrashes() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, process := range p.processes {
		if process.crashed() {
			p.crashes = append(p.crashes, "crash: process "+process.name+" exited unexpectedly; its log is "+process.log.Name())
		}
	}
}

// injectFault waits for the start of a fault, injects it, and ends it after its duration.
func (p *experiment) injectFault(ctx context.Context, start time.Time, f *Fault) error {
	sleep(ctx, time.Until(start.Add(ms(f.AtMs))))
	if ctx.Err() != nil {
		return nil
	}
	waitForEnd := func() {
		end := ms(f.AtMs + f.DurationMs)
		if f.DurationMs == 0 {
			end = ms(p.timeline.LengthMs)
		}
		sleep(ctx, time.Until(start.Add(end)))
	}
	process := p.processes[f.Process]
	switch f.Kind {
	case Kill, Stop:
		process.suspend(f.Kind == Stop)
		waitForEnd()
		if f.Kind == Kill && f.DurationMs == 0 {
			return nil
		}
		return process.resume(f.Kind == Stop)
	case Terminate:
		return process.terminateAndRestart()
	case Upgrade:
		return process.upgrade(ctx)
	case RestartLoop:
		for end := start.Add(ms(f.AtMs + f.DurationMs)); time.Now().Before(end) && ctx.Err() == nil; sleep(ctx, ms(f.IntervalMs)) {
			process.suspend(false)
			if err := process.resume(false); err != nil {
				return err
			}
		}
		return nil
	}
	links := []*link{p.links[[2]int{f.Process, f.Peer}]}
	if f.BothWays {
		links = append(links, p.links[[2]int{f.Peer, f.Process}])
	}
	for _, l := range links {
		if l == nil {
			return nil // there are no links without a fleet
		}
		l.setFault(f, true)
		defer l.setFault(f, false)
	}
	waitForEnd()
	return nil
}

// close ends the processes, links, discovery and servers.
func (p *experiment) close() {
	for _, process := range p.processes {
		process.close()
	}
	for _, l := range p.links {
		l.close()
	}
	if p.registry != nil {
		p.registry.Close()
	}
	if p.servers != nil {
		p.servers.close()
	}
	p.starter.Close()
}

// Save writes a timeline and its report as JSON files into dir, which it creates if needed.
func Save(dir string, t *Timeline, r *Report) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	text, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return err
	}
	return errors.Join(t.Write(filepath.Join(dir, "timeline.json")), os.WriteFile(filepath.Join(dir, "report.json"), append(text, '\n'), 0o644))
}
