package modelcheck

import (
	"damsonscale/internal/cells"
	"damsonscale/internal/takeover"
)

// CellsBudget is the maximum number of events of each kind in one random walk through the model of cells.
type CellsBudget struct {
	Commands      int // commands to the directory
	LeaderChanges int // leader changes in cells and in the directory
	Crashes       int // killed processes
	Duplicates    int // second processes of a member
	Partitions    int // partitioned cells
	CorruptDeltas int // deltas from the directory that lack a record
	Ticks         int // advances of the clock, by one tick or by four
	Attempts      int // first attempts and retries of clients
}

// Budgets for random walks of a few hundred steps: one with many faults, one with many attempts of
// clients during moves, splits and merges.
var (
	ManyFaultsCellsBudget = CellsBudget{
		Commands: 8, LeaderChanges: 4, Crashes: 3, Duplicates: 1, Partitions: 3, CorruptDeltas: 2, Ticks: 30, Attempts: 24,
	}
	ManyRequestsCellsBudget = CellsBudget{Commands: 6, LeaderChanges: 1, Crashes: 1, Duplicates: 1, Ticks: 12, Attempts: 40}
)

// CellsConfig configures the model of cells. A walk starts with two cells of two members each, in one region.
type CellsConfig struct {
	Idempotency []takeover.Idempotency // by request
	Fault       cells.InjectedFault
	Budget      CellsBudget
}

// CellsConfigFor returns the configuration for a seed: even seeds get many faults, odd seeds many attempts of clients.
func CellsConfigFor(seed uint64) CellsConfig {
	return CellsConfig{
		Idempotency: []takeover.Idempotency{takeover.NotIdempotent, takeover.IdempotentByKey, takeover.NotIdempotent, takeover.NotIdempotent},
		Budget:      []CellsBudget{ManyFaultsCellsBudget, ManyRequestsCellsBudget}[seed%2],
	}
}

const (
	cellTickMicros      = 100_000
	cellLeaseMicros     = 2 * cellTickMicros
	cellDeadlineMicros  = 10 * cellTickMicros                    // deadline of each request
	cellRetentionMicros = cellDeadlineMicros + 2*cellLeaseMicros // time from the move of a member until the entries that name its former cell are deleted
	cellPageBytes       = 400                                    // maximum size of a page of a delta
	cellSettleRounds    = 60                                     // rounds without faults in which the model must converge
	cellMaxHops         = 40                                     // cells that a lookup may visit
	cellMaxPages        = 50                                     // pages that a relay may pull in one round
	cellRegion          = "r"
)

// cellMemberNames are the names of all members in the model of cells.
var cellMemberNames = []string{"a", "b", "c", "d"}
