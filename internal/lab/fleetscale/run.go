package fleetscale

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

const (
	startTimeout         = 2 * time.Minute  // until each member has a lease and a list
	settleTimeout        = 30 * time.Second // of the end, for changes to be in force; past it they are missing
	watchInterval        = 250 * time.Millisecond
	versionTimeout       = 5 * time.Second // of the end of the measured time, for an order that is under way
	versionRetryInterval = 20 * time.Millisecond
	addressChunk         = 500
)

// Errors that end a run.
var (
	ErrMemory      = errors.New("the run took more memory than it may, and was ended")
	ErrInterrupted = errors.New("interrupted")
)

// run is a run under way. Its fields below mu are shared with the goroutines that watch memory and roll out versions.
type run struct {
	conf      Config
	layout    *layout
	children  *children
	observed  *observations
	list      *listService
	settings  json.RawMessage
	startedAt time.Time

	mu               sync.Mutex
	agreedVersions   map[int][]appliedNumber // versions that were agreed, by fleet
	rejectedVersions int
	peakBytes        int64
	killedMember     string // the member that a fault has ended; nothing is expected of it
}

// Run measures. It ends all processes that it started, also when ctx ends before. Its error is ErrNoRoom, ErrMemory, ErrInterrupted, or says what failed.
func Run(ctx context.Context, c Config) (*Report, error) {
	if err := c.Validate(); err != nil {
		return nil, err
	}
	c.Audit = c.Audit || c.Changes > 0 // only members that keep account take orders
	l := newLayout(&c)
	if err := c.fits(l); err != nil {
		return nil, err
	}
	return play(ctx, c, l)
}

// play runs a layout, and ends all processes.
func play(ctx context.Context, c Config, l *layout) (*Report, error) {
	r := &run{conf: c, layout: l, observed: newObservations(), agreedVersions: map[int][]appliedNumber{}}
	r.children = newChildren(c.Dir, r.observed.record)
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

// watch cancels the run when it takes too much memory.
func (r *run) watch(ctx context.Context, cancel context.CancelCauseFunc) {
	tick := time.NewTicker(watchInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		r.mu.Lock()
		rss := r.children.resident()
		r.peakBytes = max(r.peakBytes, rss)
		r.mu.Unlock()
		if rss > int64(r.conf.MemoryMB)<<20 {
			cancel(fmt.Errorf("%w: --memory-mb: %d MB, %d allowed", ErrMemory, rss>>20, r.conf.MemoryMB))
			return
		}
	}
}

// start starts all processes, links first, and waits until each member has a lease and a list.
func (r *run) start(ctx context.Context) (err error) {
	r.settings = settings(len(r.layout.members), 0)
	servers, err := net.Listen("tcp", "127.0.0.1:0") // nobody sends requests; health checks would find it
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
	for k, p := range r.layout.links {
		w := &workerConfig{Cores: r.conf.Cores}
		for _, i := range p.members {
			m := &r.layout.members[i]
			w.Links = append(w.Links, linkConfig{m.name, m.linkAddress, m.address})
		}
		one, err := r.worker(fmt.Sprintf("links-%d", k+1), p.members, w)
		if err != nil {
			return err
		}
		one.links = true
	}
	if err := r.await(ctx, "the links", func() bool { return r.observed.servingProcesses >= len(r.layout.links) }); err != nil {
		return err
	}
	for k, p := range r.layout.own {
		if err := r.hollow(fmt.Sprintf("voter-%d", k+1), p.members, 1); err != nil {
			return err
		}
	}
	for k, p := range r.layout.shared {
		if err := r.hollow(fmt.Sprintf("shared-%d", k+1), p.members, r.conf.Cores); err != nil {
			return err
		}
	}
	for i := range r.layout.members {
		if r.layout.members[i].real {
			if err := r.real(i); err != nil {
				return err
			}
		}
	}
	return r.await(ctx, "a lease and a list at each member", func() bool {
		return len(r.observed.leased) == len(r.layout.members) && len(r.observed.listed) == r.conf.Hollow
	})
}

// await waits until a condition on the observations holds.
func (r *run) await(ctx context.Context, what string, ok func() bool) error {
	late := time.NewTimer(startTimeout)
	defer late.Stop()
	look := time.NewTicker(time.Second)
	defer look.Stop()
	for {
		r.observed.mu.Lock()
		done, failed, change := ok(), r.observed.failure, r.observed.changed
		leased, listed := len(r.observed.leased), len(r.observed.listed)
		r.observed.mu.Unlock()
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
			return fmt.Errorf("%s: not within %v; %d members have had a lease and %d a list", what, startTimeout, leased, listed)
		}
	}
}

func (r *run) measure(ctx context.Context) (*Report, error) {
	load := machineLoad()
	r.startedAt = time.Now()
	if err := r.start(ctx); err != nil {
		return nil, err
	}
	started := time.Since(r.startedAt)
	sleep(ctx, max(1500*time.Millisecond, 3*r.conf.Lease)) // connections and the roster of the last who joined
	before, err := r.sample(ctx)
	if err != nil {
		return nil, err
	}
	changing, stop := context.WithCancel(ctx)
	defer stop()
	var changes sync.WaitGroup
	if r.conf.Changes > 0 {
		for at := range r.layout.fleets {
			changes.Go(func() { r.rollOutVersions(changing, at) })
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
	if err := r.balanceLinks(ctx, report); err != nil {
		return nil, err
	}
	report.StartS, report.LoadBefore, report.LoadAfter = started.Seconds(), load, machineLoad()
	report.Settings, report.List = r.versionFigures(made), r.listChangeFigures(made)
	if fault != nil {
		r.fillFault(fault)
		report.Fault = fault
	}
	r.mu.Lock()
	report.PeakMB = float64(r.peakBytes) / (1 << 20)
	r.mu.Unlock()
	return report, nil
}

// settle waits until all changes are in force and, after a fault of the leader, until another leads, up to settleTimeout.
func (r *run) settle(ctx context.Context, f *FaultReport) {
	for end := time.Now().Add(settleTimeout); time.Now().Before(end) && ctx.Err() == nil; sleep(ctx, watchInterval) {
		if r.versionFigures(1).Missing+r.listChangeFigures(1).Missing == 0 && r.faultSettled(f) {
			return
		}
	}
}

// faultSettled reports whether the fleet has settled after a fault: after a kill another member leads and the killed one is evicted.
func (r *run) faultSettled(f *FaultReport) bool {
	if f == nil || f.Name != KillLeader {
		return true
	}
	_, led := r.observed.leader(r.inFirstFleet)
	r.observed.mu.Lock()
	defer r.observed.mu.Unlock()
	for key, at := range r.observed.evictedAt {
		if strings.HasPrefix(key, f.Member+"/") && at.After(f.at) {
			return led.After(f.at)
		}
	}
	return false
}

// balanceLinks ends the members, and counts the frames of all links.
func (r *run) balanceLinks(ctx context.Context, out *Report) error {
	r.children.end(func(one *child) bool { return !one.links })
	for end := time.Now().Add(settleTimeout); ; sleep(ctx, watchInterval/10) {
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

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
