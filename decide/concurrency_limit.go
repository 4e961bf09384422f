package decide

const (
	initialLimit           = 8.0   // attempts that all balancers together may hold at a server of mean size at first
	minLimit               = 0.1   // limits add up to what may be out: below one, a server gets its part in turn
	limitIncrease          = 1.02  // a limit's factor for an early answer while it was used; with limitDecrease it holds ...
	poolIncrease           = 0.05  // that the density grows for an early answer while used; with poolDecrease it holds
	poolDecrease           = 0.15  // where one in four is past 3/4 of the aim
	poolIncreaseWithGossip = 0.015 // of it where balancers tell one another what they hold: one in eleven is late
	fullStepInFlight       = 4.0   // out: where more are, each moves it by less, and all together by as much
	initialLimitIncrease   = 1.10  // the same before a server's first late answer: the start is a guess
	limitDecrease          = 0.92  // ... where one answer in five is late: fewer waste room, more end in a jam
	saturationCut          = 0.6   // of the limit, kept when a server is full or its client gave up: one is plain enough
)

// adaptLimits moves the limit of the server that answered.
func (b *Balancer) adaptLimits(now int64, c *classState, a *attempt, o Outcome) {
	s, early := a.endpoint, o.Result == Succeeded && b.isEarly(c, o)
	if !early {
		b.counters.late++
	}
	s.lastAnswerEarly = early || o.Result != Succeeded && s.lastAnswerEarly
	if b.gossipEnabled() { // the density is of what all hold there, and moves by little
		early = o.Result == Succeeded && float64(o.Latency) <= earlyShare*float64(c.LatencyObjective)
	}
	calm, well := b.unloadedLatency(c, s, o)
	b.adaptPoolLimit(now, s, early || calm, o.Result)
	switch {
	case b.gossipEnabled() || o.Result != Succeeded && o.Result != TimedOut && o.Result != Saturated:
	case s.lastAnswerEarly && (o.Result == TimedOut || o.Result == Saturated && b.settings.Rules.AttemptBudgetWindow == 0):
		// Lost by itself, or turned away early: guards against cuts where nothing is crowded. Where further
		// attempts are rationed a full server costs one, and the cut keeps others away from it.
	case (early || well) && float64(s.inFlight+2) > s.concurrencyLimit && s.limitCutAt == 0:
		s.concurrencyLimit *= initialLimitIncrease
	case (early || well) && float64(s.inFlight+2) > s.concurrencyLimit:
		s.concurrencyLimit *= limitIncrease
	case early || well:
	default:
		if (o.Result == TimedOut && o.Latency >= c.LatencyObjective || o.Result == Saturated) && a.sentAt > s.limitCutAt {
			s.concurrencyLimit, s.limitCutAt = min(s.concurrencyLimit, float64(s.inFlight+1))*saturationCut, now
		}
		s.concurrencyLimit = max(minLimit, s.concurrencyLimit*limitDecrease)
		s.limitCutAt = max(s.limitCutAt, 1)
	}
}

// adaptPoolLimit moves the density by an answer: up where it is early and the room was used, down where it is late,
// less for each where much is out. Guards against a burst of late answers that leaves a busy one no room.
func (b *Balancer) adaptPoolLimit(now int64, s *endpointState, early bool, result Result) {
	held, room, part, up, least := b.totalInFlight(now, s), b.poolLimit*s.Capacity, 1.0, poolIncreaseWithGossip, 1.0
	if !b.gossipEnabled() { // else one server's answer tells of what all hold there
		held, room = b.poolCapacity(now)
		part, up, least = min(1, fullStepInFlight/float64(b.inFlight+1)), poolIncrease, 1/float64(max(1, len(b.endpoints)))
	}
	switch {
	case early && held+2 <= room:
	case !early && result == Succeeded: // a full server tells of itself
		b.poolLimit, b.congestionSeen = max(least, b.poolLimit*(1-poolDecrease*part)), true
	case early && !b.congestionSeen:
		b.poolLimit *= initialLimitIncrease
	case early:
		b.poolLimit *= 1 + up*part
	}
}

// resetLimit allows this balancer's part of a guess for all: what came before tells nothing.
func (b *Balancer) resetLimit(s *endpointState) {
	s.concurrencyLimit, s.limitCutAt = max(minLimit, initialLimit*s.Capacity/b.balancersPerEndpoint()), 0
}

// saturated tells whether as much is out as the limits of arms and of homes in use add up to, or as this
// balancer's part of what the servers in use can hold. Guards against many balancers that each keep one
// attempt at every server, and against busy ones held to a quiet one's part.
func (b *Balancer) saturated(now int64) bool {
	if b.gossipEnabled() {
		if !b.gossipLost(now) {
			return false // the bounds are of what all hold: their sum counts where that is guessed
		}
	} else {
		sum := 0.0
		for _, s := range b.endpoints {
			if s.inSubset || s.successesThisSecond+s.inFlight > 0 {
				sum += s.concurrencyLimit
			}
		}
		if busy := b.throughputPerCapacity[1]*float64(second) >= busyThroughput; busy {
			return float64(b.inFlight) >= max(1, sum) // limits of a busy balancer learn by themselves
		}
	}
	held, room := b.poolCapacity(now)
	return held >= max(1, room)
}

// concurrencyBound is how much all may hold at s.
func (b *Balancer) concurrencyBound(s *endpointState) float64 {
	if b.gossipEnabled() {
		return max(1, b.poolLimit*s.Capacity)
	}
	return s.concurrencyLimit
}

// poolCapacity is what this balancer may have out at all servers that answer: its density times what they can do by
// now; held is what it has. All answers move the one density. Guards against quiet balancers of a large
// fleet whose limits, each moved by an answer in seconds, let all of them together fill the servers for as
// long as a loss of capacity lasts; and against attempts at lost servers that take the place of all others.
func (b *Balancer) poolCapacity(now int64) (held, room float64) {
	usable := 0.0
	for _, s := range b.endpoints {
		if s.Phase == InService && !s.ejectedForAll && !b.unresponsive(now, s) && (s.inSubset || !b.gossipEnabled()) {
			held += b.totalInFlight(now, s)
			usable += s.Capacity * b.warmupFraction(now, s)
		}
	}
	return held, b.poolLimit * usable
}
