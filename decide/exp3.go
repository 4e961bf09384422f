package decide

import (
	"math"
)

const (
	gamma              = 0.07 // share of draws spread evenly: the paper's value
	maxLearningBoost   = 3.0  // times the paper's rate, where an arm gives few answers: what is learned fades
	fullPayoffShare    = 0.6  // of the uncrowded calm mark, about its median: faster answers earn all
	minWeightRetention = 0.9  // of a log-weight's distance from the mean, kept each second at least (the design's)
	retentionPerAnswer = 0.98 // the same for each answer a server gives: quiet balancers forget more slowly
	maxRedraws         = 8    // per draw: past that many crowded servers all are crowded, and the draw stands
	maxLogWeight       = 30.0 // log-weights stay within this of zero: beyond it a sum of floats loses the small ones
)

// drawEndpoint picks a server for r by EXP3 and returns it with its probability, or nil when none has room.
func (b *Balancer) drawEndpoint(now int64, r *request) (*endpointState, float64) {
	home := b.preferredReplica(r)
	if !b.collectCandidates(now, r, home) {
		return nil, 0
	}
	sum, size := b.totalWeight(b.candidates, home)
	b.counters.draws++
	for n, crowd := 0, b.meanUtilization(now); ; n++ {
		s, p := b.sampleCandidate(sum, size, home)
		bound := crowd
		if s == home || b.zoneWeight(s.Zone) > 1 && !b.gossipEnabled() {
			bound = 1/s.Capacity + 2*crowd // the design's bound: a home or a near one may hold more
		}
		if n == maxRedraws || b.utilization(now, s) <= bound {
			return s, p
		}
		if n == 0 {
			b.counters.redrawn++
		}
	}
}

// sampleCandidate draws one of the candidates at random. A server of listed size z counts as z equal arms, so the
// design's p = (1-gamma)*w/sum + gamma/M becomes p = (1-gamma)*z*w/sum + gamma*z/size.
func (b *Balancer) sampleCandidate(sum, size float64, home *endpointState) (*endpointState, float64) {
	x, p := b.rng.Float64(), 0.0
	for _, s := range b.candidates {
		p = b.drawProbability(s, home, sum, size)
		if x -= p; x < 0 {
			return s, p
		}
	}
	return b.candidates[len(b.candidates)-1], p
}

// drawProbability is how likely a draw among servers of that weight and size in all picks s.
func (b *Balancer) drawProbability(s, home *endpointState, sum, size float64) float64 {
	return (1-gamma)*b.drawWeight(s, home)/sum + gamma*s.Capacity/size
}

// drawWeight is the server's weight over all its arms, raised where the request's key is at home. A limit
// under one counts as that part of it. Guards against many balancers that take turns at a jammed server and
// keep it so: work they gave up on still goes on there.
func (b *Balancer) drawWeight(s, home *endpointState) float64 {
	w := s.Capacity * s.weight * min(1, b.concurrencyBound(s)) * b.zoneWeight(s.Zone) * b.loadWeight(s) * s.slowStartTokens.weightFactor(len(b.subset))
	if s == home {
		return affinityBoost * float64(len(b.subset)) * w
	}
	return w
}

// updateWeight is EXP3's update of the drawn server: w*exp(gamma*r/(p*M)), faster at a quiet balancer.
func (b *Balancer) updateWeight(a *attempt, payoff float64) {
	a.endpoint.setLogWeight(a.endpoint.logWeight + b.learningRate*payoff/(a.probability*float64(max(1, len(b.subset)))))
}

// payoff is 1 for an answer as fast as from a server at ease, falls with the latency after that, and is 0 for
// a failure. Guards against slow machines that keep their part at every balancer until they are late.
func (r *request) payoff(o Outcome) float64 {
	if o.Result != Succeeded {
		return 0
	}
	return min(1, fullPayoffShare*r.class.baselineP90*float64(r.latencyObjective)/float64(r.classRules.LatencyObjective*max(1, o.Latency)))
}

// meanLogWeight is the mean log-weight, where a new server starts.
func (b *Balancer) meanLogWeight() (mean float64) {
	for _, s := range b.subset {
		mean += s.logWeight / float64(len(b.subset))
	}
	return mean
}

// setLogWeight keeps the weight beside its logarithm.
func (s *endpointState) setLogWeight(l float64) {
	s.logWeight = min(max(l, -maxLogWeight), maxLogWeight)
	s.weight = math.Exp(s.logWeight)
}

// totalWeight sums the weights and sizes of servers, as the odds of a draw among them need.
func (b *Balancer) totalWeight(servers []*endpointState, home *endpointState) (sum, size float64) {
	for _, s := range servers {
		sum, size = sum+b.drawWeight(s, home), size+s.Capacity
	}
	return sum, size
}
