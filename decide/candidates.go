// Whether a request may have an attempt now, and which endpoints are eligible for it.

package decide

import "slices"

// canAttempt reports whether r may have another attempt, regardless of the endpoint: its deadline has not
// passed, it has attempts left and none in flight, and the attempt budget allows a retry.
func (b *Balancer) canAttempt(now int64, r *request) bool {
	return !r.ended && !r.streamStarted && now < r.deadline && r.inFlight == 0 &&
		len(r.attempts) < r.maxAttempts && (!r.hasPriorAttempt() || b.attemptBudgetRemaining(now) >= 1)
}

// hasPermittedEndpoint reports whether some endpoint of the subset may take r without the risk of running
// it twice. If so, r can wait in the queue for capacity.
func (b *Balancer) hasPermittedEndpoint(now int64, r *request) bool {
	return slices.ContainsFunc(b.subset, func(s *endpointState) bool { return r.repeatIsSafe(now, s) })
}

// collectCandidates fills b.candidates with the eligible endpoints: those of the subset and the preferred
// replica of r. Endpoints that have already had an attempt of r are used only if no other one is eligible.
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
