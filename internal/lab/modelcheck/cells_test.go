package modelcheck

import (
	"strings"
	"testing"

	"damsonscale/internal/cells"
)

// No way through moves, splits, merges, late and cut directories, two leaders, kills and stops breaks a promise.
func TestCellsKeepInvariants(t *testing.T) {
	steps, met := 0, Coverage{}
	for seed := range uint64(1000) {
		f := WalkCells(CellsConfigFor(seed), seed, 300)
		if steps += f.States; f.Violation != "" {
			t.Fatalf("seed %d: %s\n%s", seed, f.Violation, strings.Join(f.Trace, "\n"))
		}
		met = met.Add(f.Coverage)
	}
	t.Logf("%d steps, %+v", steps, met)
	for _, n := range []int{met.Moves, met.Seals, met.Fences, met.ForgottenDepartures, met.ForgottenCells, met.Assigned, met.Transferred, met.Answers, met.Failed, met.Unknown, met.CompleteDeltas} {
		if n < 20 {
			t.Errorf("hardly met: %+v", met)
		}
	}
}

// Each planted fault is found, by the promise that it breaks. Guards against an explorer that can find nothing.
func TestInjectedFaultsOfCellsAreFound(t *testing.T) {
	for _, c := range []struct {
		plant      cells.InjectedFault
		name, want string
	}{
		{cells.EarlyDeparture, "certified as departed while its lease may run", "says that it is out"},
		{cells.LeaseWhileSealing, "a cell that is sealed grants on", "says that it is out"},
		{cells.FormerCellsDropped, "former cells forgotten", "runs twice"},
		{cells.FirstAttemptUnchecked, "a first ask after a move does not look back", "runs twice"},
		{cells.StaleUpdateAccepted, "the older word is taken", "agreed on fence"},
		{cells.DigestIgnored, "digests not compared", "after all was mended"},
		{cells.TermIgnored, "two directories assign", "after all was mended"},
		{cells.CertificateIgnored, "joined without a certificate", "may act in cells"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(6_000) {
				conf := CellsConfigFor(seed)
				conf.Fault = c.plant
				if f := WalkCells(conf, seed, 300); strings.Contains(f.Violation, c.want) {
					t.Logf("seed %d: %s", seed, f.Violation)
					return
				}
			}
			t.Fatal("not found")
		})
	}
}
