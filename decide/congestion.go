// Distinguishes late responses that are caused by congestion from those that are slow for another reason,
// such as tail latency or a slow dependency. Sending less helps only against congestion.

package decide

const (
	// earlyShare is the share of the latency objective within which a response is early. It is below 1 so
	// that late responses warn of congestion while there is time to act. With a smaller share, single slow
	// endpoints would have requests rejected.
	earlyShare = 0.75
	// earlyShareWithReports replaces earlyShare if endpoints report their load. The draw then evens out
	// single slow endpoints, so a late response is evidence of congestion at all of them.
	earlyShareWithReports = 0.6
	// congestedP90Factor times the p90 baseline is the latency above which a response is late regardless of
	// the objective, since endpoints that slow down under load lose throughput long before responses
	// approach the objective.
	congestedP90Factor = 1.6

	unloadedFactor      = 1.5 // multiple of its baseline up to which the p15 latency shows no congestion
	minTailResponseRate = 4.0 // responses of a class per second needed for its p15 latency to be timely
	endpointP15Step     = 0.3 // step of an endpoint's latencyP15Ratio, in log units
)

// isEarly reports whether the latency of an outcome shows no congestion.
func (b *Balancer) isEarly(c *classState, o Outcome) bool {
	share := earlyShare
	if b.loadReports.seen {
		share = earlyShareWithReports
	}
	late := min(share*float64(c.LatencyObjective), congestedP90Factor*c.baselineP90)
	return o.Result != Errored && o.Result != TimedOut && float64(o.Latency) <= late
}

// atUnloadedLatency records the latency of a response of s, and reports whether the p15 latencies are near
// their baselines: that of the class, and also that of s. Congestion would raise them as well, so if they
// are low, a late response is slow for another reason. Both results are false if load is reported or
// gossiped, which is better evidence, and if responses are too rare to show congestion in time.
func (b *Balancer) atUnloadedLatency(c *classState, s *endpointState, o Outcome) (class, endpoint bool) {
	if o.Result != Succeeded {
		return false, false
	}
	ratio := float64(o.Latency) / max(1, c.baselineP15)
	if s.latencyP15Ratio == 0 {
		s.latencyP15Ratio = ratio
	}
	s.latencyP15Ratio = stepP15(s.latencyP15Ratio, ratio, endpointP15Step)
	class = !b.loadReports.seen && !b.gossipEnabled() &&
		max(c.responseRate, c.responsesThisSecond) >= minTailResponseRate &&
		c.latencyP15 <= unloadedFactor*c.baselineP15
	return class, class && s.latencyP15Ratio <= unloadedFactor
}
