package sidecar

import (
	"time"

	"damsonscale/internal/discovery"
)

// minClockStep is the minimum difference between the wall clock and the balancer's clock at which the wall clock counts as
// stepped.
const minClockStep = time.Second

// serverStartTimes converts the start times that servers report, by the wall clock, to the balancer's clock. Each start is
// converted once.
//
// The balancer's clock is the wall clock at the start of this process, advanced by the monotonic clock. After a step of the
// wall clock, the start times of servers that start later would be too early or in the future: a cold server would get the
// share of a warm server, or stay in slow start until the balancer's clock reaches that time. So after a step the later of
// the reported time and the corrected time is used, but no time in the future.
type serverStartTimes struct {
	wallClock func() time.Time
	starts    map[string]serverStart // by host
}

// serverStart is the latest known start time of a server.
type serverStart struct {
	listedMs  int64 // as reported in the list: Unix time, ms
	startedAt int64 // converted to the balancer's clock, µs
}

func newServerStartTimes() *serverStartTimes {
	return &serverStartTimes{wallClock: time.Now, starts: map[string]serverStart{}}
}

// startTime returns the start time of a server by the balancer's clock, in µs, or 0 if the list has none. now is the
// balancer's time, in µs.
func (t *serverStartTimes) startTime(e *discovery.Endpoint, now int64) int64 {
	if e.StartedAtMs == 0 {
		return 0
	}
	if known, ok := t.starts[e.Host]; ok && known.listedMs == e.StartedAtMs {
		return known.startedAt
	}
	startedAt := e.StartedAtMs * 1000
	step := time.Duration(t.wallClock().UnixMicro()-now) * time.Microsecond
	if step.Abs() >= minClockStep {
		startedAt = min(now, max(startedAt, startedAt-step.Microseconds()))
	}
	t.starts[e.Host] = serverStart{listedMs: e.StartedAtMs, startedAt: startedAt}
	return startedAt
}

// prune removes the servers that an update removes from the list.
func (t *serverStartTimes) prune(u *discovery.Update) {
	listed := make(map[string]bool, len(u.Endpoints))
	for _, e := range u.Endpoints {
		if listed[e.Host] = e.Health != discovery.Removed; !listed[e.Host] {
			delete(t.starts, e.Host)
		}
	}
	if !u.Full {
		return
	}
	for host := range t.starts {
		if !listed[host] {
			delete(t.starts, host)
		}
	}
}
