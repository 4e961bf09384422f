package modelcheck

import (
	"damsonscale/internal/cells"
	"damsonscale/internal/takeover"
)

// CellsBudget bounds how often each kind of event may happen in one run through a world of cells.
type CellsBudget struct{ Commands, LeaderChanges, Crashes, Duplicates, Partitions, CorruptDeltas, Ticks, Attempts int }

// Budgets for runs of some hundred steps: with many faults, and with many requests under moves, splits and merges.
var (
	ManyFaultsCellsBudget = CellsBudget{
		Commands: 8, LeaderChanges: 4, Crashes: 3, Duplicates: 1, Partitions: 3, CorruptDeltas: 2, Ticks: 30, Attempts: 24,
	}
	ManyRequestsCellsBudget = CellsBudget{Commands: 6, LeaderChanges: 1, Crashes: 1, Duplicates: 1, Ticks: 12, Attempts: 40}
)

// CellsConfig configures a world that begins with two cells of one region, of two members each.
type CellsConfig struct {
	Idempotency []takeover.Idempotency // of each request
	Fault       cells.InjectedFault
	Budget      CellsBudget
}

// CellsConfigFor returns the configuration for a seed: one with many faults or one with many requests, in turn.
func CellsConfigFor(seed uint64) CellsConfig {
	return CellsConfig{
		Idempotency: []takeover.Idempotency{takeover.NotIdempotent, takeover.IdempotentByKey, takeover.NotIdempotent, takeover.NotIdempotent},
		Budget:      []CellsBudget{ManyFaultsCellsBudget, ManyRequestsCellsBudget}[seed%2],
	}
}

const (
	cellTickMicros      = 100_000
	cellLeaseMicros     = 2 * cellTickMicros
	cellDeadlineMicros  = 10 * cellTickMicros                    // of a request
	cellRetentionMicros = cellDeadlineMicros + 2*cellLeaseMicros // after a move, until former cells are forgotten
	cellPageBytes       = 400
	cellSettleRounds    = 60
	cellMaxHops         = 40 // of a lookup
	cellMaxPages        = 50 // of a complete delta
	cellRegion          = "r"
)

// cellMemberNames are the members of a world of cells.
var cellMemberNames = []string{"a", "b", "c", "d"}
