// How many attempts may be in flight: at one endpoint, and at all of them together.
//
// The pool limit is the number of attempts per unit of capacity; all answers move it, so that a quiet
// balancer learns from each of its few answers. Without gossip it bounds the own attempts at all endpoints,
// and each endpoint has a limit of its own besides. With gossip it bounds what all balancers together have in
// flight at each endpoint.
//
// Limits grow while they are in use and answers are early, and shrink with late answers. The ratio of the two
// steps sets the share of late answers at which a limit rests.

package decide

const (
	// initialLimit is the first guess: attempts in flight of all balancers together, per unit of capacity.
	initialLimit = 8.0
	// minLimit is below one, so that many balancers together may have less than one attempt each at an
	// endpoint.
	minLimit = 0.1

	initialLimitIncrease = 1.10 // factor for an early answer before the first late one
	limitIncrease        = 1.02 // factor for an early answer; rests where one answer in five is late
	limitDecrease        = 0.92 // factor for a late answer
	saturationCut        = 0.6  // factor when an endpoint is saturated or an attempt took the whole objective

	poolIncrease           = 0.05  // part for an early answer; rests where one answer in four is late
	poolIncreaseWithGossip = 0.015 // the same; rests where one answer in eleven is late
	poolDecrease           = 0.15  // part for a late answer
	// fullStepInFlight own attempts in flight: with more, each answer moves the pool limit by less, so that
	// one burst of late answers doesn't leave a busy balancer without capacity.
	fullStepInFlight = 4.0
)

// poolState is the limit of what is in flight at all endpoints.
type poolState struct {
	limit          float64 // attempts per unit of capacity
	congestionSeen bool    // some answer was late
}

// adaptLimits takes in whether an answer was early or late.
func (b *Balancer) adaptLimits(now int64, c *classState, a *attempt, o Outcome) {
	s := a.endpoint
	early := o.Result == Succeeded && b.isEarly(c, o)
	if !early {
		b.counters.late++
	}
	if o.Result == Succeeded {
		s.lastResponseEarly = early
	}
	classUnloaded, endpointUnloaded := b.atUnloadedLatency(c, s, o)
	if b.gossipEnabled() {
		withinEarlyShare := o.Result == Succeeded && float64(o.Latency) <= earlyShare*float64(c.LatencyObjective)
		b.adaptPoolLimit(now, s, withinEarlyShare || classUnloaded, o.Result)
		return
	}
	b.adaptPoolLimit(now, s, early || classUnloaded, o.Result)
	b.adaptEndpointLimit(now, c, a, o, early || endpointUnloaded)
}

// adaptPoolLimit moves the pool limit by an answer of s.
func (b *Balancer) adaptPoolLimit(now int64, s *endpointState, early bool, result Result) {
	// With gossip one endpoint's answer tells of the attempts of all balancers there.
	step, increase, minimum := 1.0, poolIncreaseWithGossip, 1.0
	if !b.gossipEnabled() {
		step = min(1, fullStepInFlight/float64(b.inFlight+1))
		increase = poolIncrease
		minimum = 1 / float64(max(1, len(b.endpoints)))
	}
	switch {
	case !early && result == Succeeded:
		b.pool.limit = max(minimum, b.pool.limit*(1-poolDecrease*step))
		b.pool.congestionSeen = true
	case !early: // a failure tells of its endpoint alone
	case b.poolLimitUnused(now, s):
	case !b.pool.congestionSeen:
		b.pool.limit *= initialLimitIncrease
	default:
		b.pool.limit *= 1 + increase*step
	}
}

// poolLimitUnused reports whether two more attempts fit: at s with gossip, else at all endpoints.
func (b *Balancer) poolLimitUnused(now int64, s *endpointState) bool {
	inFlight, capacity := b.totalInFlight(now, s), b.pool.limit*s.Capacity
	if !b.gossipEnabled() {
		inFlight, capacity = b.poolCapacity(now)
	}
	return inFlight+2 <= capacity
}

// adaptEndpointLimit moves the limit of the endpoint that answered, where there is no gossip.
func (b *Balancer) adaptEndpointLimit(now int64, c *classState, a *attempt, o Outcome, early bool) {
	s := a.endpoint
	rejectionUsesBudget := b.settings.Rules.AttemptBudgetWindow > 0
	switch {
	case o.Result != Succeeded && o.Result != TimedOut && o.Result != Saturated:
		// Other failures say nothing of congestion.
	case s.lastResponseEarly && (o.Result == TimedOut || o.Result == Saturated && !rejectionUsesBudget):
		// A lone loss, or an endpoint that rejects early by design, is no congestion. Where an attempt budget
		// makes each rejection cost a retry, the limit is cut all the same.
	case !early:
		b.cutEndpointLimit(now, c, a, o)
	case float64(s.inFlight+2) <= s.concurrencyLimit: // not in use
	case s.limitCutAt == 0:
		s.concurrencyLimit *= initialLimitIncrease
	default:
		s.concurrencyLimit *= limitIncrease
	}
}

// cutEndpointLimit lowers the limit of an endpoint for a late answer or a failure. The large cut is made once
// for all attempts sent before it.
func (b *Balancer) cutEndpointLimit(now int64, c *classState, a *attempt, o Outcome) {
	s := a.endpoint
	congested := o.Result == Saturated || o.Result == TimedOut && o.Latency >= c.LatencyObjective
	if congested && a.sentAt > s.limitCutAt {
		s.concurrencyLimit = min(s.concurrencyLimit, float64(s.inFlight+1)) * saturationCut
		s.limitCutAt = now
	}
	s.concurrencyLimit = max(minLimit, s.concurrencyLimit*limitDecrease)
	s.limitCutAt = max(s.limitCutAt, 1)
}

// resetLimit gives s this balancer's part of the initial limit: what was learned of an earlier process
// doesn't hold.
func (b *Balancer) resetLimit(s *endpointState) {
	s.concurrencyLimit = max(minLimit, initialLimit*s.Capacity/b.balancersPerEndpoint())
	s.limitCutAt = 0
}

// concurrencyBound is how many attempts may be in flight at s: of all balancers with gossip, else of this
// one.
func (b *Balancer) concurrencyBound(s *endpointState) float64 {
	if b.gossipEnabled() {
		return max(1, b.pool.limit*s.Capacity)
	}
	return s.concurrencyLimit
}

// saturated reports whether no more attempts may be in flight at all endpoints together. A busy balancer goes
// by the sum of its endpoints' limits, a quiet one by the pool limit. With gossip the bound of each endpoint
// is enough, unless the messages are lost and what others have in flight is guessed.
func (b *Balancer) saturated(now int64) bool {
	if b.gossipEnabled() {
		if !b.gossipLost(now) {
			return false
		}
	} else if b.rates.busy() {
		return float64(b.inFlight) >= max(1, b.sumOfLimits())
	}
	inFlight, capacity := b.poolCapacity(now)
	return inFlight >= max(1, capacity)
}

// sumOfLimits adds up the limits of the endpoints in use: those of the subset, and those that keys prefer.
func (b *Balancer) sumOfLimits() (sum float64) {
	for _, s := range b.endpoints {
		if s.inSubset || s.successesThisSecond+s.inFlight > 0 {
			sum += s.concurrencyLimit
		}
	}
	return sum
}

// poolCapacity is how many attempts may be in flight at all endpoints that respond, by the pool limit, and
// how many are. Attempts at endpoints that don't respond count in neither, so that they don't take the place
// of others.
func (b *Balancer) poolCapacity(now int64) (inFlight, capacity float64) {
	usable := 0.0
	for _, s := range b.endpoints {
		responds := s.inService() && !s.ejectedForAll && !b.unresponsive(now, s)
		if responds && (s.inSubset || !b.gossipEnabled()) {
			inFlight += b.totalInFlight(now, s)
			usable += s.Capacity * b.warmupFraction(now, s)
		}
	}
	return inFlight, b.pool.limit * usable
}
