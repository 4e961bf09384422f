// When the endpoint list is polled, and when again after a poll that failed.
//
// These rules act in the simulator alone, whose balancers ask their host for the list
// (Actions.WatchEndpoints, served by internal/simwire). The sidecar sets Settings.EndpointsPushed, so that
// none of them runs: its discovery client polls by the rules in internal/discovery/schedule.go.

package decide

import "math"

const (
	// The first poll comes at random within a span that has a slot for each balancer, so that the list
	// service gets one call after the other.
	minPollSpanMicros         = 200_000
	pollSlotPerBalancerMicros = 50_000

	// maxPollDelayMicros from the start of a failed poll to the next: a change is in force 6 s after it could
	// be had.
	maxPollDelayMicros = 4.5e6

	// pollIntervalShare of Rules.PollInterval bounds every delay and leaves time for the call.
	pollIntervalShare = 0.7
)

// OnPollFailed takes the failure of a poll that had waited so many µs for its answer, or the end of the
// watch, 0.
func (b *Balancer) OnPollFailed(_, waited int64) {
	delay := b.pollBackoff(waited)
	if b.pollFailures++; b.pollFailures == 1 {
		b.logPollFailed(delay)
	}
	b.actions.SetTimer(delay, timerPoll)
}

// initialPollDelay is the time until the first poll, in µs.
func (b *Balancer) initialPollDelay() int64 {
	return int64(b.boundByPollInterval(b.pollSpan()) * (0.1 + 0.9*b.rng.Float64()))
}

// pollBackoff is the time until the next poll after a failure, in µs: at random within a span that doubles
// with each failure, up to maxPollDelayMicros. Once the span has that length each balancer keeps its place in
// it, give or take a tenth, so that the polls of a fleet stay spread. The time counts from the start of the
// failed poll.
func (b *Balancer) pollBackoff(waited int64) int64 {
	maxDelay := b.boundByPollInterval(maxPollDelayMicros)
	span := b.pollSpan() * math.Exp2(float64(b.pollFailures))
	untilMaxDelay := max(minPollSpanMicros, maxDelay*(0.9+0.1*b.rng.Float64())-float64(waited))
	if b.pollFailures > 0 && span >= maxDelay {
		return int64(untilMaxDelay)
	}
	return int64(min(untilMaxDelay, min(span, maxDelay)*(0.1+0.9*b.rng.Float64())))
}

// pollSpan is the time in which each balancer has a slot for its first poll, in µs.
func (b *Balancer) pollSpan() float64 {
	return max(minPollSpanMicros, pollSlotPerBalancerMicros*float64(b.settings.BalancerCount))
}

// boundByPollInterval bounds a time between two polls, in µs.
func (b *Balancer) boundByPollInterval(delay float64) float64 {
	if b.settings.Rules.PollInterval > 0 {
		return min(delay, pollIntervalShare*float64(b.settings.Rules.PollInterval))
	}
	return delay
}
