package modelcheck

import (
	"context"
	"testing"

	"damsonscale/internal/rollout"
)

var smallFenceConfig = FenceConfig{Members: 1, Commands: []rollout.Kind{rollout.RollOut, rollout.Fence}, LeaderChanges: 1, Restarts: 1, Ticks: 3, LeaseRequests: 1}

// In no order of events does a member act below the fence later than a lease after it.
func TestNobodyActsBelowTheFence(t *testing.T) {
	f, err := ExhaustiveFenceSearch(context.Background(), smallFenceConfig)
	if err != nil || f.Violation != "" {
		t.Fatal(err, f.Violation, f.Trace)
	}
	t.Logf("%v: %d states", smallFenceConfig, f.States)
}

// Each injected fault is found: else the search might find nothing at all.
func TestFaultsOfLeasesAreFound(t *testing.T) {
	for _, fault := range []LeaseFault{FenceIgnored, StaleLog, CountedFromGrant, VersionForgotten} {
		c := smallFenceConfig
		c.Fault = fault
		f, err := ExhaustiveFenceSearch(context.Background(), c)
		if err != nil || f.Violation == "" {
			t.Errorf("fault %d is not found in %d states: %v", fault, f.States, err)
		}
	}
}
