package frontend

import (
	"context"
	"sync/atomic"
	"time"
)

const (
	pauseTickInterval = 50 * time.Millisecond

	// minPause is the time between two ticks from which on the process counts as having been paused.
	minPause = 2 * pauseTickInterval

	// pauseRelevance is how long after a pause requests may be read that came during it.
	pauseRelevance = time.Second
)

// pauseMonitor notices that the process did not run for a while: because it was stopped, or got no processor. It may be used by any
// goroutine. Before run, no pause is noticed.
type pauseMonitor struct {
	lastTick   atomic.Int64 // a value of monotonicMicros; 0 before the first
	start, end atomic.Int64 // of the last pause, values of monotonicMicros
}

// run notices pauses until ctx ends.
func (m *pauseMonitor) run(ctx context.Context) {
	tick := time.NewTicker(pauseTickInterval)
	defer tick.Stop()
	m.lastTick.Store(monotonicMicros(time.Now()))
	for {
		select {
		case <-ctx.Done():
			m.lastTick.Store(0)
			return
		case <-tick.C:
		}
		now := monotonicMicros(time.Now())
		if last := m.lastTick.Swap(now); now-last > minPause.Microseconds() {
			m.start.Store(last)
			m.end.Store(now)
		}
	}
}

// lastPauseStart returns when the last pause began, a value of monotonicMicros, or 0 if none has ended within pauseRelevance before
// now. A pause that the monitor itself has not noticed yet counts.
func (m *pauseMonitor) lastPauseStart(now int64) int64 {
	if last := m.lastTick.Load(); last > 0 && now-last > minPause.Microseconds() {
		return last
	}
	if now-m.end.Load() > pauseRelevance.Microseconds() {
		return 0
	}
	return m.start.Load()
}

// RunPauseMonitor notices pauses of the process until ctx ends, so that requests that came meanwhile are timed from when they came.
func (f *Frontend) RunPauseMonitor(ctx context.Context) { f.pauses.run(ctx) }
