package sidecar

import (
	"testing"
	"time"

	"damsonscale/internal/discovery"
)

// Servers that start around a step of the wall clock count as their age or younger: never older, and never started in the
// future. One start has one time, however often it is listed.
func TestServerAgeIsNeverOverstatedAfterWallClockStep(t *testing.T) {
	const warm = 5 * time.Second
	start := time.Now()
	for _, step := range []time.Duration{0, 3 * time.Second, -3 * time.Second, time.Hour, -time.Hour} {
		b := newServerStartTimes()
		stepped := time.Duration(0)
		b.wallClock = func() time.Time { return start.Add(stepped + 20*time.Second) }
		now := start.UnixMicro() + (20 * time.Second).Microseconds() // 20 s after the start
		before := &discovery.Endpoint{Host: "before", StartedAtMs: start.Add(10 * time.Second).UnixMilli()}
		if age := now - b.startTime(before, now); age < 9_999_000 || age > 10_001_000 {
			t.Fatalf("no step: age %d", age)
		}
		stepped = step
		after := &discovery.Endpoint{Host: "after", StartedAtMs: start.Add(step + 19*time.Second).UnixMilli()} // 1 s old, by the new clock
		age := time.Duration(now-b.startTime(after, now)) * time.Microsecond
		if age < 0 || age > 1001*time.Millisecond {
			t.Errorf("step %v: a server that is 1 s old counts as %v old", step, age)
		}
		again := now + warm.Microseconds()
		if b.startTime(after, again) != b.startTime(after, now) || b.startTime(before, again) != before.StartedAtMs*1000 {
			t.Errorf("step %v: a start has two times", step)
		}
		b.prune(&discovery.Update{Endpoints: []discovery.Endpoint{{Host: "before", Health: discovery.Removed}}})
		if _, ok := b.starts["before"]; ok || len(b.starts) != 1 {
			t.Error("a server that is gone is kept")
		}
		b.prune(&discovery.Update{Full: true})
		if len(b.starts) != 0 {
			t.Error("servers that a whole list does not name are kept")
		}
	}
	if since := newServerStartTimes().startTime(&discovery.Endpoint{Host: "old"}, 1); since != 0 {
		t.Errorf("long ago is %d", since)
	}
}
