// Slow start of a server: its warm-up and the token bucket that rations what one balancer sends it meanwhile. Decides
// nothing.

package decide

import "math"

const (
	burstLeast = 0.1    // of a window that a token holds, where the factor leaves no room
	coldWindow = second // µs, where none is stated
)

// warmth is the least share of its capacity that s has by now: even growth over the stated time.
func (b *Balancer) warmth(now int64, s *server) float64 {
	age := now - s.coldSince
	if s.coldSince == 0 || age >= b.set.Rules.SlowStartWindow {
		return 1
	}
	from := b.set.Rules.SlowStartMinShare
	return from + (1-from)*float64(max(age, 0))/float64(b.set.Rules.SlowStartWindow)
}

// chill makes s cold since a time. Its bucket starts at random between two tokens, so that balancers have theirs at times
// of their own. Another word of the same start grants nothing anew.
func (b *Balancer) chill(now int64, s *server, since int64) {
	s.coldSince, s.ramp = since, bucket{tokens: b.rng.Float64(), at: now, part: 1}
}

// burst is how long a token holds, in µs: what is earned in a window and in that time is what would push a cold server
// over, at the most and on average. For factors from 2 on it is a window, since half of that is earned in one.
func (b *Balancer) burst() float64 {
	window, factor := float64(b.set.Rules.OverloadWindow), b.set.Rules.OverloadFactor
	if window == 0 {
		window = float64(coldWindow)
	}
	if factor == 0 {
		factor = 1 / coldPart
	}
	return window * max(burstLeast, factor/max(1, factor*coldPart)-1)
}

// bucket is a token bucket whose tokens run out when they are not used: they are earned at times that no traffic moves,
// each balancer at its own, so what a fleet holds is a sum of independent parts. Guards against hundreds of quiet balancers
// that each save up a send, and spend it in the same moment: after a lull, at the end of a jam, when other servers fail.
type bucket struct {
	tokens float64 // one and a part: a send may go; the part alone: what has grown of the next
	at     int64   // when it grew last
	part   float64 // of the time that it holds one where none is spent
}

// take lets the bucket grow at a rate, in tokens a µs that hold for so many µs, and tells whether it holds one.
func (k *bucket) take(now int64, rate, holds float64) bool {
	k.tokens += rate * float64(now-k.at)
	k.at, k.part = now, min(1, rate*holds)
	if k.tokens < 1 {
		return false
	}
	_, grown := math.Modf(k.tokens)
	if k.tokens = grown; grown < k.part { // the latest is not too old
		k.tokens++
	}
	return k.tokens >= 1
}

// turn is how much more a server weighs in the draw while its bucket holds a token: as much as makes up for the time in
// which it holds none, to the weight of all arms. Guards against cold servers that get a small part of their ration from
// quiet balancers, whose tokens run out unused.
func (k *bucket) turn(arms int) float64 {
	if k.part == 0 || k.part >= 1 {
		return 1
	}
	return 1 / max(k.part, 1/float64(max(1, arms)))
}
