package fleetscale

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	startTimeout        = 2 * time.Minute  // until each member has a lease and a list
	settleTimeout       = 30 * time.Second // of the end, for changes to be in force; past it they are missing
	memoryCheckInterval = 250 * time.Millisecond
	commandTimeout      = 5 * time.Second // of the end of the measured time, for an order that is under way
	commandRetryPause   = 20 * time.Millisecond
	addressBatch        = 500
)

// Errors that end a run.
var (
	ErrMemoryLimit = errors.New("the run took more memory than it may, and was ended")
	ErrInterrupted = errors.New("interrupted")
)

// run is one under way.
type run struct {
	conf         Config
	layout       *layout
	children     *children
	observations *observations
	list         *listService
	settings     json.RawMessage
	startedAt    time.Time

	mu               sync.Mutex
	versionsMade     map[int][]versionTime // versions that were agreed, by fleet
	rejectedVersions int
	peakRSS          int64
	killedMember     string // the member that a fault has ended; nothing is expected of it
}

// Run measures. It ends all that it started, also when ctx ends before, and returns why it could not finish.
func Run(ctx context.Context, c Config) (*Report, error) {
	if err := c.Validate(); err != nil {
		return nil, err
	}
	c.Audit = c.Audit || c.SettingsPerSecond > 0 // only members that keep account take orders
	l := newLayout(&c)
	if err := c.fits(l); err != nil {
		return nil, err
	}
	return play(ctx, c, l)
}

// play runs a layout.
func play(ctx context.Context, c Config, l *layout) (*Report, error) {
	r := &run{conf: c, layout: l, observations: newObservations(), versionsMade: map[int][]versionTime{}}
	r.children = newChildren(c.Dir, r.observations.record)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watched := make(chan struct{})
	defer func() { // no process may be started while they are ended
		cancel(nil)
		r.close()
		<-watched
	}()
	go func() { defer close(watched); r.watchMemory(ctx, cancel) }()
	report, err := r.measure(ctx)
	switch why := context.Cause(ctx); {
	case err == nil:
		return report, nil
	case errors.Is(why, ErrMemoryLimit):
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

// watchMemory ends the run where it takes too much memory.
func (r *run) watchMemory(ctx context.Context, cancel context.CancelCauseFunc) {
	tick := time.NewTicker(memoryCheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		r.mu.Lock()
		rss := r.children.resident()
		r.peakRSS = max(r.peakRSS, rss)
		r.mu.Unlock()
		if rss > int64(r.conf.MemoryMB)<<20 {
			cancel(fmt.Errorf("%w: --memory-mb: %d MB, %d allowed", ErrMemoryLimit, rss>>20, r.conf.MemoryMB))
			return
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
	if r.conf.SettingsPerSecond > 0 {
		for at := range r.layout.fleets {
			changes.Go(func() { r.rolloutChanges(changing, at) })
		}
	}
	if r.conf.ListChangesPerSecond > 0 {
		changes.Go(func() { atRate(changing, r.conf.ListChangesPerSecond, func(int) { r.list.changeOne() }) })
	}
	var fault *FaultReport
	sleep(ctx, r.conf.Duration/faultAfterShare)
	if r.conf.Fault != NoFault {
		if fault, err = r.injectFault(ctx, r.conf.Duration/faultAfterShare); err != nil {
			return nil, err
		}
	}
	sleep(ctx, r.conf.Duration-time.Since(before.at))
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
	if err := r.countFrames(ctx, report); err != nil {
		return nil, err
	}
	report.StartS, report.LoadBefore, report.LoadAfter = started.Seconds(), load, machineLoad()
	report.Settings, report.List = r.settingsInForce(made), r.listsInForce(made)
	if fault != nil {
		r.fillRecovery(fault)
		report.Fault = fault
	}
	r.mu.Lock()
	report.PeakMB = float64(r.peakRSS) / (1 << 20)
	r.mu.Unlock()
	return report, nil
}

// settle waits until all changes are in force and, after a fault of the leader, until another leads, as long as they may take.
func (r *run) settle(ctx context.Context, f *FaultReport) {
	for end := time.Now().Add(settleTimeout); time.Now().Before(end) && ctx.Err() == nil; sleep(ctx, memoryCheckInterval) {
		if r.settingsInForce(1).Missing+r.listsInForce(1).Missing == 0 && r.faultSettled(f) {
			return
		}
	}
}

// faultSettled tells whether what follows a fault has come: after a kill another leads and the one killed was put out.
func (r *run) faultSettled(f *FaultReport) bool {
	if f == nil || f.Name != KillLeader {
		return true
	}
	_, led := r.observations.leader(r.ofFirstFleet)
	r.observations.mu.Lock()
	defer r.observations.mu.Unlock()
	for key, at := range r.observations.evictions {
		if strings.HasPrefix(key, f.Member+"/") && at.After(f.at) {
			return led.After(f.at)
		}
	}
	return false
}

// countFrames ends the members, and counts what came over the links in all.
func (r *run) countFrames(ctx context.Context, out *Report) error {
	r.children.stopProcesses(func(one *child) bool { return !one.links })
	for end := time.Now().Add(settleTimeout); ; sleep(ctx, memoryCheckInterval/10) {
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
