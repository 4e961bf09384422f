package decide

import (
	"slices"
)

// FollowAttempt takes in that the balancer watched has sent an attempt of a request to a server, or, where that is empty,
// that it has sent none: an attempt of this balancer's own that was never made is struck out. A request that this one
// has answered, and a server that it does not know, stay as they are.
func (b *Balancer) FollowAttempt(now int64, id, server string) {
	r := b.openRequests[id]
	if r == nil || r.ended {
		return
	}
	if n := len(r.attempts) - 1; n >= r.followedAttempts {
		a := &r.attempts[n]
		if a.endpoint.ID == server { // as this one would have it
			r.followedAttempts = n + 1
			return
		}
		a.endpoint.slowStartTokens.tokens++
		a.endpoint.inFlight--
		a.endpoint.ejections[r.Class].inFlight--
		r.inFlight--
		b.inFlight--
		r.attempts = r.attempts[:n]
	}
	if s := b.knownEndpoints[server]; s != nil {
		b.queue = slices.DeleteFunc(b.queue, func(q *request) bool { return q == r })
		b.send(now, r, s, b.subsetDrawProbability(s))
		r.followedAttempts = len(r.attempts)
	}
}

// IsOpen tells whether a request has no final answer of this balancer's yet.
func (b *Balancer) IsOpen(id string) bool {
	r := b.openRequests[id]
	return r != nil && !r.ended
}

// subsetDrawProbability is about how likely a draw among all arms picks s.
func (b *Balancer) subsetDrawProbability(s *endpointState) float64 {
	sum, size := b.totalWeight(b.subset, nil)
	if !s.inSubset || size == 0 {
		return gamma / float64(len(b.subset)+1)
	}
	return b.drawProbability(s, nil, sum, size)
}
