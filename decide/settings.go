package decide

import (
	"errors"
	"fmt"
	"math"
)

// Semantics is what a second run of a request does.
type Semantics uint8

// The semantics of a class.
const (
	Idempotent       Semantics = iota // may run any number of times
	IdempotencyKeyed                  // endpoints of one DedupScope recognize a repeat, for DedupWindow
	AtMostOnce                        // must never run twice
)

// Scope is the endpoints that recognize each other's requests with an idempotency key.
type Scope uint8

// The scopes.
const (
	ScopeAll Scope = iota
	ScopeZone
	ScopeCell
)

// Class is one kind of request.
type Class struct {
	Name             string
	LatencyObjective int64   // an answer within it is worth its full weight; 0: the deadline
	Deadline         int64   // how long a client waits, over all its attempts; 0: defaultDeadline
	ObjectivePerWork float64 // by which a request's WorkHint extends the latency objective, in µs per unit
	PriorityWeight   float64 // of an answer, beside those of other classes
	LateValueShare   float64 // of its weight that a late answer is worth
	Semantics        Semantics
	DedupScope       Scope // for IdempotencyKeyed
	DedupWindow      int64 // for IdempotencyKeyed
	Stream           bool  // answers are streams
}

// Tenant is a customer with a quota.
type Tenant struct {
	Name      string
	Allowance float64 // requests per second within the quota, over all balancers
}

// Rules are the figures of the rules that a deployment checks, see the package comment.
type Rules struct {
	AnswerSlack         int64   // after its deadline, in which a request may still be answered
	PollInterval        int64   // between two polls of the endpoint list at most; 0: no bound
	DrainGrace          int64   // after which no attempt may start at a draining endpoint; none starts at all
	SlowStartMinShare   float64 // of its capacity, that an endpoint has at its start
	SlowStartWindow     int64   // until it has all of it
	OverloadFactor      float64 // times its share within OverloadWindow overloads an endpoint in slow start
	OverloadWindow      int64
	AttemptBudgetMin    float64 // attempts beyond a request's first, in any window
	AttemptBudgetRatio  float64 // and as many more for each request that arrives in it
	AttemptBudgetWindow int64   // 0: there is no budget
}

// Limits are what the deployment permits. No rule uses Hedging and MinEventInterval.
type Limits struct {
	Cancel, Hedging, HealthChecks, RetryAfter, Gossip bool
	MaxAttempts                                       int // of a request; 0: defaultMaxAttempts
	MaxRetryAfter                                     int64
	DecisionCPU                                       int64 // for decisions, in µs per second; 0: no limit
	MinEventInterval                                  int64 // between two events
	MaxBufferedResponses                              int   // while clients read them; 0: no limit
}

// ServiceObjective is how the service is judged: the weights of its parts, and the share of late answers that
// the tail tolerates. No rule uses WorstTenant, TailLatency and ToleratedLateShare.
type ServiceObjective struct {
	Overall, WorstWindow, WorstClass, WorstTenant, TailLatency float64
	ToleratedLateShare                                         float64
}

// Settings are what a balancer is told of its deployment, by New or UpdateSettings. The configuration's keys
// for them have other names, which internal/config maps.
type Settings struct {
	Classes   []Class
	Tenants   []Tenant
	Rules     Rules
	Objective ServiceObjective
	Limits    Limits

	Zone          string
	BalancerIndex int // from 0, this balancer's own
	BalancerCount int // that share the endpoints

	EndpointsPushed      bool    // the host brings the endpoint list unasked
	CapacityListed       bool    // Endpoint.Capacity is meaningful
	CapacityFollowsLoad  bool    // it is lowered by the load that the endpoint had some time ago
	KeyAffinity          bool    // an endpoint that served a key lately needs less work for it
	LoadFromHealthChecks bool    // endpoints report their load to health checks alone
	OverQuotaWeight      float64 // factor of the priority of what a tenant sends over its quota

	// What these cost, in parts of the service objective.
	HealthCheckPrice float64 // a health check, for each first attempt
	ConnectionPrice  float64 // a mean of 100 open connections an endpoint
	CrossZonePrice   float64 // an attempt to another zone, for each first attempt
}

// Validate returns an error that names the first setting that makes no sense, by its key in the
// configuration.
func (s *Settings) Validate() error {
	if len(s.Classes) == 0 {
		return errors.New("settings: no classes")
	}
	seen := map[string]bool{}
	for _, c := range s.Classes {
		switch {
		case c.Name == "":
			return errors.New("settings: a class without a name")
		case seen[c.Name]:
			return fmt.Errorf("settings: class %s: there twice", c.Name)
		case c.LatencyObjective < 0 || c.Deadline < 0:
			return fmt.Errorf("settings: class %s: negative aim or deadline", c.Name)
		case c.DedupWindow < 0:
			return fmt.Errorf("settings: class %s: negative window", c.Name)
		case !(c.PriorityWeight >= 0) || !(c.LateValueShare >= 0) || !(c.ObjectivePerWork >= 0):
			return fmt.Errorf("settings: class %s: negative worth, late share or aim stretch", c.Name)
		}
		seen[c.Name] = true
	}
	for _, t := range s.Tenants {
		if !(t.Allowance >= 0) {
			return fmt.Errorf("settings: tenant %s: negative allowance", t.Name)
		}
	}
	r, l, tolerated := s.Rules, s.Limits, s.Objective.ToleratedLateShare
	switch {
	case !(r.SlowStartMinShare >= 0 && r.SlowStartMinShare <= 1):
		return fmt.Errorf("settings: cold share %v is not within 0 to 1", r.SlowStartMinShare)
	case min(r.SlowStartWindow, r.OverloadWindow, r.PollInterval, r.DrainGrace, r.AnswerSlack) < 0:
		return errors.New("settings: negative time in the rules")
	case r.AttemptBudgetWindow < 0:
		return errors.New("settings: Guarantees.ResendSpanUs is negative")
	case !(r.AttemptBudgetMin >= 0) || math.IsInf(r.AttemptBudgetMin, 1):
		return fmt.Errorf("settings: Guarantees.ExtraFloor %v is no number of attempts", r.AttemptBudgetMin)
	case !(r.AttemptBudgetRatio >= 0) || math.IsInf(r.AttemptBudgetRatio, 1):
		return fmt.Errorf("settings: Guarantees.ResendRatio %v is no share", r.AttemptBudgetRatio)
	case r.AttemptBudgetWindow == 0 && (r.AttemptBudgetRatio > 0 || r.AttemptBudgetMin > 0):
		return errors.New("settings: Guarantees.ResendRatio and ExtraFloor need a ResendSpanUs")
	case l.MaxBufferedResponses < 0:
		return errors.New("settings: Limits.HeldReplies is negative")
	case !(r.OverloadFactor >= 0):
		return errors.New("settings: negative overload factor")
	case !(s.Objective.TailLatency >= 0) || math.IsInf(s.Objective.TailLatency, 1):
		return fmt.Errorf("settings: ScoringMix.Tail %v is no weight", s.Objective.TailLatency)
	case !(tolerated >= 0 && tolerated <= 1):
		return fmt.Errorf("settings: ScoringMix.BorneMisses %v is not within 0 to 1", tolerated)
	case l.DecisionCPU < 0:
		return errors.New("settings: Limits.CpuUsPerS is negative")
	case l.MaxAttempts < 0 || l.MaxRetryAfter < 0 || l.MinEventInterval < 0:
		return errors.New("settings: negative limit")
	case !(s.CrossZonePrice >= 0) || !(s.ConnectionPrice >= 0) || !(s.HealthCheckPrice >= 0):
		return errors.New("settings: negative price for crossing zones, connections or probes")
	case s.BalancerCount < 0 || s.BalancerIndex < 0:
		return errors.New("settings: negative number of balancers")
	}
	return nil
}
