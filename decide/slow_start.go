// Rule 4, slow start: limits the attempts that an endpoint gets from all balancers together after it has
// started.
//
// The endpoint's share of its capacity grows linearly from Rules.SlowStartMinShare to 1 over
// Rules.SlowStartWindow. Each balancer has a token bucket for the endpoint, with one token per attempt. The
// bucket fills at that share of the rate of responses that this balancer gets from a warm endpoint.

package decide

import "math"

const (
	// slowStartOverloadShare is the share of the load that would overload an endpoint
	// (Rules.OverloadFactor) that it may always get. Its warm-up share may be less, and it would then idle
	// while warm endpoints respond late. The configured warm-up is the slowest that is expected.
	slowStartOverloadShare = 0.5

	// minTokenLifetimeShare is the least lifetime of a token, as a share of the overload window. It applies
	// if the overload factor leaves no room for a longer one.
	minTokenLifetimeShare = 0.1
	defaultOverloadWindow = second // if no overload window is set
)

// warmupFraction returns the share of its capacity that s has reached; 1 means that it is warm.
func (b *Balancer) warmupFraction(now int64, s *endpointState) float64 {
	rules := &b.settings.Rules
	age := now - s.slowStartSince
	if s.slowStartSince == 0 || age >= rules.SlowStartWindow {
		return 1
	}
	from := rules.SlowStartMinShare
	return from + (1-from)*float64(max(age, 0))/float64(rules.SlowStartWindow)
}

// beginSlowStart starts the slow start of s at a time that may be in the past. The bucket starts with a
// random fraction of a token, so that the balancers' tokens come at different times and a second notice of
// the same start adds no token.
func (b *Balancer) beginSlowStart(now int64, s *endpointState, since int64) {
	s.slowStartSince = since
	s.slowStartTokens = expiringTokenBucket{tokens: b.rng.Float64(), updatedAt: now, availability: 1}
}

// slowStartAdmits reports whether s is warm or its bucket holds a token. Tokens are earned by responses and
// not by sends, which accumulate in an overload.
func (b *Balancer) slowStartAdmits(now int64, s *endpointState) bool {
	share := b.warmupFraction(now, s)
	if share >= 1 {
		s.slowStartTokens.availability = 1
		return true
	}
	share *= max(1, b.settings.Rules.OverloadFactor*slowStartOverloadShare)
	rate := share * b.rates.perCapacity[s.throughputGroup()] * s.Capacity
	return s.slowStartTokens.take(now, rate, b.slowStartTokenLifetime())
}

// slowStartTokenLifetime returns how long a token lasts, in µs. The tokens earned in an overload window and
// in one lifetime together don't overload the endpoint, on average. For overload factors from 2 on, the
// lifetime is one window.
func (b *Balancer) slowStartTokenLifetime() float64 {
	window, factor := float64(b.settings.Rules.OverloadWindow), b.settings.Rules.OverloadFactor
	if window == 0 {
		window = float64(defaultOverloadWindow)
	}
	if factor == 0 {
		factor = 1 / slowStartOverloadShare
	}
	return window * max(minTokenLifetimeShare, factor/max(1, factor*slowStartOverloadShare)-1)
}

// expiringTokenBucket holds at most one token, which expires if it isn't used. The time of the next token
// doesn't depend on that. Token times are therefore independent of traffic, and many quiet balancers can't
// save up tokens and spend them all at once, such as after a pause or when other endpoints fail.
type expiringTokenBucket struct {
	tokens       float64 // a send needs 1; the fraction is the progress towards the next token
	updatedAt    int64
	availability float64 // share of the time in which it holds a token if none is spent
}

// take fills the bucket at rate tokens per µs, each lasting lifetime µs, and reports whether it holds a
// token. The caller subtracts the token when it sends.
func (k *expiringTokenBucket) take(now int64, rate, lifetime float64) bool {
	k.tokens += rate * float64(now-k.updatedAt)
	k.updatedAt = now
	k.availability = min(1, rate*lifetime)
	if k.tokens < 1 {
		return false
	}
	_, fraction := math.Modf(k.tokens)
	k.tokens = fraction
	if fraction < k.availability { // the latest token has not expired
		k.tokens++
	}
	return k.tokens >= 1
}

// weightFactor returns the factor in the draw of an endpoint whose bucket holds a token. It makes up for
// the time in which the bucket is empty, up to the weight of the whole subset. Without it, a quiet balancer
// would let most tokens expire.
func (k *expiringTokenBucket) weightFactor(subsetSize int) float64 {
	if k.availability == 0 || k.availability >= 1 {
		return 1
	}
	return 1 / max(k.availability, 1/float64(max(1, subsetSize)))
}
