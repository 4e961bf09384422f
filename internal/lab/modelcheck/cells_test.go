package modelcheck

import (
	"strings"
	"testing"

	"damsonscale/internal/cells"
)

// No random run of moves, splits, merges, late and partitioned directories, two leaders, kills and stops violates an invariant.
func TestCellsKeepInvariants(t *testing.T) {
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
			t.Errorf("too rare: %+v", coverage)
		}
	}
}

// Each injected fault is found, by the invariant that it violates: else the search might find nothing at all.
func TestInjectedFaultsOfCellsAreFound(t *testing.T) {
	for _, c := range []struct {
		fault      cells.InjectedFault
		name, want string
	}{
		{cells.EarlyDeparture, "departure certified while its lease may be valid", "is not a member of its cell"},
		{cells.LeaseWhileSealing, "a cell that is to be sealed grants leases", "is not a member of its cell"},
		{cells.FormerCellsDropped, "former cells forgotten", "runs twice"},
		{cells.FirstAttemptUnchecked, "first attempt after a move unchecked", "runs twice"},
		{cells.StaleUpdateAccepted, "stale update accepted", "committed fence"},
		{cells.DigestIgnored, "digests ignored", "after all was mended"},
		{cells.TermIgnored, "two directories assign members", "after all was mended"},
		{cells.CertificateIgnored, "joined without a certificate", "has valid leases in cells"},
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
			t.Fatal("not found")
		})
	}
}
