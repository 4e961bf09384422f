// Limits on the attempts in flight, at one endpoint and at all endpoints together.
//
// The pool limit is a number of attempts per unit of capacity. Every response moves it, so that a quiet
// balancer learns from each of its few responses. Without gossip, it bounds this balancer's attempts at all
// endpoints, and each endpoint has its own limit as well. With gossip, it bounds the attempts of all
// balancers at each endpoint.
//
// Limits grow while they are in use and responses are early, and shrink with late responses. The ratio of
// the two steps sets the share of late responses at which a limit settles: at a smaller share the limits
// waste capacity, at a larger share more congestion ends in overload.

package decide

const (
	// initialLimit is the number of attempts in flight, of all balancers together and per unit of capacity,
	// that a balancer starts with.
	initialLimit = 8.0
	// minLimit is below 1 because the limits of all endpoints add up to the attempts that a balancer may
	// have in flight. With many balancers, each one then uses an endpoint only part of the time.
	minLimit = 0.1

	initialLimitIncrease = 1.10 // factor per early response until the first late one: the start is a guess
	limitIncrease        = 1.02 // factor per early response; the limit settles at one late response in five
	limitDecrease        = 0.92 // factor per late response
	// saturationCut is the factor when an endpoint is saturated or an attempt takes the whole latency
	// objective. The cut is large because a single such failure is plain evidence of overload.
	saturationCut = 0.6

	poolIncrease           = 0.05  // share added per early response; settles at one late response in four
	poolIncreaseWithGossip = 0.015 // share added per early response; settles at one late in eleven
	poolDecrease           = 0.15  // share removed per late response
	// fullStepInFlight is the number of own attempts in flight above which each response moves the pool
	// limit by less, so that one burst of late responses doesn't leave a busy balancer without capacity.
	fullStepInFlight = 4.0
)

// poolState is the limit on the attempts in flight at all endpoints.
type poolState struct {
	limit          float64 // attempts per unit of capacity
	congestionSeen bool    // a response has been late
}

// adaptLimits classifies an outcome as early or late and moves the limits accordingly.
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
		withinEarlyShare := o.Result == Succeeded &&
			float64(o.Latency) <= earlyShare*float64(c.LatencyObjective)
		b.adaptPoolLimit(now, s, withinEarlyShare || classUnloaded, o.Result)
		return
	}
	b.adaptPoolLimit(now, s, early || classUnloaded, o.Result)
	b.adaptEndpointLimit(now, c, a, o, early || endpointUnloaded)
}

// adaptPoolLimit moves the pool limit by an outcome of an attempt at s.
func (b *Balancer) adaptPoolLimit(now int64, s *endpointState, early bool, result Result) {
	// With gossip, a response reflects the attempts of all balancers at its endpoint, so it moves the limit
	// by a full step.
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
	case !early: // a failure concerns only its endpoint
	case b.poolLimitUnused(now, s):
	case !b.pool.congestionSeen:
		b.pool.limit *= initialLimitIncrease
	default:
		b.pool.limit *= 1 + increase*step
	}
}

// poolLimitUnused reports whether there is room for two more attempts: at s with gossip, and otherwise at
// all endpoints together.
func (b *Balancer) poolLimitUnused(now int64, s *endpointState) bool {
	inFlight, capacity := b.totalInFlight(now, s), b.pool.limit*s.Capacity
	if !b.gossipEnabled() {
		inFlight, capacity = b.poolCapacity(now)
	}
	return inFlight+2 <= capacity
}

// adaptEndpointLimit moves the limit of the endpoint that responded. It is used without gossip.
func (b *Balancer) adaptEndpointLimit(now int64, c *classState, a *attempt, o Outcome, early bool) {
	s := a.endpoint
	rejectionUsesBudget := b.settings.Rules.AttemptBudgetWindow > 0
	switch {
	case o.Result != Succeeded && o.Result != TimedOut && o.Result != Saturated:
		// Other failures are not caused by congestion.
	case s.lastResponseEarly && (o.Result == TimedOut || o.Result == Saturated && !rejectionUsesBudget):
		// A single lost attempt, or an endpoint that rejects early by design, is not congestion. With an
		// attempt budget, saturation lowers the limit nevertheless, since each one uses up a retry.
	case !early:
		b.cutEndpointLimit(now, c, a, o)
	case float64(s.inFlight+2) <= s.concurrencyLimit: // the limit is not in use
	case s.limitCutAt == 0:
		s.concurrencyLimit *= initialLimitIncrease
	default:
		s.concurrencyLimit *= limitIncrease
	}
}

// cutEndpointLimit lowers the limit of an endpoint after a late response or a failure. The large cut is
// made only once for all attempts that were sent before it.
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

// resetLimit sets the limit of s to this balancer's share of the initial limit, since estimates from a
// previous process of the endpoint no longer apply.
func (b *Balancer) resetLimit(s *endpointState) {
	s.concurrencyLimit = max(minLimit, initialLimit*s.Capacity/b.balancersPerEndpoint())
	s.limitCutAt = 0
}

// concurrencyBound returns how many attempts may be in flight at s: those of all balancers with gossip, and
// otherwise those of this balancer.
func (b *Balancer) concurrencyBound(s *endpointState) float64 {
	if b.gossipEnabled() {
		return max(1, b.pool.limit*s.Capacity)
	}
	return s.concurrencyLimit
}

// saturated reports whether no further attempt may be in flight, whatever the endpoint. A busy balancer
// uses the sum of its endpoints' limits, a quiet one the pool limit. With gossip the bound of each endpoint
// suffices, unless messages are lost and the attempts of other balancers have to be estimated.
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

// sumOfLimits adds up the limits of the endpoints in use: those of the subset, and the preferred replicas
// of keys.
func (b *Balancer) sumOfLimits() (sum float64) {
	for _, s := range b.endpoints {
		if s.inSubset || s.successesThisSecond+s.inFlight > 0 {
			sum += s.concurrencyLimit
		}
	}
	return sum
}

// poolCapacity returns the number of attempts in flight at all responsive endpoints, and how many the pool
// limit allows there. Unresponsive endpoints count in neither number, so that attempts stuck there don't
// use up the capacity of other endpoints.
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
