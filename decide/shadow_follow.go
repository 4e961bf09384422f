// Shadow evaluation. A second balancer handles the same events as the serving balancer, and its decisions
// are compared but not carried out. The attempts that were really sent replace its own choices, so that it
// learns from real outcomes.

package decide

import "slices"

// FollowAttempt records that the serving balancer sent an attempt of a request to a server, or with an
// empty server that it sent none. An attempt of this balancer that was not really sent is undone. Requests
// that this balancer has already answered and unknown servers are ignored.
func (b *Balancer) FollowAttempt(now int64, id, server string) {
	r := b.openRequests[id]
	if r == nil || r.ended {
		return
	}
	if last := len(r.attempts) - 1; last >= r.followedAttempts {
		if r.attempts[last].endpoint.ID == server {
			r.followedAttempts = last + 1
			return
		}
		b.undoLastAttempt(r)
	}
	if s := b.knownEndpoints[server]; s != nil {
		b.queue = slices.DeleteFunc(b.queue, func(q *request) bool { return q == r })
		b.send(now, r, s, b.subsetDrawProbability(s))
		r.followedAttempts = len(r.attempts)
	}
}

// undoLastAttempt reverts send, except for the budgets and estimates that the send has changed.
func (b *Balancer) undoLastAttempt(r *request) {
	last := len(r.attempts) - 1
	s := r.attempts[last].endpoint
	s.slowStartTokens.tokens++
	s.inFlight--
	s.ejections[r.Class].inFlight--
	r.inFlight--
	b.inFlight--
	r.attempts = r.attempts[:last]
}

// subsetDrawProbability returns the approximate probability that a draw from the whole subset picks s.
func (b *Balancer) subsetDrawProbability(s *endpointState) float64 {
	weight, capacity := b.totalWeight(b.subset, nil)
	if !s.inSubset || capacity == 0 {
		return gamma / float64(len(b.subset)+1)
	}
	return b.drawProbability(s, nil, weight, capacity)
}

// IsOpen reports whether this balancer has not yet given a request its final response.
func (b *Balancer) IsOpen(id string) bool {
	r := b.openRequests[id]
	return r != nil && !r.ended
}
