// Changes of settings. State of classes and tenants whose name stays is kept, and open requests keep the
// rules under which they arrived.

package decide

import "slices"

const (
	defaultMaxAttempts = 4           // attempts of a request, if no limit is set
	defaultDeadline    = 60 * second // deadline of a class that sets none
)

// applySettings replaces the settings and fills in defaults.
func (b *Balancer) applySettings(set Settings) {
	if set.Limits.MaxAttempts == 0 {
		set.Limits.MaxAttempts = defaultMaxAttempts
	}
	classes := make([]*classState, len(set.Classes))
	for i, c := range set.Classes {
		classes[i] = newClassState(c)
		for _, old := range b.classes {
			if old.Name == c.Name {
				if old.Deadline != classes[i].Deadline {
					old.maxFirstTimeLeft = 0
				}
				old.Class, classes[i] = classes[i].Class, old
			}
		}
	}
	tenantRequests := make([]float64, len(set.Tenants))
	for i, t := range set.Tenants {
		at := slices.IndexFunc(b.settings.Tenants, func(old Tenant) bool { return old.Name == t.Name })
		if at >= 0 {
			tenantRequests[i] = b.tenantRequests[at]
		}
	}
	b.settings, b.classes, b.tenantRequests = set, classes, tenantRequests
	b.attemptBudget.setWindow(set.Rules.AttemptBudgetWindow)
}

// UpdateSettings replaces the settings. Open requests keep the rules under which they arrived. They also
// keep their class until they end, even if the settings no longer contain it. The settings must be valid,
// see Settings.Validate.
func (b *Balancer) UpdateSettings(now int64, set Settings) {
	old := b.classes
	b.applySettings(set)
	used := map[*classState]bool{}
	for _, r := range b.openRequests {
		used[r.class] = true
	}
	for _, c := range old {
		if used[c] && !slices.Contains(b.classes, c) {
			b.classes = append(b.classes, c)
		}
	}
	for _, r := range b.openRequests {
		r.Class = slices.Index(b.classes, r.class)
	}
	for s := range b.referencedEndpoints() {
		s.remapEjections(old, b.classes)
	}
	b.updatePriorities()
	b.updateSubset(now)
}

// referencedEndpoints returns the known endpoints and those that attempts of open requests refer to.
func (b *Balancer) referencedEndpoints() map[*endpointState]bool {
	endpoints := map[*endpointState]bool{}
	for _, s := range b.knownEndpoints {
		endpoints[s] = true
	}
	for _, r := range b.openRequests {
		for i := range r.attempts {
			endpoints[r.attempts[i].endpoint] = true
		}
	}
	return endpoints
}

// remapEjections reorders the ejection states of s for a new list of classes. An endpoint that is ejected
// from every class is also ejected from new classes.
func (s *endpointState) remapEjections(old, classes []*classState) {
	oldStates := s.ejections
	s.ejections = make([]ejectionState, len(classes))
	for i, c := range classes {
		if at := slices.Index(old, c); at >= 0 {
			s.ejections[i] = oldStates[at]
		} else if s.ejectedForAll {
			s.ejections[i] = oldStates[0]
			s.ejections[i].inFlight = 0
		}
	}
}

// forgetUnusedClasses drops classes that are no longer in the settings, once no open request uses such a
// class.
func (b *Balancer) forgetUnusedClasses() {
	count := len(b.settings.Classes)
	if len(b.classes) == count {
		return
	}
	for _, r := range b.openRequests {
		if r.Class >= count {
			return
		}
	}
	b.classes = b.classes[:count:count]
	for _, s := range b.knownEndpoints {
		s.ejections = s.ejections[:count:count]
		s.ejectedForAll = s.ejectedFromAllClasses()
	}
}
