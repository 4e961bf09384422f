package decide

import (
	"slices"
)

const (
	defaultMaxAttempts = 4 // attempts for a request where the settings name no limit
)

// classState is a class with the latencies seen of it, in µs.
type classState struct {
	Class
	latencyP95                    float64 // one answer in 20 takes longer
	latencyMedian                 float64 // median
	priority                      float64 // what an answer adds to the goal, for the time it takes
	maxFirstTimeLeft              int64   // the longest time that a first try came with
	requests, onTimeAnswers       float64 // of late: requests, and those answered within the aim
	meanWork                      float64 // hinted, on average; 0: no hints
	latencyP90                    float64 // one answer in 10 takes longer
	latencyP15, baselineP15       float64 // one answer in 7 is quicker, and the lowest that this was: with nothing before them
	samples                       float64
	answerRate, answersThisSecond float64 // answers a second, and in this one
	baselineP90                   float64 // the same when servers are not crowded
}

// applySettings takes settings over; classes and tenants known by name keep what was learned of them.
func (b *Balancer) applySettings(set Settings) {
	if set.Limits.MaxAttempts == 0 {
		set.Limits.MaxAttempts = defaultMaxAttempts
	}
	classes, tenants := make([]*classState, len(set.Classes)), make([]float64, len(set.Tenants))
	for i, c := range set.Classes {
		classes[i] = newClassState(c)
		for _, k := range b.classes {
			if k.Name == c.Name {
				if k.Deadline != classes[i].Deadline {
					k.maxFirstTimeLeft = 0
				}
				k.Class, classes[i] = classes[i].Class, k
			}
		}
	}
	for i, t := range set.Tenants {
		if at := slices.IndexFunc(b.settings.Tenants, func(o Tenant) bool { return o.Name == t.Name }); at >= 0 {
			tenants[i] = b.tenantRequests[at]
		}
	}
	b.settings, b.classes, b.tenantRequests = set, classes, tenants
	b.attemptBudget.setWindow(set.Rules.AttemptBudgetWindow)
}

// newClassState starts the memory of a class.
func newClassState(c Class) *classState {
	if c.Deadline == 0 {
		c.Deadline = 60 * second // a class that sets none: longer than a call between services takes
	}
	if c.LatencyObjective == 0 {
		c.LatencyObjective = c.Deadline
	}
	aim := float64(c.LatencyObjective)
	return &classState{Class: c, latencyP95: aim / 2, latencyP90: aim / 2, baselineP90: aim / 2, latencyMedian: aim / 4, priority: c.PriorityWeight}
}

// UpdateSettings takes other settings in force from now on. Open requests keep the rules they were taken under, and their place
// among the classes as long as they are open, also where their class is none any more. Guards against a request that
// changes its effect between two attempts, and against a balancer that learns anew.
func (b *Balancer) UpdateSettings(now int64, set Settings) {
	old := b.classes
	b.applySettings(set)
	servers := map[*endpointState]bool{}
	for _, s := range b.knownEndpoints {
		servers[s] = true
	}
	used := map[*classState]bool{}
	for _, r := range b.openRequests {
		used[r.class] = true
		for i := range r.attempts {
			servers[r.attempts[i].endpoint] = true // it may be forgotten by now
		}
	}
	for _, c := range old {
		if used[c] && !slices.Contains(b.classes, c) {
			b.classes = append(b.classes, c)
		}
	}
	for _, r := range b.openRequests {
		r.Class = slices.Index(b.classes, r.class)
	}
	for s := range servers {
		was := s.ejections
		s.ejections = make([]ejectionState, len(b.classes))
		for i, c := range b.classes {
			if at := slices.Index(old, c); at >= 0 {
				s.ejections[i] = was[at]
			} else if s.ejectedForAll { // one that serves no class is not tried anew for another
				s.ejections[i] = was[0]
				s.ejections[i].inFlight = 0
			}
		}
	}
	b.updatePriorities()
	b.updateSubset(now)
}

// forgetUnusedClasses drops classes that no request has any more.
func (b *Balancer) forgetUnusedClasses() {
	n := len(b.settings.Classes)
	if len(b.classes) == n {
		return
	}
	for _, r := range b.openRequests {
		if r.Class >= n {
			return
		}
	}
	b.classes = b.classes[:n:n]
	for _, s := range b.knownEndpoints {
		s.ejections = s.ejections[:n:n]
		s.ejectedForAll = !slices.ContainsFunc(s.ejections, func(h ejectionState) bool { return !h.ejected })
	}
}
