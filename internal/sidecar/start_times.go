package sidecar

import (
	"time"

	"damsonscale/internal/discovery"
)

// clockStep is the difference between the wall clock and the monotonic one from which on the wall clock counts as stepped.
const clockStep = time.Second

// serverStartTimes turns the wall-clock times at which servers say that they started into times of the module's clock, once for each start.
// That clock is the wall clock of this process's start moved on by the monotonic one, so a wall clock that is stepped since makes
// each later start look an hour old, or an hour ahead. After a step the younger reading counts. Guards against a cold server that
// gets a warm one's share, and against one that is held for cold until the clocks meet.
type serverStartTimes struct {
	wallClock func() time.Time

	starts map[string]serverStart // by host
}

// serverStart is one start of a server.
type serverStart struct {
	listedMs  int64 // as listed
	startedAt int64 // in the module's clock, µs
}

func newServerStartTimes() *serverStartTimes {
	return &serverStartTimes{wallClock: time.Now, starts: map[string]serverStart{}}
}

// startTime is the start of a listed server in the module's clock, which shows now; 0: long ago.
func (b *serverStartTimes) startTime(e *discovery.Endpoint, now int64) int64 {
	if e.StartedAtMs == 0 {
		return 0
	}
	if k, ok := b.starts[e.Host]; ok && k.listedMs == e.StartedAtMs {
		return k.startedAt
	}
	since := e.StartedAtMs * 1000
	stepped := time.Duration(b.wallClock().UnixMicro()-now) * time.Microsecond
	if stepped.Abs() >= clockStep {
		since = min(now, max(since, since-stepped.Microseconds()))
	}
	b.starts[e.Host] = serverStart{listedMs: e.StartedAtMs, startedAt: since}
	return since
}

// prune forgets the servers that a whole list does not name, or that a change removes.
func (b *serverStartTimes) prune(l *discovery.Update) {
	listed := make(map[string]bool, len(l.Endpoints))
	for _, e := range l.Endpoints {
		if listed[e.Host] = e.Health != discovery.Removed; !listed[e.Host] {
			delete(b.starts, e.Host)
		}
	}
	if !l.Full {
		return
	}
	for host := range b.starts {
		if !listed[host] {
			delete(b.starts, host)
		}
	}
}
