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

// fleetSettleTime is how long members get to agree on the membership before the first request.
const fleetSettleTime = 1500 * time.Millisecond

// Setup says which program to run, and where.
type Setup struct {
	Binary string // path of the program
	Dir    string // existing directory for configurations, state and logs
}

// Run runs a timeline and evaluates it. It ends all processes that it started, also when ctx ends first.
func Run(ctx context.Context, set Setup, t *Timeline) (*Report, error) {
	if err := t.Validate(); err != nil {
		return nil, err
	}
	p := newExperiment(set, t)
	defer p.close()
	if err := p.start(ctx); err != nil {
		return nil, err
	}
	return p.runFaults(ctx)
}

// experiment is a running timeline.
type experiment struct {
	setup               Setup
	timeline            *Timeline
	starter             *ProcessStarter
	configuredBalancers int // number of balancers in the settings, where larger than the number of processes
	servers             *servers
	registry            *registry
	processes           []*process
	links               map[[2]int]*link

	memberAddresses []string // the members' own addresses, without links

	mu           sync.Mutex
	crashes      []string
	fenceSeenAt  map[uint64]time.Time // by fence: when it was first reported
	stepResults  []string             // operators' commands with their replies
	rolloutTimes map[uint64]time.Time // by version: when its command was sent
	maxOverLimit int                  // most members without a lease at once beyond the allowed share
}

func newExperiment(set Setup, t *Timeline) *experiment {
	return &experiment{setup: set, timeline: t, starter: NewProcessStarter(), links: map[[2]int]*link{}}
}

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
	fleet, err := FreeAddrs(2 * p.timeline.Processes)
	if err != nil {
		return err
	}
	listens, members := fleet[:p.timeline.Processes], fleet[p.timeline.Processes:]
	p.memberAddresses = members
	for i := range listens {
		one, err := p.newProcess(i, listens[i], members)
		if err != nil {
			return err
		}
		p.processes = append(p.processes, one)
		if err := one.start(); err != nil {
			return err
		}
	}
	for _, one := range p.processes {
		if err := one.waitReady(ctx); err != nil {
			return err
		}
	}
	if p.timeline.Fleet {
		sleep(ctx, max(fleetSettleTime, 3*ms(p.timeline.LeaseMs)))
	}
	return ctx.Err()
}

// FreeAddrs returns n distinct free addresses on a random loopback host. Ports of 127.0.0.1 could be taken by an outgoing
// connection before the process listens, or while it is down.
func FreeAddrs(n int) ([]string, error) {
	var out []string
	host := fmt.Sprintf("127.%d.%d.%d:0", 1+rand.IntN(254), rand.IntN(256), 1+rand.IntN(254))
	for range n {
		ln, err := net.Listen("tcp", host)
		if err != nil {
			return nil, err
		}
		defer ln.Close()
		out = append(out, ln.Addr().String())
	}
	return out, nil
}

func processName(i int) string { return fmt.Sprintf("n%d", i+1) }

func (p *experiment) newProcess(i int, listen string, members []string) (*process, error) {
	one := &process{
		name: processName(i), binary: p.setup.Binary, listen: listen, dir: filepath.Join(p.setup.Dir, processName(i)), starter: p.starter,
	}
	one.config = p.config(i, listen)
	if p.timeline.Fleet {
		path, err := p.writeOptions(i, one.dir, members)
		if err != nil {
			return nil, err
		}
		one.env = append(one.env, "DAMSONSCALE_OPTIONS="+path)
	}
	return one, one.prepare()
}

// config is the configuration file of one process.
func (p *experiment) config(i int, listen string) map[string]any {
	settings := p.settings(i, ValidSettings)
	for _, s := range p.timeline.Steps {
		if slices.Contains(s.RejectingMembers, i) {
			settings["Aside"] = true
		}
	}
	return map[string]any{
		"name": processName(i), "listen": listen, "discovery": p.registry.addr, "seed": fmt.Sprintf("%016x", p.timeline.Seed+uint64(i)),
		"limits":   map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024},
		"known":    &p.servers.list,
		"settings": settings,
	}
}

// settings are the settings of process i, or of a version for all.
func (p *experiment) settings(i int, f SettingsKind) map[string]any {
	var services []map[string]any
	for _, c := range classes {
		deadline := p.timeline.DeadlineMs * 1000
		if f == DegradingSettings {
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
	if f == UnknownKeySettings {
		settings["Sideways"] = true
	}
	return settings
}

// writeOptions writes the options file of one process, which reaches each other member over a link of its own.
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

// stateDir prepares the state directory of a process, or one where writes fail.
func (p *experiment) stateDir(i int, dir string) (string, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return "", err
	}
	disk := WritableDisk
	if i < len(p.timeline.Disks) {
		disk = p.timeline.Disks[i]
	}
	switch disk {
	case ReadOnlyDisk: // a path below a file fails for any user
		file := filepath.Join(dir, "file")
		return filepath.Join(file, "state"), os.WriteFile(file, nil, 0o644)
	case FullDisk: // each write fails with ENOSPC
		state := filepath.Join(dir, "state")
		if err := os.MkdirAll(state, 0o755); err != nil {
			return "", err
		}
		return state, os.Symlink("/dev/full", filepath.Join(state, "fleet.db"))
	}
	return filepath.Join(dir, "state"), nil
}

// runFaults injects the faults and operators' steps while clients send requests, then evaluates the observations.
func (p *experiment) runFaults(ctx context.Context) (*Report, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	start := time.Now()
	var faults sync.WaitGroup
	failed := make(chan error, maxFaults)
	for i := range p.timeline.Faults {
		f := &p.timeline.Faults[i]
		faults.Go(func() {
			if err := p.injectFault(ctx, start, f); err != nil && ctx.Err() == nil {
				failed <- err
			}
		})
	}
	addrs := make([]string, len(p.processes))
	for i, one := range p.processes {
		addrs[i] = one.listen
	}
	for i := range p.timeline.Steps {
		s := &p.timeline.Steps[i]
		faults.Go(func() { p.runStep(ctx, start, i, s) })
	}
	stall := make(chan time.Duration, 1)
	watched := make(chan struct{})
	watching, unwatch := context.WithCancel(ctx)
	go func() { defer close(watched); p.watchFences(watching) }()
	defer unwatch()
	go func() { stall <- measureStall(watching) }()
	requests := newClients(p.timeline, addrs).run(ctx, start)
	faults.Wait()
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
	for _, one := range p.processes {
		c, m := one.usage()
		cpu, rss = cpu+c, max(rss, m)
	}
	sleep(ctx, ms(p.timeline.DeadlineMs)/2) // executions after the deadline still count
	rec := &observations{requests: requests, executions: p.servers.executionsByRequest(), deadline: ms(p.timeline.DeadlineMs), crashes: p.crashes}
	for _, one := range p.processes {
		one.mu.Lock()
		rec.uptimes = append(rec.uptimes, append([]interval(nil), one.uptimes...))
		one.mu.Unlock()
	}
	r := evaluate(rec)
	r.CPUUs, r.RSSMB = cpu.Microseconds()/int64(max(1, len(requests))), float64(rss)/(1<<20)
	unwatch()
	<-watched
	r.StallMs = (<-stall).Milliseconds()
	if p.timeline.Audit {
		err := p.checkAudit(ctx, rec, r)
		return r, err
	}
	return r, nil
}

// measureStall returns the longest time for which this process did not run, until ctx ends.
func measureStall(ctx context.Context) (most time.Duration) {
	const step = 10 * time.Millisecond
	tick := time.NewTicker(step)
	defer tick.Stop()
	for last := time.Now(); ; {
		select {
		case <-ctx.Done():
			return most
		case <-tick.C:
			now := time.Now()
			most, last = max(most, now.Sub(last)-step), now
		}
	}
}

// recordCrashes records processes that exited unexpectedly.
func (p *experiment) recordCrashes() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, one := range p.processes {
		if one.crashed() {
			p.crashes = append(p.crashes, "crash: "+one.name+", see "+one.log.Name())
		}
	}
}

// injectFault starts and ends one fault at its times.
func (p *experiment) injectFault(ctx context.Context, start time.Time, f *Fault) error {
	sleep(ctx, time.Until(start.Add(ms(f.AtMs))))
	if ctx.Err() != nil {
		return nil
	}
	waitForEnd := func() {
		to := ms(f.AtMs + f.DurationMs)
		if f.DurationMs == 0 {
			to = ms(p.timeline.LengthMs)
		}
		sleep(ctx, time.Until(start.Add(to)))
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
			return nil // without a fleet there are no links
		}
		l.setFault(f, true)
		defer l.setFault(f, false)
	}
	waitForEnd()
	return nil
}

func (p *experiment) close() {
	for _, one := range p.processes {
		one.close()
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

// Save writes a timeline and its report into dir.
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
