package decide

import (
	"math"
)

const (
	minPollSpan         = 200_000 // µs within which the list is asked for at the least, twice that after a failure
	pollSlotPerBalancer = 50_000  // µs of that time for each balancer: a list service takes them in turn
	maxPollDelay        = 4.5e6   // µs from a failed call to the next at most: in force 6 s after it could be had
	pollIntervalShare   = 0.7     // of Rules.PollInterval bounds both, past which the list counts as told
)

// OnPollFailed asks again, later each time, and at most a turn after the failed call began; waited is for how
// long it had no answer.
func (b *Balancer) OnPollFailed(now, waited int64) {
	wait := b.pollBackoff(waited)
	if b.pollFailures++; b.pollFailures == 1 {
		b.actions.Log("list failed, asking again")
	}
	b.actions.SetTimer(wait, timerPoll)
}

// initialPollDelay is the time until the list is first asked for, drawn from a slot for each balancer.
func (b *Balancer) initialPollDelay() int64 {
	span := max(minPollSpan, pollSlotPerBalancer*float64(b.settings.BalancerCount))
	return int64(b.boundByPollInterval(span) * (0.1 + 0.9*b.rng.Float64()))
}

// pollBackoff is the time until the list is asked for again after a call that failed, and had no answer for waited µs. It is
// drawn from a span of a slot for each balancer, twice as long after each failure, up to a turn. Once the span is a turn, and
// the calls are spread over it, each balancer keeps its place there, give or take a tenth. So n balancers make n calls in the
// turn after they all failed at once, and then n/(0.9 x turn) to n/turn a second. A turn counts from the begin of the failed
// call: a call that hangs puts off none. Guards against a fleet that asks at once after each failure: the list service
// worked through calls that it had given up, and served none for as long as all came back at once.
func (b *Balancer) pollBackoff(waited int64) int64 {
	turn := b.boundByPollInterval(maxPollDelay)
	span := max(minPollSpan, pollSlotPerBalancer*float64(b.settings.BalancerCount)) * math.Exp2(float64(b.pollFailures))
	left := max(minPollSpan, turn*(0.9+0.1*b.rng.Float64())-float64(waited))
	if b.pollFailures > 0 && span >= turn {
		return int64(left)
	}
	return int64(min(left, min(span, turn)*(0.1+0.9*b.rng.Float64())))
}

// boundByPollInterval bounds a time between two asks by the part of Rules.PollInterval that leaves room for the call.
func (b *Balancer) boundByPollInterval(t float64) float64 {
	if b.settings.Rules.PollInterval > 0 {
		return min(t, pollIntervalShare*float64(b.settings.Rules.PollInterval))
	}
	return t
}
