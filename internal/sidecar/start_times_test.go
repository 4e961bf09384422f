package sidecar

import (
	"testing"
	"time"

	"damsonscale/internal/discovery"
)

// After a step of the wall clock a server never counts as older than it is, nor as started in the future. A reported
// start time is converted only once, however often the server is listed.
func TestServerAgeIsNeverOverstatedAfterWallClockStep(t *testing.T) {
	start := time.Now()
	for _, step := range []time.Duration{0, 3 * time.Second, -3 * time.Second, time.Hour, -time.Hour} {
		b := newServerStartTimes()
		stepped := time.Duration(0)
		b.wallClock = func() time.Time { return start.Add(stepped + 20*time.Second) }
		now := start.UnixMicro() + (20 * time.Second).Microseconds() // the process has run for 20 s
		before := &discovery.Endpoint{Host: "before", StartedAtMs: start.Add(10 * time.Second).UnixMilli()}
		if age := now - b.startTime(before, now); age < 9_999_000 || age > 10_001_000 {
			t.Fatalf("without a step: age is %d µs, want 10 s", age)
		}
		stepped = step
		after := &discovery.Endpoint{Host: "after", StartedAtMs: start.Add(step + 19*time.Second).UnixMilli()} // started 1 s ago by the stepped clock
		age := time.Duration(now-b.startTime(after, now)) * time.Microsecond
		if age < 0 || age > 1001*time.Millisecond {
			t.Errorf("step %v: age of a server that started 1 s ago is %v, want 0 to 1.001 s", step, age)
		}
		again := now + (5 * time.Second).Microseconds()
		if b.startTime(after, again) != b.startTime(after, now) || b.startTime(before, again) != before.StartedAtMs*1000 {
			t.Errorf("step %v: the start time changed when it was listed again", step)
		}
		b.prune(&discovery.Update{Endpoints: []discovery.Endpoint{{Host: "before", Health: discovery.Removed}}})
		if _, ok := b.starts["before"]; ok || len(b.starts) != 1 {
			t.Error("a removed server was not pruned, or another server was")
		}
		b.prune(&discovery.Update{Full: true})
		if len(b.starts) != 0 {
			t.Error("servers missing from a full list were not pruned")
		}
	}
	if since := newServerStartTimes().startTime(&discovery.Endpoint{Host: "old"}, 1); since != 0 {
		t.Errorf("start time of a server without a listed start is %d, want 0", since)
	}
}
