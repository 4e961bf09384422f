package decide

import (
	"math"
)

const (
	overloadShare         = 0.5    // of what would push a cold server over is its most: its warm-up as stated is the slowest
	minTokenLifetimeShare = 0.1    // of a window that a token holds, where the factor leaves no room
	defaultOverloadWindow = second // µs, where none is stated
)

// slowStartAdmits keeps rule 4 alone, for all balancers together: a cold server gets its warm-up's part of the
// answers (not sends: they pile up in a jam) that a warm one of its size gives this balancer, or more where
// that is half of what would push it over: guards against cold ones at ease while warm ones are late. What is
// not used runs out: see bucket.
func (b *Balancer) slowStartAdmits(now int64, s *endpointState) bool {
	w := b.warmupFraction(now, s)
	if w >= 1 {
		s.slowStartTokens.availability = 1
		return true
	}
	w *= max(1, b.settings.Rules.OverloadFactor*overloadShare)
	return s.slowStartTokens.take(now, w*b.throughputPerCapacity[s.throughputGroup()]*s.Capacity, b.slowStartTokenLifetime())
}

// warmupFraction is the least share of its capacity that s has by now: even growth over the stated time.
func (b *Balancer) warmupFraction(now int64, s *endpointState) float64 {
	age := now - s.slowStartSince
	if s.slowStartSince == 0 || age >= b.settings.Rules.SlowStartWindow {
		return 1
	}
	from := b.settings.Rules.SlowStartMinShare
	return from + (1-from)*float64(max(age, 0))/float64(b.settings.Rules.SlowStartWindow)
}

// beginSlowStart makes s cold since a time. Its bucket starts at random between two tokens, so that balancers have theirs at times
// of their own. Another word of the same start grants nothing anew.
func (b *Balancer) beginSlowStart(now int64, s *endpointState, since int64) {
	s.slowStartSince, s.slowStartTokens = since, expiringTokenBucket{tokens: b.rng.Float64(), updatedAt: now, availability: 1}
}

// slowStartTokenLifetime is how long a token holds, in µs: what is earned in a window and in that time is what would push a cold server
// over, at the most and on average. For factors from 2 on it is a window, since half of that is earned in one.
func (b *Balancer) slowStartTokenLifetime() float64 {
	window, factor := float64(b.settings.Rules.OverloadWindow), b.settings.Rules.OverloadFactor
	if window == 0 {
		window = float64(defaultOverloadWindow)
	}
	if factor == 0 {
		factor = 1 / overloadShare
	}
	return window * max(minTokenLifetimeShare, factor/max(1, factor*overloadShare)-1)
}

// expiringTokenBucket is a token bucket whose tokens run out when they are not used: they are earned at times that no traffic moves,
// each balancer at its own, so what a fleet holds is a sum of independent parts. Guards against hundreds of quiet balancers
// that each save up a send, and spend it in the same moment: after a lull, at the end of a jam, when other servers fail.
type expiringTokenBucket struct {
	tokens       float64 // one and a part: a send may go; the part alone: what has grown of the next
	updatedAt    int64   // when it grew last
	availability float64 // of the time that it holds one where none is spent
}

// take lets the bucket grow at a rate, in tokens a µs that hold for so many µs, and tells whether it holds one.
func (k *expiringTokenBucket) take(now int64, rate, holds float64) bool {
	k.tokens += rate * float64(now-k.updatedAt)
	k.updatedAt, k.availability = now, min(1, rate*holds)
	if k.tokens < 1 {
		return false
	}
	_, grown := math.Modf(k.tokens)
	if k.tokens = grown; grown < k.availability { // the latest is not too old
		k.tokens++
	}
	return k.tokens >= 1
}

// weightFactor is how much more a server weighs in the draw while its bucket holds a token: as much as makes up for the time in
// which it holds none, to the weight of all arms. Guards against cold servers that get a small part of their ration from
// quiet balancers, whose tokens run out unused.
func (k *expiringTokenBucket) weightFactor(arms int) float64 {
	if k.availability == 0 || k.availability >= 1 {
		return 1
	}
	return 1 / max(k.availability, 1/float64(max(1, arms)))
}
