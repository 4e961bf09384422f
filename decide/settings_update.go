// What a change of settings keeps: everything that was learned of classes and tenants with the same name, and
// for open requests the rules that they arrived under.

package decide

import "slices"

const (
	defaultMaxAttempts = 4           // of a request, where no limit is set
	defaultDeadline    = 60 * second // of a class that sets none
)

// applySettings takes settings over.
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

// UpdateSettings puts other settings in force. Open requests keep the rules that they arrived under, and
// their class until they end, also where the settings no longer have it. The settings must be valid, see
// Settings.Validate.
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

// referencedEndpoints are the known endpoints and those that open requests still name.
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

// remapEjections sorts the ejection states of s by the new list of classes. An endpoint that is ejected from
// every class is so from a new one.
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

// forgetUnusedClasses drops the classes that the settings no longer have, once no open request has one.
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
