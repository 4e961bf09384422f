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
	startTimeout        = 2 * time.Minute  // from the start until each member has a lease and each hollow member has a list
	settleTimeout       = 30 * time.Second // from the end of the measurement until all changes are applied; later changes count as missing
	memoryCheckInterval = 250 * time.Millisecond
	commandTimeout      = 5 * time.Second // from the end of the measurement, for a rollout command in progress
	commandRetryPause   = 20 * time.Millisecond
	addressBatch        = 500
)

// Errors that end a run early.
var (
	ErrMemoryLimit = errors.New("the run exceeded its memory limit and was stopped")
	ErrInterrupted = errors.New("interrupted")
)

// run is the state of a run in progress.
type run struct {
	conf         Config
	layout       *layout
	children     *children
	observations *observations
	list         *listService
	settings     json.RawMessage
	startedAt    time.Time

	mu                sync.Mutex
	committedVersions map[int][]versionTime // settings versions that were committed, by fleet
	rejectedVersions  int
	peakRSS           int64
	killedMember      string // member killed by the fault; changes are not expected at it
}

// Run performs a run and returns its report. It stops all processes that it has started, also if ctx ends before.
func Run(ctx context.Context, c Config) (*Report, error) {
	if err := c.Validate(); err != nil {
		return nil, err
	}
	c.Audit = c.Audit || c.SettingsPerSecond > 0 // only members with an audit log accept rollout commands
	l := newLayout(&c)
	if err := c.checkResources(l); err != nil {
		return nil, err
	}
	return runLayout(ctx, c, l)
}

// runLayout performs a run with a layout.
func runLayout(ctx context.Context, c Config, l *layout) (*Report, error) {
	r := &run{conf: c, layout: l, observations: newObservations(), committedVersions: map[int][]versionTime{}}
	r.children = newChildren(c.Dir, r.observations.record)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watcherDone := make(chan struct{})
	defer func() { // no process may be started while the others are stopped
		cancel(nil)
		r.close()
		<-watcherDone
	}()
	go func() { defer close(watcherDone); r.watchMemory(ctx, cancel) }()
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

// watchMemory stops the run when its resident memory exceeds the limit.
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
		rss := r.children.residentBytes()
		r.peakRSS = max(r.peakRSS, rss)
		r.mu.Unlock()
		if rss > int64(r.conf.MemoryMB)<<20 {
			cancel(fmt.Errorf("%w: --memory-mb: %d MB resident, %d MB allowed", ErrMemoryLimit, rss>>20, r.conf.MemoryMB))
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
	sleep(ctx, max(1500*time.Millisecond, 3*r.conf.Lease)) // until all connections are open and the membership with the last member is distributed
	before, err := r.sample(ctx)
	if err != nil {
		return nil, err
	}
	changing, stop := context.WithCancel(ctx)
	defer stop()
	var changes sync.WaitGroup
	if r.conf.SettingsPerSecond > 0 {
		for at := range r.layout.fleets {
			changes.Go(func() { r.rollOutVersions(changing, at) })
		}
	}
	if r.conf.ListChangesPerSecond > 0 {
		changes.Go(func() { callAtRate(changing, r.conf.ListChangesPerSecond, func(int) { r.list.changeOneServer() }) })
	}
	var fault *FaultReport
	sleep(ctx, r.conf.Duration/faultTimeDivisor)
	if r.conf.Fault != NoFault {
		if fault, err = r.injectFault(ctx, r.conf.Duration/faultTimeDivisor); err != nil {
			return nil, err
		}
	}
	sleep(ctx, r.conf.Duration-time.Since(before.at))
	if err := errors.Join(ctx.Err(), r.children.checkAlive()); err != nil {
		return nil, err
	}
	after, err := r.sample(ctx)
	if err != nil {
		return nil, err
	}
	stop()
	changes.Wait()
	changeSeconds := time.Since(before.at).Seconds()
	r.settle(ctx, fault)
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	report := r.report(before, after)
	if err := r.countFrames(ctx, report); err != nil {
		return nil, err
	}
	report.StartS, report.LoadBefore, report.LoadAfter = started.Seconds(), load, machineLoad()
	report.Settings, report.List = r.settingsPropagation(changeSeconds), r.listPropagation(changeSeconds)
	if fault != nil {
		r.fillRecovery(fault)
		report.Fault = fault
	}
	r.mu.Lock()
	report.PeakMB = float64(r.peakRSS) / (1 << 20)
	r.mu.Unlock()
	return report, nil
}

// settle waits, at most for settleTimeout, until all changes are applied and, after the leader was killed, another one is elected.
func (r *run) settle(ctx context.Context, f *FaultReport) {
	for end := time.Now().Add(settleTimeout); time.Now().Before(end) && ctx.Err() == nil; sleep(ctx, memoryCheckInterval) {
		if r.settingsPropagation(1).Missing+r.listPropagation(1).Missing == 0 && r.faultSettled(f) {
			return
		}
	}
}

// faultSettled reports whether the fleet has recovered from a fault. After KillLeader the killed member must have been evicted and another
// one elected.
func (r *run) faultSettled(f *FaultReport) bool {
	if f == nil || f.Name != KillLeader {
		return true
	}
	_, electedAt := r.observations.lastElected(r.inFirstFleet)
	r.observations.mu.Lock()
	defer r.observations.mu.Unlock()
	for key, at := range r.observations.evictions {
		if strings.HasPrefix(key, f.Member+"/") && at.After(f.startedAt) {
			return electedAt.After(f.startedAt)
		}
	}
	return false
}

// countFrames stops the members and sums up the frames of all relays. Relays read the rest of a connection after its sender has stopped,
// so it waits, at most for settleTimeout, until the relays have closed all connections.
func (r *run) countFrames(ctx context.Context, out *Report) error {
	r.children.stopProcesses(func(p *child) bool { return !p.isRelay })
	for end := time.Now().Add(settleTimeout); ; sleep(ctx, memoryCheckInterval/10) {
		counts, open, err := r.children.linkCounts(ctx)
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
