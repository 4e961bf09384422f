// The draw of an endpoint by EXP3, with the words of the paper (docs/design.md names it): an arm is an
// endpoint of the subset, gamma is the share of exploration, and only the drawn arm learns, by its payoff
// over the probability of its draw. An endpoint of capacity z counts as z equal arms.

package decide

import "math"

const (
	gamma = 0.07 // the paper's value

	// maxLearningBoost bounds how much faster than the paper's rate a quiet balancer learns, whose weights
	// decay before the next answers come.
	maxLearningBoost = 3.0

	// fullPayoffShare of the baseline of a class's latency, which is about the median: faster answers earn
	// all.
	fullPayoffShare = 0.6

	minWeightRetention   = 0.9  // of a log-weight's distance from the mean, kept each second at least
	retentionPerResponse = 0.98 // the same for each answer of an arm: quiet balancers forget slowly

	maxLogWeight = 30.0 // beyond it a sum of weights loses the small ones

	maxRedraws = 8 // with more, all endpoints are above the mean utilization and the draw stands
)

// drawEndpoint picks an endpoint for r and returns it with the probability of the draw; nil where none is
// eligible. A draw that finds an endpoint above the mean utilization is repeated.
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
			bound = 1/s.Capacity + 2*mean // more may be in flight at these, the paper's bound
		}
		if n == maxRedraws || b.utilization(now, s) <= bound {
			return s, probability
		}
		if n == 0 {
			b.counters.redrawn++
		}
	}
}

// sampleCandidate draws one of the candidates, whose weight and capacity are these in all.
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

// drawProbability is the probability that a draw among endpoints of that weight and capacity in all picks s:
// (1-gamma)*w/sum(w) + gamma/M, with s as s.Capacity arms.
func (b *Balancer) drawProbability(s, preferred *endpointState, weight, capacity float64) float64 {
	return (1-gamma)*b.drawWeight(s, preferred)/weight + gamma*s.Capacity/capacity
}

// totalWeight adds up the weights and the capacity of endpoints.
func (b *Balancer) totalWeight(
	endpoints []*endpointState, preferred *endpointState,
) (weight, capacity float64) {
	for _, s := range endpoints {
		weight += b.drawWeight(s, preferred)
		capacity += s.Capacity
	}
	return weight, capacity
}

// drawWeight is the weight of s over all its arms, times the factors of the other rules. A concurrency limit
// below one counts as that part of the weight, or many balancers would take turns at a congested endpoint and
// keep it so.
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

// payoff is 1 for an answer as fast as from an endpoint that is not congested, falls with the latency after
// that, and is 0 for a failure. It falls before the latency objective, so that slow machines get less before
// they are late.
func (r *request) payoff(o Outcome) float64 {
	if o.Result != Succeeded {
		return 0
	}
	full := fullPayoffShare * r.class.baselineP90 * float64(r.latencyObjective)
	return min(1, full/float64(r.classAtArrival.LatencyObjective*max(1, o.Latency)))
}

// decayWeights lets the log-weights return to their mean, once a second.
func (b *Balancer) decayWeights() {
	responsesPerArm := float64(b.rates.successesThisSecond) / float64(max(1, len(b.subset)))
	keep := max(minWeightRetention, math.Pow(retentionPerResponse, responsesPerArm))
	mean := b.meanLogWeight()
	for _, s := range b.endpoints {
		s.setLogWeight((s.logWeight - mean) * keep)
	}
}

// updateLearningRate sets the rate by how many answers an arm gives.
func (b *Balancer) updateLearningRate() {
	responsesPerArm := b.rates.perCapacity[groupSubset] * float64(second)
	b.learningRate = gamma * min(max(1, busyThroughput/responsesPerArm), maxLearningBoost)
}

// meanLogWeight is that of the subset, where a new endpoint starts.
func (b *Balancer) meanLogWeight() (mean float64) {
	for _, s := range b.subset {
		mean += s.logWeight / float64(len(b.subset))
	}
	return mean
}

// setLogWeight sets the weight by its logarithm.
func (s *endpointState) setLogWeight(l float64) {
	s.logWeight = min(max(l, -maxLogWeight), maxLogWeight)
	s.weight = math.Exp(s.logWeight)
}
