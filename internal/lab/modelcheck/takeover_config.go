package modelcheck

import "damsonscale/internal/takeover"

// TakeoverBudget is the maximum number of events of each kind in one sequence.
type TakeoverBudget struct{ Crashes, Losses, Duplicates, Ticks, QuorumTimeouts, Attempts, Restarts, LeaseExpiries int }

// Budgets for exhaustive searches and for random walks.
var (
	SmallBudget = TakeoverBudget{Crashes: 1, Losses: 1, Duplicates: 1, Ticks: 1, QuorumTimeouts: 1, Attempts: 2, Restarts: 1, LeaseExpiries: 1}
	LargeBudget = TakeoverBudget{Crashes: 4, Losses: 8, Duplicates: 8, Ticks: 20, QuorumTimeouts: 4, Attempts: 6, Restarts: 4, LeaseExpiries: 5}
)

// TakeoverConfig configures the model of takeover.
type TakeoverConfig struct {
	Idempotency []takeover.Idempotency // by request
	Strict      bool                   // requests that are idempotent by key are also sent only after a quorum stores their record
	Fault       takeover.InjectedFault
	Budget      TakeoverBudget
}

// Durations of the model, in its own unit of time.
const (
	resendInterval = 10
	quorumTimeout  = 100
	maxAge         = 1000
)

// outcomeUnknown is the reason of the failure of a request whose outcome no reachable member knows.
const outcomeUnknown = "unknown"

// memberNames are the names of all members in the model of takeover.
var memberNames = []string{"a", "b", "c"}
