package decide

// utilization is what s holds for its size; where balancers tell one another, as it would be with one attempt more.
func (b *Balancer) utilization(now int64, s *endpointState) float64 {
	if b.gossipEnabled() {
		return (b.totalInFlight(now, s) + 1) / s.Capacity
	}
	return float64(s.inFlight) / s.Capacity
}

// meanUtilization is the mean load of the arms: a server with more is drawn again. Attempts that pile up show a paused or
// slow server before its first answer does.
func (b *Balancer) meanUtilization(now int64) float64 {
	size, n, load := 0.0, 0.0, 0.0
	for _, s := range b.subset {
		size += s.Capacity
		if !s.ejectedForAll {
			n, load = n+1, load+b.utilization(now, s)
		}
	}
	if b.gossipEnabled() {
		return load / n
	}
	return float64(b.inFlight) / size
}

// unresponsive tells whether attempts at s have gone without an answer for longer than answers take.
func (b *Balancer) unresponsive(now int64, s *endpointState) bool {
	if s.inFlight == 0 { // most, where each request asks it of all
		return false
	}
	patience := 0.0
	for _, c := range b.classes {
		patience = max(patience, c.latencyP95)
	}
	return float64(now-s.silentSince) > patience
}
