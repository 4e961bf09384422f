package modelcheck

import "damsonscale/internal/takeover"

// TakeoverBudget bounds how often each kind of event may happen in one order.
type TakeoverBudget struct{ Crashes, Losses, Duplicates, Ticks, QuorumTimeouts, Attempts, Restarts, LeaseExpiries int }

// Budgets for exploring all orders, and for random ones.
var (
	SmallBudget = TakeoverBudget{Crashes: 1, Losses: 1, Duplicates: 1, Ticks: 1, QuorumTimeouts: 1, Attempts: 2, Restarts: 1, LeaseExpiries: 1}
	LargeBudget = TakeoverBudget{Crashes: 4, Losses: 8, Duplicates: 8, Ticks: 20, QuorumTimeouts: 4, Attempts: 6, Restarts: 4, LeaseExpiries: 5}
)

// TakeoverConfig configures a world of takeover.
type TakeoverConfig struct {
	Idempotency []takeover.Idempotency // of each request
	Strict      bool                   // requests that are idempotent by key too are sent only once a quorum has their record
	Fault       takeover.InjectedFault
	Budget      TakeoverBudget
}

// Times of the world, in its own unit.
const (
	resendInterval = 10
	quorumTimeout  = 100
	maxAge         = 1000
)

// outcomeUnknown is why a request fails of which no reachable member can say what became of it.
const outcomeUnknown = "unknown"

// memberNames are the members of a world of takeover.
var memberNames = []string{"a", "b", "c"}
