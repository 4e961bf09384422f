package decide

const (
	earlyShareWithReports = 0.6  // of the aim: later answers warn of a crowd while there is time to act
	earlyShare            = 0.75 // the same where balancers tell one another what they hold, and where no server tells
	endpointP15Step       = 0.3  // of the steps of one server
	unloadedFactor        = 1.5  // of its lowest, up to which the quick mark tells of no crowd
	minTailAnswerRate     = 4.0  // of a class each second, from which on its quickest tell of a crowd in time
	congestedP90Factor    = 1.6  // uncrowded calm marks: servers that slow down when crowded lose work before the aim
)

// isEarly tells whether an outcome warns of no crowd: it takes a part of the aim at the most, less where servers tell of their
// load, so that the draw evens them out and a late answer tells of the whole, and no more than congestedP90Factor of the uncrowded
// mark. Guards against refusals for single slow servers where they do not tell.
func (b *Balancer) isEarly(c *classState, o Outcome) bool {
	share := earlyShare
	if b.loadReportsSeen {
		share = earlyShareWithReports
	}
	late := min(share*float64(c.LatencyObjective), congestedP90Factor*c.baselineP90)
	return o.Result != Errored && o.Result != TimedOut && float64(o.Latency) <= late
}

// unloadedLatency takes in how quick an answer of s was, and tells whether a late one is slow by nature: calm, as the quickest of its class
// are as quick as ever; well, as those of s are too. Guards against refusals for a slow tail, which no refusal makes quicker.
// Where servers or balancers tell what is held, that tells of a crowd, and where answers are few they tell of one too late.
func (b *Balancer) unloadedLatency(c *classState, s *endpointState, o Outcome) (calm, well bool) {
	if o.Result != Succeeded {
		return false, false
	}
	part := float64(o.Latency) / max(1, c.baselineP15)
	if s.latencyP15Ratio == 0 {
		s.latencyP15Ratio = part
	}
	s.latencyP15Ratio = stepP15(s.latencyP15Ratio, part, endpointP15Step)
	calm = !b.loadReportsSeen && !b.gossipEnabled() && max(c.answerRate, c.answersThisSecond) >= minTailAnswerRate && c.latencyP15 <= unloadedFactor*c.baselineP15
	return calm, calm && s.latencyP15Ratio <= unloadedFactor
}
