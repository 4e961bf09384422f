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

// Clients and servers have a connection each also where few descriptors are left, and never more than there are where that many are.
func TestDivide(t *testing.T) {
	for all := range 2048 {
		clients, servers := divide(all, ownSockets)
		if clients < 1 || servers < 1 || all >= ownSockets+2 && clients+servers != all-ownSockets {
			t.Fatalf("of %d: %d for clients, %d for servers", all, clients, servers)
		}
	}
}
