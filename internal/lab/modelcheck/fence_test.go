package modelcheck

import (
	"context"
	"testing"

	"damsonscale/internal/rollout"
)

var small = FenceConfig{Members: 1, Orders: []rollout.Kind{rollout.RollOut, rollout.Fence}, Turns: 1, Starts: 1, Ticks: 3, Asks: 1}

// In no order of events does a member act below the fence later than a lease after it.
func TestNobodyActsBelowTheFence(t *testing.T) {
	f, err := ExhaustFence(context.Background(), small)
	if err != nil || f.Broken != "" {
		t.Fatal(err, f.Broken, f.Trace)
	}
	t.Logf("%v: %d states", small, f.States)
}

// Each mistake is found. Guards against a search that can find nothing.
func TestSlipsOfLeasesAreFound(t *testing.T) {
	for _, s := range []Slip{FenceIgnored, StaleLog, FromTheGrant, NumberForgets} {
		c := small
		c.Slip = s
		f, err := ExhaustFence(context.Background(), c)
		if err != nil || f.Broken == "" {
			t.Errorf("slip %d is not found in %d states: %v", s, f.States, err)
		}
	}
}
