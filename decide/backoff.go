package decide

import "math"

// firstAsk is the time until the list is first asked for, drawn from a slot for each balancer.
func (b *Balancer) firstAsk() int64 {
	span := max(askFirst, askSlot*float64(b.set.BalancerCount))
	return int64(b.askWithin(span) * (0.1 + 0.9*b.rng.Float64()))
}

// backoff is the time until the list is asked for again after a call that failed, and had no answer for waited µs. It is
// drawn from a span of a slot for each balancer, twice as long after each failure, up to a turn. Once the span is a turn, and
// the calls are spread over it, each balancer keeps its place there, give or take a tenth. So n balancers make n calls in the
// turn after they all failed at once, and then n/(0.9 x turn) to n/turn a second. A turn counts from the begin of the failed
// call: a call that hangs puts off none. Guards against a fleet that asks at once after each failure: the list service
// worked through calls that it had given up, and served none for as long as all came back at once.
func (b *Balancer) backoff(waited int64) int64 {
	turn := b.askWithin(askTurn)
	span := max(askFirst, askSlot*float64(b.set.BalancerCount)) * math.Exp2(float64(b.asks))
	left := max(askFirst, turn*(0.9+0.1*b.rng.Float64())-float64(waited))
	if b.asks > 0 && span >= turn {
		return int64(left)
	}
	return int64(min(left, min(span, turn)*(0.1+0.9*b.rng.Float64())))
}

// askWithin bounds a time between two asks by the part of Rules.PollInterval that leaves room for the call.
func (b *Balancer) askWithin(t float64) float64 {
	if b.set.Rules.PollInterval > 0 {
		return min(t, askPart*float64(b.set.Rules.PollInterval))
	}
	return t
}
