package fleetscale

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"damsonscale/internal/fleet"
	"damsonscale/internal/lab/faultinjection"
	"damsonscale/internal/rollout"
)

const (
	startWithin = 2 * time.Minute  // until each member has a lease and a list
	lastWithin  = 30 * time.Second // of the end, for changes to be in force; past it they are missing
	watchEvery  = 250 * time.Millisecond
	orderWithin = 5 * time.Second // of the end of the measured time, for an order that is under way
	orderAgain  = 20 * time.Millisecond
	addrsAtOnce = 500
)

// Errors that end a run.
var (
	ErrMemory      = errors.New("the run took more memory than it may, and was ended")
	ErrInterrupted = errors.New("interrupted")
)

// run is one under way.
type run struct {
	conf     Config
	lay      *layout
	children *children
	book     *book
	list     *listService
	settings json.RawMessage
	began    time.Time

	mu      sync.Mutex
	made    map[int][]mark // versions that were agreed, by fleet
	refused int
	peak    int64
	gone    string // the member that a fault has ended; nothing is expected of it
}

// Run measures. It ends all that it started, also when ctx ends before, and returns why it could not finish.
func Run(ctx context.Context, c Config) (*Report, error) {
	if err := c.Validate(); err != nil {
		return nil, err
	}
	c.Audit = c.Audit || c.Changes > 0 // only members that keep account take orders
	l := lay(&c)
	if err := c.fits(l); err != nil {
		return nil, err
	}
	return play(ctx, c, l)
}

// play runs a layout.
func play(ctx context.Context, c Config, l *layout) (*Report, error) {
	r := &run{conf: c, lay: l, book: newBook(), made: map[int][]mark{}}
	r.children = newChildren(c.Dir, r.book.take)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watched := make(chan struct{})
	defer func() { // no process may be started while they are ended
		cancel(nil)
		r.close()
		<-watched
	}()
	go func() { defer close(watched); r.watch(ctx, cancel) }()
	report, err := r.measure(ctx)
	switch why := context.Cause(ctx); {
	case err == nil:
		return report, nil
	case errors.Is(why, ErrMemory):
		return nil, why
	case why != nil:
		return nil, fmt.Errorf("%w: %w", ErrInterrupted, why)
	}
	return nil, err
}

func (r *run) close() {
	r.children.close()
	if r.list != nil {
		r.list.close()
	}
}

// watch ends the run where it takes too much memory.
func (r *run) watch(ctx context.Context, cancel context.CancelCauseFunc) {
	tick := time.NewTicker(watchEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		r.mu.Lock()
		rss := r.children.resident()
		r.peak = max(r.peak, rss)
		r.mu.Unlock()
		if rss > int64(r.conf.MemoryMB)<<20 {
			cancel(fmt.Errorf("%w: --memory-mb: %d MB, %d allowed", ErrMemory, rss>>20, r.conf.MemoryMB))
			return
		}
	}
}

// begin starts all processes, links first.
func (r *run) begin(ctx context.Context) (err error) {
	r.settings = settings(len(r.lay.members), 0)
	servers, err := net.Listen("tcp", "127.0.0.1:0") // nobody sends requests; probes would find it
	if err != nil {
		return err
	}
	servers.Close()
	if r.list, err = startList(r.conf.Servers, servers.Addr().String()); err != nil {
		return err
	}
	if err := r.addresses(); err != nil {
		return err
	}
	for k, p := range r.lay.links {
		w := &work{Cores: r.conf.Cores}
		for _, i := range p.members {
			m := &r.lay.members[i]
			w.Links = append(w.Links, linkWork{m.name, m.front, m.at})
		}
		one, err := r.worker(fmt.Sprintf("links-%d", k+1), p.members, w)
		if err != nil {
			return err
		}
		one.links = true
	}
	if err := r.await(ctx, "the links", func() bool { return r.book.serves >= len(r.lay.links) }); err != nil {
		return err
	}
	for k, p := range r.lay.own {
		if err := r.hollow(fmt.Sprintf("voter-%d", k+1), p.members, 1); err != nil {
			return err
		}
	}
	for k, p := range r.lay.shared {
		if err := r.hollow(fmt.Sprintf("shared-%d", k+1), p.members, r.conf.Cores); err != nil {
			return err
		}
	}
	for i := range r.lay.members {
		if r.lay.members[i].real {
			if err := r.real(i); err != nil {
				return err
			}
		}
	}
	return r.await(ctx, "a lease and a list at each member", func() bool {
		return len(r.book.leased) == len(r.lay.members) && len(r.book.listed) == r.conf.Hollow
	})
}

// worker starts a process, unless the run is over.
func (r *run) worker(name string, members []int, w *work) (*child, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.children.worker(name, members, r.conf.Worker, w)
}

// addresses gives each member one, and one in front of it where its links are counted.
func (r *run) addresses() error {
	var want []*string
	for i := range r.lay.members {
		m := &r.lay.members[i]
		want = append(want, &m.at)
		if r.lay.fleets[m.fleet].counted {
			want = append(want, &m.front)
		}
		if m.real {
			want = append(want, &m.http)
		}
	}
	for part := range slices.Chunk(want, addrsAtOnce) {
		addrs, err := faultinjection.FreeAddrs(len(part))
		if err != nil {
			return err
		}
		for i, p := range part {
			*p = addrs[i]
		}
	}
	for i := range r.lay.members {
		if m := &r.lay.members[i]; m.front == "" {
			m.front = m.at
		}
	}
	return nil
}

// options are those of one member of a fleet.
func (r *run) options(fleet int, i int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "[fleet]\naddress = %q\nstate_dir = %q\nlease_ms = %d\nmembers = [\n", r.lay.members[i].at, r.state(i), r.conf.Lease.Milliseconds())
	members := r.lay.fleets[fleet].members
	for _, j := range members {
		fmt.Fprintf(&b, "  {name = %q, address = %q},\n", r.lay.members[j].name, r.lay.members[j].front)
	}
	fmt.Fprint(&b, "]\n[takeover]\nenabled = true\n")
	if len(members) < 3 {
		fmt.Fprint(&b, "holders = 1\n")
	}
	if r.conf.Audit {
		b.WriteString("[audit]\nenabled = true\n")
	}
	return b.String()
}

func (r *run) state(i int) string { return filepath.Join(r.conf.Dir, "state", r.lay.members[i].name) }

// hollow starts a process with hollow members.
func (r *run) hollow(name string, members []int, cores int) error {
	conf, err := r.config(0, "127.0.0.1:0")
	if err != nil {
		return err
	}
	w := &work{Cores: cores, List: r.list.addr, Config: conf}
	at := -1
	for _, i := range members {
		m := &r.lay.members[i]
		if m.fleet != at {
			at = m.fleet
			w.Fleets = append(w.Fleets, fleetWork{Options: r.options(at, i)})
		}
		f := &w.Fleets[len(w.Fleets)-1]
		f.Members = append(f.Members, seatWork{m.name, m.at, r.state(i)})
	}
	_, err = r.worker(name, members, w)
	return err
}

// config is the platform's of one member.
func (r *run) config(i int, listen string) ([]byte, error) {
	return json.Marshal(map[string]any{
		"name": r.lay.members[i].name, "listen": listen, "discovery": r.list.addr, "seed": fmt.Sprintf("%016x", i+1),
		"limits":   map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024},
		"known":    r.list.whole(),
		"settings": r.settings,
	})
}

// real starts the program as a member.
func (r *run) real(i int) error {
	m := &r.lay.members[i]
	conf, err := r.config(i, m.http)
	if err != nil {
		return err
	}
	dir := filepath.Join(r.conf.Dir, m.name)
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	files := map[string][]byte{"config.json": conf, "options.toml": []byte(r.options(m.fleet, i))}
	for name, text := range files {
		if err := os.WriteFile(filepath.Join(dir, name), text, 0o644); err != nil {
			return err
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	_, err = r.children.real(m.name, i, r.conf.Binary, []string{
		"PROXY_CONFIG=" + filepath.Join(dir, "config.json"), "DAMSONSCALE_OPTIONS=" + filepath.Join(dir, "options.toml"),
	})
	return err
}

// settings are those of all members; each number's differ in a tenant's allowance alone.
func settings(balancers int, number int) json.RawMessage {
	class := func(name, semantics string) map[string]any {
		return map[string]any{"Name": name, "Semantics": semantics, "AimUs": 1_000_000, "DeadlineUs": 2_000_000, "LateShare": 0.3, "Worth": 1}
	}
	text, err := json.Marshal(map[string]any{
		"Balancers": balancers, "Me": 0, "Zone": "a", "RegistryMode": "on_request", "WeightSource": "nominal", "TickUs": 5000,
		"Services": []any{class("look", "idempotent"), class("once", "at_most_once")},
		"Realms":   []any{map[string]any{"Name": "acme", "AllowancePerS": 10_000 + number, "Share": 1.0}},
		"Limits": map[string]any{
			"Cancel": true, "RetryAfter": true, "MaxAttempts": 4, "MaxRetryAfterUs": 1_000_000, "ConnIdleUs": 10_000_000,
			"DialTimeoutUs": 250_000,
		},
		"ScoringMix": map[string]any{"Whole": 1},
		"Guarantees": map[string]any{
			"AnswerSlackUs": 20_000, "AskEveryUs": 10_000_000, "StopSendingWithinUs": 2_000_000, "ColdFrom": 0.3, "ColdUs": 8_000_000,
			"OverloadFactor": 3, "FallUs": 3_000_000,
		},
	})
	if err != nil {
		panic(err) // of constants
	}
	return text
}

// await waits until the book says so.
func (r *run) await(ctx context.Context, what string, ok func() bool) error {
	late := time.NewTimer(startWithin)
	defer late.Stop()
	look := time.NewTicker(time.Second)
	defer look.Stop()
	for {
		r.book.mu.Lock()
		done, failed, change := ok(), r.book.failed, r.book.change
		leased, listed := len(r.book.leased), len(r.book.listed)
		r.book.mu.Unlock()
		if failed != "" {
			return errors.New(failed)
		}
		if done {
			return nil
		}
		select {
		case <-change:
		case <-look.C:
			if err := r.children.alive(); err != nil {
				return err
			}
		case <-ctx.Done():
			return ctx.Err()
		case <-late.C:
			return fmt.Errorf("%s: not within %v; %d members have had a lease and %d a list", what, startWithin, leased, listed)
		}
	}
}

// sample is all that can be read at a moment.
type sample struct {
	at     time.Time
	usage  map[*child]Usage
	counts map[string]Tally
	list   ListUse
}

// ListUse is what the list service has seen.
type ListUse struct{ Calls, Words, BytesIn, BytesOut, Open int64 }

func (r *run) sample(ctx context.Context) (*sample, error) {
	s := &sample{at: time.Now(), usage: map[*child]Usage{}}
	for _, one := range r.children.all {
		u, err := usageOf(one.cmd.Process.Pid)
		if err == nil {
			s.usage[one] = u
		} else if !one.killed {
			return nil, fmt.Errorf("%s: %w", one.name, err)
		}
	}
	var err error
	if s.counts, _, err = r.children.counts(ctx); err != nil {
		return nil, err
	}
	l := r.list
	s.list = ListUse{l.calls.Load(), l.words.Load(), l.in.Load(), l.out.Load(), l.open.Load()}
	return s, nil
}

func (r *run) measure(ctx context.Context) (*Report, error) {
	load := machineLoad()
	r.began = time.Now()
	if err := r.begin(ctx); err != nil {
		return nil, err
	}
	started := time.Since(r.began)
	sleep(ctx, max(1500*time.Millisecond, 3*r.conf.Lease)) // connections and the roster of the last who joined
	before, err := r.sample(ctx)
	if err != nil {
		return nil, err
	}
	changing, stop := context.WithCancel(ctx)
	defer stop()
	var changes sync.WaitGroup
	if r.conf.Changes > 0 {
		for at := range r.lay.fleets {
			changes.Go(func() { r.orders(changing, at) })
		}
	}
	if r.conf.ListChanges > 0 {
		changes.Go(func() { every(changing, r.conf.ListChanges, func(int) { r.list.alter() }) })
	}
	var fault *FaultReport
	sleep(ctx, r.conf.For/faultPart)
	if r.conf.Fault != NoFault {
		if fault, err = r.fault(ctx, r.conf.For/faultPart); err != nil {
			return nil, err
		}
	}
	sleep(ctx, r.conf.For-time.Since(before.at))
	if err := errors.Join(ctx.Err(), r.children.alive()); err != nil {
		return nil, err
	}
	after, err := r.sample(ctx)
	if err != nil {
		return nil, err
	}
	stop()
	changes.Wait()
	made := time.Since(before.at).Seconds()
	r.settle(ctx, fault)
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	report := r.report(before, after)
	if err := r.balance(ctx, report); err != nil {
		return nil, err
	}
	report.StartS, report.LoadBefore, report.LoadAfter = started.Seconds(), load, machineLoad()
	report.Settings, report.List = r.versions(made), r.lists(made)
	if fault != nil {
		r.healed(fault)
		report.Fault = fault
	}
	r.mu.Lock()
	report.PeakMB = float64(r.peak) / (1 << 20)
	r.mu.Unlock()
	return report, nil
}

// settle waits until all changes are in force and, after a fault of the leader, until another leads, as long as they may take.
func (r *run) settle(ctx context.Context, f *FaultReport) {
	for end := time.Now().Add(lastWithin); time.Now().Before(end) && ctx.Err() == nil; sleep(ctx, watchEvery) {
		if r.versions(1).Missing+r.lists(1).Missing == 0 && r.over(f) {
			return
		}
	}
}

// over tells whether what follows a fault has come: after a kill another leads and the one killed was put out.
func (r *run) over(f *FaultReport) bool {
	if f == nil || f.Name != KillLeader {
		return true
	}
	_, led := r.book.leader(r.first)
	r.book.mu.Lock()
	defer r.book.mu.Unlock()
	for key, at := range r.book.out {
		if strings.HasPrefix(key, f.Member+"/") && at.After(f.at) {
			return led.After(f.at)
		}
	}
	return false
}

// balance ends the members, and counts what came over the links in all.
func (r *run) balance(ctx context.Context, out *Report) error {
	r.children.end(func(one *child) bool { return !one.links })
	for end := time.Now().Add(lastWithin); ; sleep(ctx, watchEvery/10) {
		counts, open, err := r.children.counts(ctx)
		if err != nil {
			return err
		}
		if open > 0 && time.Now().Before(end) {
			continue
		}
		out.OpenLinks = open
		for _, t := range counts {
			out.Sent, out.Received, out.Lost = out.Sent+t.OutFrames, out.Received+t.InFrames, out.Lost+t.LostFrames
		}
		return nil
	}
}

// orders gives a fleet versions of the settings, as an operator does; the next is given once the one before was agreed.
func (r *run) orders(ctx context.Context, at int) {
	f := &r.lay.fleets[at]
	names := make([]string, 0, len(f.members))
	for _, i := range f.members {
		names = append(names, r.lay.members[i].name)
	}
	turn := 0
	every(ctx, r.conf.Changes, func(k int) {
		o := &rollout.Command{
			Kind: rollout.RollOut, ID: uint64(at)<<32 | uint64(k+1), Author: "scale", Reason: "a change", Share: rollout.FullShare, GraceMs: 60_000,
			Settings: []byte(fmt.Sprintf(`{"settings": %s}`, settings(len(r.lay.members), k+1))),
		}
		from := time.Now()
		for end := from; ctx.Err() == nil || time.Since(end) < orderWithin; { // guards against numbers that are off by one which was agreed unheard
			if ctx.Err() == nil {
				end = time.Now()
			}
			addr := r.lay.members[f.members[turn%votersOf(len(f.members))]].at
			call, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
			reply, err := fleet.Call(call, addr, names, fleet.AdminRequest{Command: fleet.CommandOrder, Order: o})
			cancel()
			if err == nil && (reply.Err == "" || reply.Err == rollout.ErrAlreadyApplied.Error()) {
				r.mu.Lock()
				r.made[at] = append(r.made[at], mark{int64(len(r.made[at]) + 1), from})
				r.mu.Unlock()
				return
			}
			turn++
			time.Sleep(orderAgain)
		}
		r.mu.Lock()
		r.refused++
		r.mu.Unlock()
	})
}

// every calls f at a rate, counting from 0, until ctx ends. Turns that come too late are left out.
func every(ctx context.Context, rate float64, f func(k int)) {
	tick := time.NewTicker(time.Duration(float64(time.Second) / rate))
	defer tick.Stop()
	for k := 0; ; k++ {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			if ctx.Err() == nil {
				f(k)
			}
		}
	}
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// versions tells of versions of the settings, over all fleets.
func (r *run) versions(seconds float64) (f InForce) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.book.mu.Lock()
	defer r.book.mu.Unlock()
	var all []float64
	for at := range r.lay.fleets {
		var names []string
		for _, i := range r.lay.fleets[at].members {
			if name := r.lay.members[i].name; name != r.gone {
				names = append(names, name)
			}
		}
		ms, one := inForce(r.made[at], names, r.book.adopted)
		all = append(all, ms...)
		f.Changes, f.Expected, f.Missing = f.Changes+len(r.made[at]), f.Expected+one.Expected, f.Missing+one.Missing
		if one.WorstMember != "" {
			f.WorstMember = one.WorstMember
		}
	}
	f.Refused, f.PerSecond = r.refused, float64(f.Changes)/seconds/float64(len(r.lay.fleets))
	f.ranks(all)
	return f
}

// lists tells of changes of the list, at hollow members: a real one does not say which list it goes by.
func (r *run) lists(seconds float64) (f InForce) {
	var made []mark
	for seq, at := range r.list.changes() {
		made = append(made, mark{seq, at})
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	var names []string
	for _, m := range r.lay.members {
		if !m.real && m.name != r.gone {
			names = append(names, m.name)
		}
	}
	r.book.mu.Lock()
	ms, f := inForce(made, names, r.book.listed)
	r.book.mu.Unlock()
	f.Changes, f.PerSecond = len(made), float64(len(made))/seconds
	f.ranks(ms)
	return f
}

// FaultReport tells of a fault and of what followed.
type FaultReport struct {
	Name        string
	Who         string  `json:",omitempty"` // process
	Member      string  `json:",omitempty"`
	NewLeaderMs float64 `json:",omitempty"` // until another led
	PutOut      int     // incarnations that were put out after it
	WholeMs     float64 // until the last of: the new leader, leases that began after it, members put out
	Calls       int64   `json:",omitempty"` // on the list service in the second after its return

	at, from time.Time
}

var errNoLeader = errors.New("--fault: no member of the first fleet leads that has a process of its own")

func (r *run) first(one *child) bool {
	return len(one.members) == 1 && r.lay.members[one.members[0]].fleet == 0 && !one.links
}

// fault breaks something, for as long as the run has left at most.
func (r *run) fault(ctx context.Context, left time.Duration) (*FaultReport, error) {
	f := &FaultReport{Name: r.conf.Fault, at: time.Now()}
	if r.conf.Fault == ListDown {
		addr := r.list.addr
		r.list.http.Close()
		sleep(ctx, min(downFor, left))
		ln, err := net.Listen("tcp", addr)
		if err != nil {
			return nil, err
		}
		r.list.http = &http.Server{Handler: r.list}
		go r.list.http.Serve(&counted{ln, r.list})
		f.from = time.Now()
		calls := r.list.calls.Load()
		sleep(ctx, time.Second)
		f.Calls = r.list.calls.Load() - calls
		return f, nil
	}
	who, _ := r.book.leader(r.first)
	if who == nil {
		return nil, errNoLeader
	}
	f.Who, f.Member = who.name, r.lay.members[who.members[0]].name
	r.lost(f)
	if r.conf.Fault == KillLeader {
		who.killed = true
		return f, who.cmd.Process.Kill()
	}
	if err := who.cmd.Process.Signal(syscall.SIGSTOP); err != nil {
		return nil, err
	}
	sleep(ctx, min(stopFor, left))
	return f, who.cmd.Process.Signal(syscall.SIGCONT)
}

// lost notes whom a fault ends for good.
func (r *run) lost(f *FaultReport) {
	if f.Name == KillLeader {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.gone = f.Member
	}
}

// healed fills in what followed a fault.
func (r *run) healed(f *FaultReport) {
	_, led := r.book.leader(r.first)
	r.book.mu.Lock()
	defer r.book.mu.Unlock()
	ms := func(at time.Time) float64 { return max(0, float64(at.Sub(f.at).Microseconds())/1000) }
	f.NewLeaderMs = ms(led)
	f.WholeMs = max(f.NewLeaderMs, ms(r.book.last))
	for _, at := range r.book.out {
		if at.After(f.at) {
			f.PutOut++
			f.WholeMs = max(f.WholeMs, ms(at))
		}
	}
}
