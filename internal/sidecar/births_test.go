package sidecar

import (
	"testing"
	"time"

	"damsonscale/internal/discovery"
)

// Servers that start around a step of the wall clock are as old as they are, or younger: never older, and never ahead of now. One start
// has one time, however often it is listed.
func TestBirthsAcrossAStepOfTheWallClock(t *testing.T) {
	const warm = 5 * time.Second
	start := time.Now()
	for _, step := range []time.Duration{0, 3 * time.Second, -3 * time.Second, time.Hour, -time.Hour} {
		b := newBirths()
		stepped := time.Duration(0)
		b.wall = func() time.Time { return start.Add(stepped + 20*time.Second) }
		now := start.UnixMicro() + (20 * time.Second).Microseconds() // 20 s after the start
		before := &discovery.Endpoint{Host: "before", StartedAtMs: start.Add(10 * time.Second).UnixMilli()}
		if age := now - b.since(before, now); age < 9_999_000 || age > 10_001_000 {
			t.Fatalf("no step: age %d", age)
		}
		stepped = step
		after := &discovery.Endpoint{Host: "after", StartedAtMs: start.Add(step + 19*time.Second).UnixMilli()} // 1 s old, by the new clock
		age := time.Duration(now-b.since(after, now)) * time.Microsecond
		if age < 0 || age > 1001*time.Millisecond {
			t.Errorf("step %v: a server that is 1 s old counts as %v old", step, age)
		}
		again := now + warm.Microseconds()
		if b.since(after, again) != b.since(after, now) || b.since(before, again) != before.StartedAtMs*1000 {
			t.Errorf("step %v: a start has two times", step)
		}
		b.keep(&discovery.Update{Endpoints: []discovery.Endpoint{{Host: "before", Health: discovery.Removed}}})
		if _, ok := b.known["before"]; ok || len(b.known) != 1 {
			t.Error("a server that is gone is kept")
		}
		b.keep(&discovery.Update{Full: true})
		if len(b.known) != 0 {
			t.Error("servers that a whole list does not name are kept")
		}
	}
	if since := newBirths().since(&discovery.Endpoint{Host: "old"}, 1); since != 0 {
		t.Errorf("long ago is %d", since)
	}
}
