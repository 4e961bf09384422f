// Whether a late answer tells of congestion or is slow by nature (a tail, a slow dependency). Only congestion
// gets better when less is sent.

package decide

const (
	// earlyShare of the latency objective: an answer within it is early. Later ones warn while there is time
	// to act.
	earlyShare = 0.75
	// earlyShareWithReports takes its place where endpoints report their load: the draw evens out single slow
	// ones then, so a late answer tells of all.
	earlyShareWithReports = 0.6
	// congestedP90Factor times the baseline: later answers are late whatever the objective, since endpoints
	// that slow down under load lose work before answers come near it.
	congestedP90Factor = 1.6

	unloadedFactor      = 1.5 // times its baseline, up to which the quickest answers show no congestion
	minTailResponseRate = 4.0 // answers of a class per second, from which on they show congestion in time
	endpointP15Step     = 0.3
)

// isEarly reports whether an outcome shows no congestion by its latency.
func (b *Balancer) isEarly(c *classState, o Outcome) bool {
	share := earlyShare
	if b.loadReports.seen {
		share = earlyShareWithReports
	}
	late := min(share*float64(c.LatencyObjective), congestedP90Factor*c.baselineP90)
	return o.Result != Errored && o.Result != TimedOut && float64(o.Latency) <= late
}

// atUnloadedLatency takes in the latency of an answer of s, and reports whether the quickest answers are as
// quick as ever: those of the class, and also those of s. Congestion would delay them too, so a late answer
// is then slow by nature. Where load is reported or gossiped that is better evidence, and a few answers come
// too late: both are false.
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
