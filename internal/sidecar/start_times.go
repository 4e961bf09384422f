package sidecar

import (
	"time"

	"damsonscale/internal/discovery"
)

// minClockStep is the difference between the wall clock and the balancer's clock from which on the wall clock counts as
// stepped.
const minClockStep = time.Second

// serverStartTimes converts the wall-clock times at which servers say that they started to the balancer's clock, once for
// each start.
//
// The balancer's clock is the wall clock at the start of this process, advanced by the monotonic one. Once the wall clock
// has been stepped, later starts would look too old or lie in the future: a cold server would get the share of a warm
// one, or stay in slow start until the clocks meet. After a step the later of the two readings counts.
type serverStartTimes struct {
	wallClock func() time.Time
	starts    map[string]serverStart // by host
}

// serverStart is the latest known start of a server.
type serverStart struct {
	listedMs  int64 // as listed, Unix time in ms
	startedAt int64 // in the balancer's clock, µs
}

func newServerStartTimes() *serverStartTimes {
	return &serverStartTimes{wallClock: time.Now, starts: map[string]serverStart{}}
}

// startTime returns the start of a server in the balancer's clock, µs, which shows now; 0 where none is listed.
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

// prune forgets the servers that an update removes.
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
