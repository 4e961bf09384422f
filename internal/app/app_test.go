package app

import (
	"testing"
	"time"
)

// The drain is over before SIGKILL, which comes 0.7 s after the longest deadline, that counted as 3 s at most.
func TestDrainEndsBeforeTheKill(t *testing.T) {
	for longest, kill := range map[int64]time.Duration{500_000: 1200 * time.Millisecond, 3_000_000: 3700 * time.Millisecond,
		5_644_000: 3700 * time.Millisecond} {
		if got := drainFor(longest); got >= kill || got < kill-drainMore {
			t.Errorf("longest deadline %d µs: a drain of %v, SIGKILL after %v", longest, got, kill)
		}
	}
}
