// The utilization of an endpoint by attempts in flight, and whether the endpoint is responsive.

package decide

// utilization returns the number of attempts in flight at s per unit of its capacity. With gossip, it
// counts the attempts of all balancers plus one, and otherwise those of this balancer.
func (b *Balancer) utilization(now int64, s *endpointState) float64 {
	if b.gossipEnabled() {
		return (b.totalInFlight(now, s) + 1) / s.Capacity
	}
	return float64(s.inFlight) / s.Capacity
}

// meanUtilization returns the mean utilization of the subset. A draw that picks an endpoint above it is
// repeated, since attempts accumulate at a paused or slow endpoint before its first response reveals the
// problem.
func (b *Balancer) meanUtilization(now int64) float64 {
	capacity, healthy, sum := 0.0, 0.0, 0.0
	for _, s := range b.subset {
		capacity += s.Capacity
		if !s.ejectedForAll {
			healthy++
			sum += b.utilization(now, s)
		}
	}
	if b.gossipEnabled() {
		return sum / healthy
	}
	return float64(b.inFlight) / capacity
}

// unresponsive reports whether attempts at s have had no response for longer than the p95 latency of every
// class.
func (b *Balancer) unresponsive(now int64, s *endpointState) bool {
	if s.inFlight == 0 {
		return false
	}
	longestP95 := 0.0
	for _, c := range b.classes {
		longestP95 = max(longestP95, c.latencyP95)
	}
	return float64(now-s.silentSince) > longestP95
}
