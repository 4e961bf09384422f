package modelcheck

import (
	"strings"
	"testing"

	"damsonscale/internal/cells"
)

// No random walk with moves, splits, merges, delayed directory updates, partitions, two leaders, kills and pauses violates an invariant, and the walks
// cover each kind of event and outcome.
func TestRandomWalksOfCellsKeepInvariants(t *testing.T) {
	steps, coverage := 0, Coverage{}
	for seed := range uint64(1000) {
		f := RandomWalkCells(CellsConfigFor(seed), seed, 300)
		if steps += f.States; f.Violation != "" {
			t.Fatalf("seed %d: %s\n%s", seed, f.Violation, strings.Join(f.Trace, "\n"))
		}
		coverage = coverage.Add(f.Coverage)
	}
	t.Logf("%d steps, %+v", steps, coverage)
	for _, n := range []int{coverage.Moves, coverage.Seals, coverage.Fences, coverage.ForgottenDepartures, coverage.ForgottenCells, coverage.Assigned, coverage.Transferred, coverage.Answers, coverage.Failed, coverage.Unknown, coverage.CompleteDeltas} {
		if n < 20 {
			t.Errorf("an event or outcome occurred %d times, want at least 20: %+v", n, coverage)
		}
	}
}

// Each injected fault leads to the violation of the expected invariant: this shows that the search can detect faults.
func TestInjectedFaultsOfCellsAreDetected(t *testing.T) {
	for _, c := range []struct {
		fault      cells.InjectedFault
		name, want string
	}{
		{cells.EarlyDeparture, "departure certified while the lease may be valid", "is not a member of its cell"},
		{cells.LeaseWhileSealing, "cell grants leases before it is sealed", "is not a member of its cell"},
		{cells.FormerCellsDropped, "former cells deleted", "runs twice"},
		{cells.FirstAttemptUnchecked, "first attempt after a move not looked up", "runs twice"},
		{cells.StaleUpdateAccepted, "stale update accepted", "committed fence"},
		{cells.DigestIgnored, "digests ignored", "after the faults ended"},
		{cells.TermIgnored, "two directory leaders assign members", "after the faults ended"},
		{cells.CertificateIgnored, "join without a certificate accepted", "has valid leases in cells"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(6_000) {
				conf := CellsConfigFor(seed)
				conf.Fault = c.fault
				if f := RandomWalkCells(conf, seed, 300); strings.Contains(f.Violation, c.want) {
					t.Logf("seed %d: %s", seed, f.Violation)
					return
				}
			}
			t.Fatalf("no violation %q in 6000 random walks", c.want)
		})
	}
}
