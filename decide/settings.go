package decide

import (
	"fmt"
	"math"
)

// Semantics tells what a second run of a request does.
type Semantics uint8

const (
	Idempotent       Semantics = iota // safe: may run any number of times
	IdempotencyKeyed                  // keyed: servers of one group drop repeats for a while
	AtMostOnce                        // unsafe: must never run twice
)

// Scope names the servers that drop each other's repeats of a keyed request.
type Scope uint8

const (
	ScopeAll Scope = iota
	ScopeZone
	ScopeCell
)

// Class is one kind of request.
type Class struct {
	Name                       string
	LatencyObjective, Deadline int64   // answers within Aim earn all; a client waits for Deadline over all its tries
	ObjectivePerWork           float64 // the aim grows by this many times the work hinted
	PriorityWeight             float64
	LateValueShare             float64
	Semantics                  Semantics
	DedupScope                 Scope // for Deduplicated
	DedupWindow                int64 // for Deduplicated: how long a repeat is recognised
	Stream                     bool
}

// Tenant is a customer with a share of the service.
type Tenant struct {
	Name      string
	Allowance float64 // requests a second within its share, over all balancers
}

// Rules are the figures of the four rules.
type Rules struct {
	AnswerSlack         int64
	PollInterval        int64 // ask for the list at least this often where it is not pushed
	DrainGrace          int64
	SlowStartMinShare   float64
	SlowStartWindow     int64
	OverloadFactor      float64
	OverloadWindow      int64
	AttemptBudgetMin    float64 // attempts beyond a request's first that any window may have
	AttemptBudgetRatio  float64 // and so many more for each request taken in it
	AttemptBudgetWindow int64   // length of such a window; 0: no budget of attempts is stated
}

// Limits is what the deployment permits.
type Limits struct {
	Cancel, Hedging, HealthChecks, RetryAfter, Gossip bool
	MaxAttempts                                       int
	MaxRetryAfter                                     int64
	CPU                                               int64 // µs a second for decisions; 0: no such limit
	MinEventInterval                                  int64 // events come no closer together than this
	MaxBufferedResponses                              int   // answers held while clients read them; 0: no such limit
}

// ServiceObjective tells how the service is judged: weights of its parts, and the share of late answers that the tail bears.
type ServiceObjective struct{ Overall, WorstWindow, WorstClass, WorstTenant, TailLatency, ToleratedLateShare float64 }

// Settings is what a balancer knows at its start, or from a Retune on.
type Settings struct {
	Classes                      []Class
	Tenants                      []Tenant
	Rules                        Rules
	Objective                    ServiceObjective
	Limits                       Limits
	Zone                         string
	BalancerIndex, BalancerCount int
	EndpointsPushed              bool    // the list of servers comes by itself
	CapacityListed               bool    // Server.Size means something
	CapacityLive                 bool    // it is a size lowered by what the server held some time ago
	KeyAffinity                  bool    // a server that served a key lately needs less work for it
	OverQuotaWeight              float64 // worth of what a tenant sends over its share
	LoadFromHealthChecks         bool    // servers tell of their load to probes alone
	HealthCheckPrice             float64 // points for a probe, as a part of the first tries
	ConnectionPrice              float64 // points for a mean of 100 open connections a server
	CrossZonePrice               float64 // points for an attempt to another zone, as a part of the first tries
}

// Validate names the first setting that makes no sense.
func (s *Settings) Validate() error {
	if len(s.Classes) == 0 {
		return fmt.Errorf("settings: no classes")
	}
	met := map[string]bool{}
	for _, c := range s.Classes {
		switch {
		case c.Name == "":
			return fmt.Errorf("settings: a class without a name")
		case met[c.Name]:
			return fmt.Errorf("settings: class %s: there twice", c.Name)
		case c.LatencyObjective < 0 || c.Deadline < 0:
			return fmt.Errorf("settings: class %s: negative aim or deadline", c.Name)
		case c.DedupWindow < 0:
			return fmt.Errorf("settings: class %s: negative window", c.Name)
		case !(c.PriorityWeight >= 0) || !(c.LateValueShare >= 0) || !(c.ObjectivePerWork >= 0):
			return fmt.Errorf("settings: class %s: negative worth, late share or aim stretch", c.Name)
		}
		met[c.Name] = true
	}
	for _, t := range s.Tenants {
		if !(t.Allowance >= 0) {
			return fmt.Errorf("settings: tenant %s: negative allowance", t.Name)
		}
	}
	r, l := s.Rules, s.Limits
	switch {
	case !(r.SlowStartMinShare >= 0 && r.SlowStartMinShare <= 1):
		return fmt.Errorf("settings: cold share %v is not within 0 to 1", r.SlowStartMinShare)
	case r.SlowStartWindow < 0 || r.OverloadWindow < 0 || r.PollInterval < 0 || r.DrainGrace < 0 || r.AnswerSlack < 0:
		return fmt.Errorf("settings: negative time in the rules")
	case r.AttemptBudgetWindow < 0:
		return fmt.Errorf("settings: Guarantees.ResendSpanUs is negative")
	case !(r.AttemptBudgetMin >= 0) || math.IsInf(r.AttemptBudgetMin, 1):
		return fmt.Errorf("settings: Guarantees.ExtraFloor %v is no number of attempts", r.AttemptBudgetMin)
	case !(r.AttemptBudgetRatio >= 0) || math.IsInf(r.AttemptBudgetRatio, 1):
		return fmt.Errorf("settings: Guarantees.ResendRatio %v is no share", r.AttemptBudgetRatio)
	case r.AttemptBudgetWindow == 0 && (r.AttemptBudgetRatio > 0 || r.AttemptBudgetMin > 0):
		return fmt.Errorf("settings: Guarantees.ResendRatio and ExtraFloor need a ResendSpanUs")
	case l.MaxBufferedResponses < 0:
		return fmt.Errorf("settings: Limits.HeldReplies is negative")
	case !(r.OverloadFactor >= 0):
		return fmt.Errorf("settings: negative overload factor")
	case !(s.Objective.TailLatency >= 0) || math.IsInf(s.Objective.TailLatency, 1):
		return fmt.Errorf("settings: ScoringMix.Tail %v is no weight", s.Objective.TailLatency)
	case !(s.Objective.ToleratedLateShare >= 0 && s.Objective.ToleratedLateShare <= 1):
		return fmt.Errorf("settings: ScoringMix.BorneMisses %v is not within 0 to 1", s.Objective.ToleratedLateShare)
	case l.CPU < 0:
		return fmt.Errorf("settings: Limits.CpuUsPerS is negative")
	case l.MaxAttempts < 0 || l.MaxRetryAfter < 0 || l.MinEventInterval < 0:
		return fmt.Errorf("settings: negative limit")
	case !(s.CrossZonePrice >= 0) || !(s.ConnectionPrice >= 0) || !(s.HealthCheckPrice >= 0):
		return fmt.Errorf("settings: negative price for crossing zones, connections or probes")
	case s.BalancerCount < 0 || s.BalancerIndex < 0:
		return fmt.Errorf("settings: negative number of balancers")
	}
	return nil
}
