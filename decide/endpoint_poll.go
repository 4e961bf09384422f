// When the endpoint list is polled, and when a failed poll is repeated.
//
// These rules run only in the simulator, where balancers ask their host for the list
// (Actions.WatchEndpoints, served by internal/simwire). The sidecar sets Settings.EndpointsPushed, which
// disables them; its discovery client polls according to internal/discovery/schedule.go.

package decide

import "math"

const (
	// The first poll comes at a random time within a span that has a slot for each balancer, so that the
	// discovery service gets the calls one after another.
	minPollSpanMicros         = 200_000 // shortest span
	pollSlotPerBalancerMicros = 50_000  // length of a balancer's slot

	// maxPollDelayMicros bounds the time from the start of a failed poll to the next one. A change is then
	// in force within 6 s of being available.
	maxPollDelayMicros = 4.5e6

	// pollIntervalShare bounds every delay, as a share of Rules.PollInterval. The rest of the interval is
	// for the call.
	pollIntervalShare = 0.7
)

// OnPollFailed handles a poll that failed after waiting for waited µs, or the end of the watch, for which
// waited is 0.
func (b *Balancer) OnPollFailed(_, waited int64) {
	delay := b.pollBackoff(waited)
	if b.pollFailures++; b.pollFailures == 1 {
		b.logPollFailed(delay)
	}
	b.actions.SetTimer(delay, timerPoll)
}

// initialPollDelay returns the time until the first poll, in µs.
func (b *Balancer) initialPollDelay() int64 {
	return int64(b.boundByPollInterval(b.pollSpan()) * (0.1 + 0.9*b.rng.Float64()))
}

// pollBackoff returns the time until the next poll after a failure, in µs. It is random within a span that
// doubles with each failure, up to maxPollDelayMicros. Once the span has reached that length, each balancer
// keeps its phase in it, with a jitter of a tenth, so that the polls of a fleet stay spread. The time
// counts from the start of the failed poll.
func (b *Balancer) pollBackoff(waited int64) int64 {
	maxDelay := b.boundByPollInterval(maxPollDelayMicros)
	span := b.pollSpan() * math.Exp2(float64(b.pollFailures))
	untilMaxDelay := max(minPollSpanMicros, maxDelay*(0.9+0.1*b.rng.Float64())-float64(waited))
	if b.pollFailures > 0 && span >= maxDelay {
		return int64(untilMaxDelay)
	}
	return int64(min(untilMaxDelay, min(span, maxDelay)*(0.1+0.9*b.rng.Float64())))
}

// pollSpan returns the length of the span in which each balancer has a slot for its first poll, in µs.
func (b *Balancer) pollSpan() float64 {
	return max(minPollSpanMicros, pollSlotPerBalancerMicros*float64(b.settings.BalancerCount))
}

// boundByPollInterval bounds a delay between two polls, in µs.
func (b *Balancer) boundByPollInterval(delay float64) float64 {
	if b.settings.Rules.PollInterval > 0 {
		return min(delay, pollIntervalShare*float64(b.settings.Rules.PollInterval))
	}
	return delay
}
