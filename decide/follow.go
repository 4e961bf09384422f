// Books of a balancer that watches another serve: its choices are written down, and what really happened is taken
// into its books in their place. Decides nothing.

package decide

import "slices"

// FollowAttempt takes in that the balancer watched has sent an attempt of a request to a server, or, where that is empty,
// that it has sent none: an attempt of this balancer's own that was never made is struck out. A request that this one
// has answered, and a server that it does not know, stay as they are.
func (b *Balancer) FollowAttempt(now int64, id, server string) {
	r := b.open[id]
	if r == nil || r.ended {
		return
	}
	if n := len(r.tries) - 1; n >= r.followed {
		a := &r.tries[n]
		if a.server.ID == server { // as this one would have it
			r.followed = n + 1
			return
		}
		a.server.ramp.tokens++
		a.server.inFlight--
		a.server.health[r.Class].out--
		r.out--
		b.out--
		r.tries = r.tries[:n]
	}
	if s := b.known[server]; s != nil {
		b.queue = slices.DeleteFunc(b.queue, func(q *request) bool { return q == r })
		b.send(now, r, s, b.chance(s))
		r.followed = len(r.tries)
	}
}

// IsOpen tells whether a request has no final answer of this balancer's yet.
func (b *Balancer) IsOpen(id string) bool {
	r := b.open[id]
	return r != nil && !r.ended
}

// chance is about how likely a draw among all arms picks s.
func (b *Balancer) chance(s *server) float64 {
	sum, size := b.weigh(b.arms, nil)
	if !s.arm || size == 0 {
		return gamma / float64(len(b.arms)+1)
	}
	return b.odds(s, nil, sum, size)
}
