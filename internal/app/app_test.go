package app

import (
	"testing"
	"time"
)

// A shutdown is over before SIGKILL, which comes 0.7 s after the longest deadline, that counted as 3 s at most.
func TestShutdownEndsBeforeSIGKILL(t *testing.T) {
	for longest, kill := range map[int64]time.Duration{500_000: 1200 * time.Millisecond, 3_000_000: 3700 * time.Millisecond,
		5_644_000: 3700 * time.Millisecond} {
		if got := shutdownTimeout(time.Duration(longest) * time.Microsecond); got >= kill || got < kill-shutdownMargin {
			t.Errorf("longest deadline %d µs: a shutdown of %v, SIGKILL after %v", longest, got, kill)
		}
	}
}

// Clients and servers have a socket each however few descriptors there are, and never more than there are.
func TestDivideSockets(t *testing.T) {
	for all := range 2048 {
		clients, servers := divideSockets(all, programSockets)
		if clients < 1 || servers < 1 || all >= programSockets+2 && clients+servers != all-programSockets {
			t.Fatalf("of %d: %d for clients, %d for servers", all, clients, servers)
		}
	}
}
