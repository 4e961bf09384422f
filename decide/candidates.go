package decide

import (
	"slices"
)

// canAttempt tells whether a further attempt is allowed at all, whatever the server.
func (b *Balancer) canAttempt(now int64, r *request) bool {
	return !r.ended && !r.streamStarted && now < r.deadline && r.inFlight == 0 &&
		len(r.attempts) < r.maxAttempts && (!r.hasPriorAttempt() || b.attemptBudgetRemaining(now) >= 1)
}

// hasPermittedEndpoint tells whether r lacks only room: some arm could take it without harm.
func (b *Balancer) hasPermittedEndpoint(now int64, r *request) bool {
	return slices.ContainsFunc(b.subset, func(s *endpointState) bool { return r.repeatIsSafe(now, s) })
}

// collectCandidates gathers the servers that an attempt of r may go to: without replacement while others remain.
func (b *Balancer) collectCandidates(now int64, r *request, home *endpointState) bool {
	for _, again := range []bool{false, true} {
		b.candidates = b.candidates[:0]
		for _, s := range b.subset {
			if s != home && b.eligible(now, r, s) && r.attempted(s) == again {
				b.candidates = append(b.candidates, s)
			}
		}
		if home != nil && b.eligible(now, r, home) && r.attempted(home) == again {
			b.candidates = append(b.candidates, home)
		}
		if len(b.candidates) > 0 {
			return true
		}
	}
	return false
}

// eligible tells whether an attempt of r may go to s now.
func (b *Balancer) eligible(now int64, r *request, s *endpointState) bool {
	h := &s.ejections[r.Class]
	if s.Phase != InService || b.totalInFlight(now, s) >= b.concurrencyBound(s) || b.gossipEnabled() && b.unresponsive(now, s) ||
		h.ejected && (now < h.ejectedUntil || h.inFlight > 0 || s.ejectedForAll && s.inFlight > 0) {
		return false
	}
	return b.slowStartAdmits(now, s) && r.repeatIsSafe(now, s)
}
