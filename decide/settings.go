package decide

import (
	"errors"
	"fmt"
	"math"
)

// Semantics is the effect of running a request more than once.
type Semantics uint8

// The semantics of a class.
const (
	Idempotent       Semantics = iota // may run any number of times
	IdempotencyKeyed                  // endpoints of a DedupScope recognize a repeat within DedupWindow
	AtMostOnce                        // must never run twice
)

// Scope is the set of endpoints that recognize each other's requests by their idempotency key.
type Scope uint8

// The scopes.
const (
	ScopeAll Scope = iota
	ScopeZone
	ScopeCell
)

// Class is a kind of request. Times are in µs.
type Class struct {
	Name             string
	LatencyObjective int64   // a response within it has its full value; 0: the deadline
	Deadline         int64   // how long a client waits over all its attempts; 0: defaultDeadline
	ObjectivePerWork float64 // extension of the latency objective per unit of WorkHint, µs
	PriorityWeight   float64 // value of a response relative to other classes
	LateValueShare   float64 // share of that value that a late response has
	Semantics        Semantics
	DedupScope       Scope // for IdempotencyKeyed
	DedupWindow      int64 // for IdempotencyKeyed
	Stream           bool  // responses are streams
}

// Tenant is a customer with a quota.
type Tenant struct {
	Name      string
	Allowance float64 // requests per second within the quota, over all balancers
}

// Rules holds the parameters of the rules in the package comment, and of the endpoint list. Times are in
// µs.
type Rules struct {
	AnswerSlack  int64 // how long after its deadline a request may still be answered
	PollInterval int64 // maximum time between polls of the endpoint list; 0: no bound
	// DrainGrace is the time after which no attempt may start at a draining endpoint. It is unused, since
	// no attempt starts at such an endpoint at all.
	DrainGrace          int64
	SlowStartMinShare   float64 // share of its capacity that an endpoint has when it starts
	SlowStartWindow     int64   // time until an endpoint has its full capacity
	OverloadFactor      float64 // multiple of its share that overloads an endpoint in slow start
	OverloadWindow      int64   // time over which OverloadFactor applies
	AttemptBudgetMin    float64 // attempts beyond the first of each request that any window allows
	AttemptBudgetRatio  float64 // further such attempts per request that arrives in the window
	AttemptBudgetWindow int64   // length of the window; 0: there is no budget
}

// Limits are what the deployment permits. No rule uses Hedging or MinEventInterval.
type Limits struct {
	Cancel, Hedging, HealthChecks, RetryAfter, Gossip bool
	MaxAttempts                                       int   // per request; 0: defaultMaxAttempts
	MaxRetryAfter                                     int64 // µs
	DecisionCPU                                       int64 // for decisions, µs per second; 0: no limit
	MinEventInterval                                  int64 // time between two events, µs
	MaxBufferedResponses                              int   // buffered while clients read them; 0: no limit
}

// ServiceObjective is how the service is evaluated: the weights of its parts, and the share of late
// responses that TailLatency tolerates. No rule uses WorstTenant, TailLatency or ToleratedLateShare.
type ServiceObjective struct {
	Overall, WorstWindow, WorstClass, WorstTenant, TailLatency float64
	ToleratedLateShare                                         float64
}

// Settings describe the deployment to a balancer. They are passed to New and UpdateSettings. The keys in
// the configuration have other names, which internal/config maps.
type Settings struct {
	Classes   []Class
	Tenants   []Tenant
	Rules     Rules
	Objective ServiceObjective
	Limits    Limits

	Zone          string
	BalancerIndex int // index of this balancer, from 0
	BalancerCount int // balancers that share the endpoints

	EndpointsPushed      bool    // the host delivers the endpoint list without being asked
	CapacityListed       bool    // Endpoint.Capacity has a meaning
	CapacityFollowsLoad  bool    // Endpoint.Capacity is reduced by the endpoint's load some time ago
	KeyAffinity          bool    // an endpoint that has served a key recently needs less work for it
	LoadFromHealthChecks bool    // endpoints report their load only in health checks
	OverQuotaWeight      float64 // factor of the priority of a tenant's requests over its quota

	// Prices, as shares of the service objective.
	HealthCheckPrice float64 // of one health check per first attempt
	ConnectionPrice  float64 // of 100 open connections per endpoint on average
	CrossZonePrice   float64 // of one attempt to another zone per first attempt
}

// Validate returns an error for the first invalid setting, which it names by its key in the configuration.
func (s *Settings) Validate() error {
	if len(s.Classes) == 0 {
		return errors.New("settings: no classes: Services must not be empty")
	}
	seen := map[string]bool{}
	for _, c := range s.Classes {
		switch {
		case c.Name == "":
			return errors.New("settings: Services: Name of a class is empty")
		case seen[c.Name]:
			return fmt.Errorf("settings: class %s: Name is used twice", c.Name)
		case c.LatencyObjective < 0 || c.Deadline < 0:
			return fmt.Errorf("settings: class %s: negative objective (AimUs) or deadline (DeadlineUs)",
				c.Name)
		case c.DedupWindow < 0:
			return fmt.Errorf("settings: class %s: negative window (WindowUs)", c.Name)
		case !(c.PriorityWeight >= 0) || !(c.LateValueShare >= 0) || !(c.ObjectivePerWork >= 0):
			return fmt.Errorf("settings: class %s: Worth, LateShare or AimStretch is not 0 or more", c.Name)
		}
		seen[c.Name] = true
	}
	for _, t := range s.Tenants {
		if !(t.Allowance >= 0) {
			return fmt.Errorf("settings: tenant %s: AllowancePerS is not 0 or more", t.Name)
		}
	}
	r, l, tolerated := s.Rules, s.Limits, s.Objective.ToleratedLateShare
	switch {
	case !(r.SlowStartMinShare >= 0 && r.SlowStartMinShare <= 1):
		return fmt.Errorf("settings: Guarantees.ColdFrom: cold share is %v, want 0 to 1", r.SlowStartMinShare)
	case min(r.SlowStartWindow, r.OverloadWindow, r.PollInterval, r.DrainGrace, r.AnswerSlack) < 0:
		return errors.New("settings: a time in Guarantees is negative")
	case r.AttemptBudgetWindow < 0:
		return errors.New("settings: Guarantees.ResendSpanUs is negative")
	case !(r.AttemptBudgetMin >= 0) || math.IsInf(r.AttemptBudgetMin, 1):
		return fmt.Errorf("settings: Guarantees.ExtraFloor is %v, want a finite value >= 0",
			r.AttemptBudgetMin)
	case !(r.AttemptBudgetRatio >= 0) || math.IsInf(r.AttemptBudgetRatio, 1):
		return fmt.Errorf("settings: Guarantees.ResendRatio is %v, want a finite value >= 0",
			r.AttemptBudgetRatio)
	case r.AttemptBudgetWindow == 0 && (r.AttemptBudgetRatio > 0 || r.AttemptBudgetMin > 0):
		return errors.New("settings: Guarantees.ResendRatio or ExtraFloor is set without ResendSpanUs")
	case l.MaxBufferedResponses < 0:
		return errors.New("settings: Limits.HeldReplies is negative")
	case !(r.OverloadFactor >= 0):
		return errors.New("settings: Guarantees.OverloadFactor is not 0 or more")
	case !(s.Objective.TailLatency >= 0) || math.IsInf(s.Objective.TailLatency, 1):
		return fmt.Errorf("settings: ScoringMix.Tail is %v, want a finite value >= 0",
			s.Objective.TailLatency)
	case !(tolerated >= 0 && tolerated <= 1):
		return fmt.Errorf("settings: ScoringMix.BorneMisses is %v, want 0 to 1", tolerated)
	case l.DecisionCPU < 0:
		return errors.New("settings: Limits.CpuUsPerS is negative")
	case l.MaxAttempts < 0 || l.MaxRetryAfter < 0 || l.MinEventInterval < 0:
		return errors.New("settings: negative limit: Limits.MaxAttempts, Limits.MaxRetryAfterUs or TickUs")
	case !(s.CrossZonePrice >= 0) || !(s.ConnectionPrice >= 0) || !(s.HealthCheckPrice >= 0):
		return errors.New("settings: a price in Prices is not 0 or more")
	case s.BalancerCount < 0 || s.BalancerIndex < 0:
		return errors.New("settings: Balancers or Me is negative")
	}
	return nil
}
