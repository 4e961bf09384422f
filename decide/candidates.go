// Whether a request may have an attempt now, and which endpoints may take it.

package decide

import "slices"

// canAttempt reports whether an attempt of r is allowed, whatever the endpoint: it has time and attempts
// left, none is in flight, and the attempt budget has one for a retry.
func (b *Balancer) canAttempt(now int64, r *request) bool {
	return !r.ended && !r.streamStarted && now < r.deadline && r.inFlight == 0 &&
		len(r.attempts) < r.maxAttempts && (!r.hasPriorAttempt() || b.attemptBudgetRemaining(now) >= 1)
}

// hasPermittedEndpoint reports whether r lacks only capacity: some endpoint of the subset could take it
// without a second effect.
func (b *Balancer) hasPermittedEndpoint(now int64, r *request) bool {
	return slices.ContainsFunc(b.subset, func(s *endpointState) bool { return r.repeatIsSafe(now, s) })
}

// collectCandidates fills b.candidates with the endpoints that an attempt of r may go to: those of the subset
// and its preferred replica. Those that the request has tried already count only where no other is eligible.
func (b *Balancer) collectCandidates(now int64, r *request, preferred *endpointState) bool {
	for _, alreadyAttempted := range []bool{false, true} {
		b.candidates = b.candidates[:0]
		for _, s := range b.subset {
			if s != preferred && b.eligible(now, r, s) && r.attempted(s) == alreadyAttempted {
				b.candidates = append(b.candidates, s)
			}
		}
		if preferred != nil && b.eligible(now, r, preferred) && r.attempted(preferred) == alreadyAttempted {
			b.candidates = append(b.candidates, preferred)
		}
		if len(b.candidates) > 0 {
			return true
		}
	}
	return false
}

// eligible reports whether an attempt of r may go to s now.
func (b *Balancer) eligible(now int64, r *request, s *endpointState) bool {
	switch {
	case !s.inService():
		return false
	case b.totalInFlight(now, s) >= b.concurrencyBound(s):
		return false
	case b.gossipEnabled() && b.unresponsive(now, s):
		return false
	case !s.admitsTrial(now, r.Class):
		return false
	}
	return b.slowStartAdmits(now, s) && r.repeatIsSafe(now, s)
}
