// How loaded an endpoint is by what is in flight there, and whether it responds.

package decide

// utilization is the number of attempts in flight at s per unit of its capacity: own ones, or with gossip
// those of all balancers and one more.
func (b *Balancer) utilization(now int64, s *endpointState) float64 {
	if b.gossipEnabled() {
		return (b.totalInFlight(now, s) + 1) / s.Capacity
	}
	return float64(s.inFlight) / s.Capacity
}

// meanUtilization is that of the subset. A draw that finds an endpoint above it is repeated: attempts pile up
// at a paused or slow endpoint before its first answer shows it.
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

// unresponsive reports whether attempts at s have had no answer for longer than nearly all answers take.
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
