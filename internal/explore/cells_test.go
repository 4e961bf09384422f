package explore

import (
	"strings"
	"testing"

	"damsonscale/internal/cells"
)

// No way through moves, splits, merges, late and cut directories, two leaders, kills and stops breaks a promise.
func TestCellsKeepTheirPromises(t *testing.T) {
	steps, met := 0, Met{}
	for seed := range uint64(1500) {
		f := WalkCells(CellsOf(seed), seed, 300)
		if steps += f.States; f.Broken != "" {
			t.Fatalf("seed %d: %s\n%s", seed, f.Broken, strings.Join(f.Trace, "\n"))
		}
		met = met.Add(f.Met)
	}
	t.Logf("%d steps, %+v", steps, met)
	for _, n := range []int{met.Moves, met.Seals, met.Fences, met.Drops, met.Forgotten, met.Given, met.HandedOn, met.Answers, met.Failed, met.Unknown, met.Wholes} {
		if n < 20 {
			t.Errorf("hardly met: %+v", met)
		}
	}
}

// Each planted fault is found. Guards against an explorer that can find nothing.
func TestPlantedFaultsOfCellsAreFound(t *testing.T) {
	for plant, name := range map[cells.Plant]string{
		cells.EarlyLeave:     "certified as departed while its lease may run",
		cells.SealGrants:     "a cell that is sealed grants on",
		cells.ForwardDropped: "former cells forgotten",
		cells.FirstUnasked:   "a first ask after a move does not look back",
		cells.OlderTaken:     "the older word is taken",
		cells.DigestUnread:   "digests not compared",
		cells.TermUnread:     "two directories assign",
		cells.CertUnread:     "joined without a certificate",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			found, seed := "", uint64(0)
			for ; seed < 6_000 && found == ""; seed++ {
				c := CellsOf(seed)
				c.Plant = plant
				found = WalkCells(c, seed, 300).Broken
			}
			if found == "" {
				t.Fatal("not found")
			}
			t.Logf("seed %d: %s", seed-1, found)
		})
	}
}
