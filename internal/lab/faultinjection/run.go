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

const settleFleet = 1500 * time.Millisecond // for the members to agree on each other before the first request

// Setup is where a timeline is played.
type Setup struct {
	Binary string // of the program
	Dir    string // for configurations, state and logs
}

// Run plays a timeline and judges it. It ends all processes that it started, also when ctx ends before.
func Run(ctx context.Context, set Setup, t *Timeline) (*Report, error) {
	if err := t.Validate(); err != nil {
		return nil, err
	}
	p := newPlay(set, t)
	defer p.close()
	if err := p.begin(ctx); err != nil {
		return nil, err
	}
	return p.judge(ctx)
}

// play is a timeline under way.
type play struct {
	set       Setup
	line      *Timeline
	starter   *Starter
	balancers int // that the settings tell of, where more than there are processes
	servers   *servers
	registry  *registry
	processes []*process
	links     map[[2]int]*link

	members []string // addresses of the fleet, as nothing between stands

	mu      sync.Mutex
	crashes []string
	fences  map[uint64]time.Time // when each was first seen by anybody
	steps   []string             // of operators, with what became of them
	ordered map[uint64]time.Time // when each version was
	over    int                  // members shut out at once past the guard, at most
}

func newPlay(set Setup, t *Timeline) *play {
	return &play{set: set, line: t, starter: NewStarter(), links: map[[2]int]*link{}}
}

func (p *play) begin(ctx context.Context) (err error) {
	if p.servers, err = startServers(p.line.Servers, p.line.Seed); err != nil {
		return err
	}
	return p.launch(ctx)
}

// launch starts discovery and the processes beside the servers, and waits until all serve.
func (p *play) launch(ctx context.Context) (err error) {
	if p.registry, err = startRegistry(&p.servers.list); err != nil {
		return err
	}
	fleet, err := FreeAddrs(2 * p.line.Processes)
	if err != nil {
		return err
	}
	listens, members := fleet[:p.line.Processes], fleet[p.line.Processes:]
	p.members = members
	for i := range listens {
		one, err := p.prepare(i, listens[i], members)
		if err != nil {
			return err
		}
		p.processes = append(p.processes, one)
		if err := one.start(); err != nil {
			return err
		}
	}
	for _, one := range p.processes {
		if err := one.ready(ctx); err != nil {
			return err
		}
	}
	if p.line.Fleet {
		sleep(ctx, max(settleFleet, 3*ms(p.line.LeaseMs)))
	}
	return ctx.Err()
}

// FreeAddrs finds addresses that are free now, all different, on a loopback host of their own. Guards against a port that
// some connection from 127.0.0.1 takes before the process listens, or while it is down.
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

func name(i int) string { return fmt.Sprintf("n%d", i+1) }

func (p *play) prepare(i int, listen string, members []string) (*process, error) {
	one := &process{
		name: name(i), binary: p.set.Binary, listen: listen, dir: filepath.Join(p.set.Dir, name(i)), starter: p.starter,
	}
	one.config = p.config(i, listen)
	if p.line.Fleet {
		path, err := p.options(i, one.dir, members)
		if err != nil {
			return nil, err
		}
		one.env = append(one.env, "DAMSONSCALE_OPTIONS="+path)
	}
	return one, one.prepare()
}

// config is the platform's configuration of one process.
func (p *play) config(i int, listen string) map[string]any {
	settings := p.settings(i, Good)
	for _, s := range p.line.Steps {
		if slices.Contains(s.Refusers, i) {
			settings["Aside"] = true
		}
	}
	return map[string]any{
		"name": name(i), "listen": listen, "discovery": p.registry.addr, "seed": fmt.Sprintf("%016x", p.line.Seed+uint64(i)),
		"limits":   map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024},
		"known":    &p.servers.list,
		"settings": settings,
	}
}

// settings are those of one process, or a version for all.
func (p *play) settings(i int, f File) map[string]any {
	var services []map[string]any
	for _, c := range classes {
		deadline := p.line.DeadlineMs * 1000
		if f == Falls {
			deadline = 1000
		}
		s := map[string]any{
			"Name": c.name, "Semantics": c.semantics, "AimUs": deadline / 2, "DeadlineUs": deadline, "LateShare": 0.3, "Worth": 1,
		}
		if c.key {
			s["Group"], s["WindowUs"] = "all", p.line.DeadlineMs*4000
		}
		services = append(services, s)
	}
	settings := map[string]any{
		"Balancers": max(p.balancers, p.line.Processes), "Me": i, "Zone": "a", "RegistryMode": "on_request", "WeightSource": "nominal", "TickUs": 5000,
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
	if f == Unknown {
		settings["Sideways"] = true
	}
	return settings
}

// options writes the fleet's options of one process: it reaches each other member over a link of its own.
func (p *play) options(i int, dir string, members []string) (string, error) {
	state, err := p.state(i, dir)
	if err != nil {
		return "", err
	}
	var b strings.Builder
	fmt.Fprintf(&b, "[fleet]\naddress = %q\nstate_dir = %q\nmembers = [\n", members[i], state)
	for j, addr := range members {
		if j != i {
			l, err := startLink(addr, p.line.Seed<<8+uint64(i*len(members)+j))
			if err != nil {
				return "", err
			}
			p.links[[2]int{i, j}], addr = l, l.addr()
		}
		fmt.Fprintf(&b, "  {name = %q, address = %q},\n", name(j), addr)
	}
	fmt.Fprint(&b, "]\n")
	if t := p.line.LeaseMs; t > 0 {
		fmt.Fprintf(&b, "lease_ms = %d\n", t)
	}
	fmt.Fprint(&b, "[takeover]\nenabled = true\n")
	if len(members) < 3 {
		fmt.Fprint(&b, "holders = 1\n")
	}
	if p.line.Audit {
		b.WriteString("[audit]\nenabled = true\n")
		if !p.line.InMemory {
			fmt.Fprintf(&b, "dir = %q\n", filepath.Join(dir, "audit"))
		}
	}
	fmt.Fprint(&b, "[takeover.custody]\n")
	for _, c := range p.line.Strict {
		fmt.Fprintf(&b, "%s = \"strict\"\n", c)
	}
	path := filepath.Join(dir, "options.toml")
	return path, os.WriteFile(path, []byte(b.String()), 0o644)
}

// state makes the place where a process keeps its state, or one where it can't.
func (p *play) state(i int, dir string) (string, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return "", err
	}
	disk := Writable
	if i < len(p.line.Disks) {
		disk = p.line.Disks[i]
	}
	switch disk {
	case ReadOnly: // no rights are needed to be refused below a file
		file := filepath.Join(dir, "file")
		return filepath.Join(file, "state"), os.WriteFile(file, nil, 0o644)
	case Full: // each write fails with ENOSPC
		state := filepath.Join(dir, "state")
		if err := os.MkdirAll(state, 0o755); err != nil {
			return "", err
		}
		return state, os.Symlink("/dev/full", filepath.Join(state, "fleet.db"))
	}
	return filepath.Join(dir, "state"), nil
}

// judge plays the faults under the clients' requests.
func (p *play) judge(ctx context.Context) (*Report, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	start := time.Now()
	var faults sync.WaitGroup
	failed := make(chan error, mostFaults)
	for i := range p.line.Faults {
		f := &p.line.Faults[i]
		faults.Go(func() {
			if err := p.fault(ctx, start, f); err != nil && ctx.Err() == nil {
				failed <- err
			}
		})
	}
	addrs := make([]string, len(p.processes))
	for i, one := range p.processes {
		addrs[i] = one.listen
	}
	for i := range p.line.Steps {
		s := &p.line.Steps[i]
		faults.Go(func() { p.step(ctx, start, i, s) })
	}
	stall := make(chan time.Duration, 1)
	watched := make(chan struct{})
	watching, unwatch := context.WithCancel(ctx)
	go func() { defer close(watched); p.watch(watching) }()
	defer unwatch()
	go func() { stall <- longestStall(watching) }()
	requests := newClients(p.line, addrs).run(ctx, start)
	faults.Wait()
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	select {
	case err := <-failed:
		return nil, err
	default:
	}
	p.look()
	var cpu time.Duration
	var rss int64
	for _, one := range p.processes {
		c, m := one.used()
		cpu, rss = cpu+c, max(rss, m)
	}
	sleep(ctx, ms(p.line.DeadlineMs)/2) // what is sent too late still counts
	rec := &record{requests: requests, runs: p.servers.tally(), deadline: ms(p.line.DeadlineMs), crashes: p.crashes}
	for _, one := range p.processes {
		one.mu.Lock()
		rec.ups = append(rec.ups, append([]span(nil), one.ups...))
		one.mu.Unlock()
	}
	r := judge(rec)
	r.CPUUs, r.RSSMB = cpu.Microseconds()/int64(max(1, len(requests))), float64(rss)/(1<<20)
	unwatch()
	<-watched
	r.StallMs = (<-stall).Milliseconds()
	if p.line.Audit {
		err := p.audit(ctx, rec, r)
		return r, err
	}
	return r, nil
}

// longestStall tells for how long this process did not run at most, until ctx ends.
func longestStall(ctx context.Context) (most time.Duration) {
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

// look notes processes that ended by themselves.
func (p *play) look() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, one := range p.processes {
		if one.crashed() {
			p.crashes = append(p.crashes, "crash: "+one.name+", see "+one.log.Name())
		}
	}
}

// fault begins and ends one fault in its time.
func (p *play) fault(ctx context.Context, start time.Time, f *Fault) error {
	sleep(ctx, time.Until(start.Add(ms(f.AtMs))))
	if ctx.Err() != nil {
		return nil
	}
	lasts := func() {
		to := ms(f.AtMs + f.ForMs)
		if f.ForMs == 0 {
			to = ms(p.line.LengthMs)
		}
		sleep(ctx, time.Until(start.Add(to)))
	}
	one := p.processes[f.Who]
	switch f.Kind {
	case Kill, Stop:
		one.hold(f.Kind == Stop)
		lasts()
		if f.Kind == Kill && f.ForMs == 0 {
			return nil
		}
		return one.release(f.Kind == Stop)
	case Term:
		return one.term()
	case Upgrade:
		return one.upgrade(ctx)
	case Loop:
		for end := start.Add(ms(f.AtMs + f.ForMs)); time.Now().Before(end) && ctx.Err() == nil; sleep(ctx, ms(f.EveryMs)) {
			one.hold(false)
			if err := one.release(false); err != nil {
				return err
			}
		}
		return nil
	}
	ways := []*link{p.links[[2]int{f.Who, f.To}]}
	if f.Both {
		ways = append(ways, p.links[[2]int{f.To, f.Who}])
	}
	for _, l := range ways {
		if l == nil {
			return nil // without a fleet there are no links
		}
		l.set(f, true)
		defer l.set(f, false)
	}
	lasts()
	return nil
}

func (p *play) close() {
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

// Save writes a timeline and what it came to beside each other.
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
