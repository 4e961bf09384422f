// Rule 4, slow start: how much an endpoint that has just started may get, from all balancers together.
//
// Its share of capacity grows evenly from Rules.SlowStartMinShare to 1 over Rules.SlowStartWindow. Each
// balancer has a bucket of tokens for it, one for each attempt, which fills at that share of the answers that
// this balancer gets from a warm endpoint.

package decide

import "math"

const (
	// slowStartOverloadShare of what would overload an endpoint (Rules.OverloadFactor) may be sent where that is more
	// than its share: else it would idle while warm ones are late.
	slowStartOverloadShare = 0.5

	minTokenLifetimeShare = 0.1    // of the overload window, where the overload factor leaves no room
	defaultOverloadWindow = second // where none is set
)

// warmupFraction is the share of its capacity that s has by now; 1: it is warm.
func (b *Balancer) warmupFraction(now int64, s *endpointState) float64 {
	rules := &b.settings.Rules
	age := now - s.slowStartSince
	if s.slowStartSince == 0 || age >= rules.SlowStartWindow {
		return 1
	}
	from := rules.SlowStartMinShare
	return from + (1-from)*float64(max(age, 0))/float64(rules.SlowStartWindow)
}

// beginSlowStart starts the slow start of s at a time that may be past. The bucket starts with a random part
// of a token, so that balancers have theirs at different times, and a second notice of the same start adds
// none.
func (b *Balancer) beginSlowStart(now int64, s *endpointState, since int64) {
	s.slowStartSince = since
	s.slowStartTokens = expiringTokenBucket{tokens: b.rng.Float64(), updatedAt: now, availability: 1}
}

// slowStartAdmits reports whether s is warm or has a token. Tokens are earned by answers and not by sends,
// which pile up in an overload.
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

// slowStartTokenLifetime is how long a token lasts, in µs: as long as what is earned in an overload window
// and in that time together doesn't overload the endpoint, on average. For overload factors from 2 on that is
// one window.
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

// expiringTokenBucket holds one token, which expires when it isn't used. The next comes when it would have
// come anyway. So the times of tokens don't depend on traffic, and many quiet balancers can't save up tokens
// and spend them all at once, as after a lull or when other endpoints fail.
type expiringTokenBucket struct {
	tokens       float64 // from 1 on a send may go; the fraction is what has grown of the next token
	updatedAt    int64
	availability float64 // share of the time in which it holds a token if none is spent
}

// take lets the bucket grow at a rate in tokens per µs that last for lifetime µs, and reports whether it
// holds one. The send subtracts it.
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

// weightFactor raises the weight of an endpoint in the draw while its bucket holds a token, up to the weight
// of the whole subset, to make up for the time in which it holds none. A quiet balancer would let most tokens
// expire.
func (k *expiringTokenBucket) weightFactor(subsetSize int) float64 {
	if k.availability == 0 || k.availability >= 1 {
		return 1
	}
	return 1 / max(k.availability, 1/float64(max(1, subsetSize)))
}
