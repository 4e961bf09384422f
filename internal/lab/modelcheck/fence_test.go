package modelcheck

import (
	"context"
	"testing"

	"damsonscale/internal/rollout"
)

var smallFenceConfig = FenceConfig{Members: 1, Commands: []rollout.Kind{rollout.RollOut, rollout.Fence}, LeaderChanges: 1, Restarts: 1, Ticks: 3, LeaseRequests: 1}

// No sequence of events lets a member act below a fence more than one lease duration after the fence was committed.
func TestNoMemberActsBelowFenceAfterLeaseDuration(t *testing.T) {
	f, err := ExhaustiveFenceSearch(context.Background(), smallFenceConfig)
	if err != nil || f.Violation != "" {
		t.Fatalf("search: error %v, violation %q, trace %q; want neither error nor violation", err, f.Violation, f.Trace)
	}
	t.Logf("%v: %d states", smallFenceConfig, f.States)
}

// Each injected fault leads to a violation: this shows that the search can detect faults.
func TestInjectedLeaseFaultsAreDetected(t *testing.T) {
	for _, fault := range []LeaseFault{FenceIgnored, StaleLog, CountedFromGrant, VersionForgotten} {
		c := smallFenceConfig
		c.Fault = fault
		f, err := ExhaustiveFenceSearch(context.Background(), c)
		if err != nil || f.Violation == "" {
			t.Errorf("fault %d: no violation in %d states, error %v", fault, f.States, err)
		}
	}
}
