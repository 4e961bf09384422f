// The draw of an endpoint by EXP3, in the terms of the paper (docs/design.md names it): an arm is an
// endpoint of the subset, gamma is the share of exploration, and only the drawn arm learns, by its payoff
// divided by the probability of its draw. An endpoint of capacity z counts as z equal arms.

package decide

import "math"

const (
	gamma = 0.07 // share of exploration, the paper's value

	// maxLearningBoost bounds the learning rate of a quiet balancer, as a multiple of the paper's rate. A
	// quiet balancer learns faster because its weights decay before the next responses arrive.
	maxLearningBoost = 3.0

	// fullPayoffShare is the share of a class's p90 baseline up to which a latency earns the full payoff.
	// It is about the median latency.
	fullPayoffShare = 0.6

	// minWeightRetention and retentionPerResponse set the share of a log-weight's distance from the mean
	// that is kept each second. Quiet balancers keep more, so that they forget slowly.
	minWeightRetention   = 0.9  // at least
	retentionPerResponse = 0.98 // for each response of an arm

	maxLogWeight = 30.0 // beyond it, small weights are lost to rounding in a sum of weights

	// maxRedraws bounds the draws that are repeated. After so many, all endpoints are taken to be above the
	// mean utilization, and the last draw counts.
	maxRedraws = 8
)

// drawEndpoint draws an endpoint for r and returns it with the probability of the draw, or nil if no
// endpoint is eligible. It draws again if the endpoint is above the mean utilization.
func (b *Balancer) drawEndpoint(now int64, r *request) (*endpointState, float64) {
	preferred := b.preferredReplica(r)
	if !b.collectCandidates(now, r, preferred) {
		return nil, 0
	}
	weight, capacity := b.totalWeight(b.candidates, preferred)
	b.counters.draws++
	mean := b.meanUtilization(now)
	for n := 0; ; n++ {
		s, probability := b.sampleCandidate(weight, capacity, preferred)
		bound := mean
		if s == preferred || b.zoneWeight(s.Zone) > 1 && !b.gossipEnabled() {
			bound = 1/s.Capacity + 2*mean // the paper's bound: these endpoints may have more in flight
		}
		if n == maxRedraws || b.utilization(now, s) <= bound {
			return s, probability
		}
		if n == 0 {
			b.counters.redrawn++
		}
	}
}

// sampleCandidate draws one of the candidates, whose total weight and total capacity are given.
func (b *Balancer) sampleCandidate(
	weight, capacity float64, preferred *endpointState,
) (*endpointState, float64) {
	x, probability := b.rng.Float64(), 0.0
	for _, s := range b.candidates {
		probability = b.drawProbability(s, preferred, weight, capacity)
		if x -= probability; x < 0 {
			return s, probability
		}
	}
	return b.candidates[len(b.candidates)-1], probability
}

// drawProbability returns the probability that a draw among endpoints with the given total weight and
// capacity picks s: (1-gamma)*w/sum(w) + gamma/M, where s counts as s.Capacity arms.
func (b *Balancer) drawProbability(s, preferred *endpointState, weight, capacity float64) float64 {
	return (1-gamma)*b.drawWeight(s, preferred)/weight + gamma*s.Capacity/capacity
}

// totalWeight returns the total weight and the total capacity of endpoints.
func (b *Balancer) totalWeight(
	endpoints []*endpointState, preferred *endpointState,
) (weight, capacity float64) {
	for _, s := range endpoints {
		weight += b.drawWeight(s, preferred)
		capacity += s.Capacity
	}
	return weight, capacity
}

// drawWeight returns the weight of s over all its arms, times the factors of the other rules. A concurrency
// limit below 1 scales the weight down. Otherwise many balancers would take turns at a congested endpoint
// and keep it congested.
func (b *Balancer) drawWeight(s, preferred *endpointState) float64 {
	w := s.Capacity * s.weight * min(1, b.concurrencyBound(s)) * b.zoneWeight(s.Zone) * b.loadWeight(s) *
		s.slowStartTokens.weightFactor(len(b.subset))
	if s == preferred {
		return affinityBoost * float64(len(b.subset)) * w
	}
	return w
}

// updateWeight lets the drawn arm learn: w*exp(rate*payoff/(p*M)).
func (b *Balancer) updateWeight(a *attempt, payoff float64) {
	arms := float64(max(1, len(b.subset)))
	a.endpoint.setLogWeight(a.endpoint.logWeight + b.learningRate*payoff/(a.probability*arms))
}

// payoff returns 1 for a response as fast as from an uncongested endpoint, less for a slower one, and 0 for
// a failure. It falls well before the latency objective, so that slow machines get less traffic before they
// are late.
func (r *request) payoff(o Outcome) float64 {
	if o.Result != Succeeded {
		return 0
	}
	full := fullPayoffShare * r.class.baselineP90 * float64(r.latencyObjective)
	return min(1, full/float64(r.classAtArrival.LatencyObjective*max(1, o.Latency)))
}

// decayWeights moves the log-weights towards their mean, once per second.
func (b *Balancer) decayWeights() {
	responsesPerArm := float64(b.rates.successesThisSecond) / float64(max(1, len(b.subset)))
	keep := max(minWeightRetention, math.Pow(retentionPerResponse, responsesPerArm))
	mean := b.meanLogWeight()
	for _, s := range b.endpoints {
		s.setLogWeight((s.logWeight - mean) * keep)
	}
}

// updateLearningRate sets the learning rate by the responses per second of an arm. From busyThroughput on
// it is the paper's rate.
func (b *Balancer) updateLearningRate() {
	responsesPerArm := b.rates.perCapacity[groupSubset] * float64(second)
	b.learningRate = gamma * min(max(1, busyThroughput/responsesPerArm), maxLearningBoost)
}

// meanLogWeight returns the mean log-weight of the subset, which is the initial value of a new endpoint.
func (b *Balancer) meanLogWeight() (mean float64) {
	for _, s := range b.subset {
		mean += s.logWeight / float64(len(b.subset))
	}
	return mean
}

// setLogWeight sets the weight, given as its logarithm.
func (s *endpointState) setLogWeight(l float64) {
	s.logWeight = min(max(l, -maxLogWeight), maxLogWeight)
	s.weight = math.Exp(s.logWeight)
}
