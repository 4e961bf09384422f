// Shadow evaluation: a second balancer takes the events of the one that serves, and its decisions are
// compared and not carried out. What was really sent takes the place of its own choice, so that it learns
// from real outcomes.

package decide

import "slices"

// FollowAttempt takes in that the serving balancer sent an attempt of a request to a server, or with an empty
// server that it sent none. An attempt of this balancer's own that was not made is undone. A request that
// this balancer has answered, and a server that it doesn't know, are ignored.
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

// undoLastAttempt takes back what send did, but for the budgets and estimates that only an outcome settles.
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

// subsetDrawProbability is about the probability that a draw from the whole subset picks s.
func (b *Balancer) subsetDrawProbability(s *endpointState) float64 {
	weight, capacity := b.totalWeight(b.subset, nil)
	if !s.inSubset || capacity == 0 {
		return gamma / float64(len(b.subset)+1)
	}
	return b.drawProbability(s, nil, weight, capacity)
}

// IsOpen reports whether a request has no final answer of this balancer's yet.
func (b *Balancer) IsOpen(id string) bool {
	r := b.openRequests[id]
	return r != nil && !r.ended
}
