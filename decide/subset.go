// The subset of endpoints that a balancer draws from. With all of a large fleet's endpoints a quiet balancer
// would meet each once a minute, learn nothing and keep connections to all.

package decide

import (
	"cmp"
	"math"
	"slices"
)

const (
	minSubset           = 3 // enough to spread losses and retries
	minSubsetWithGossip = 2

	// Requests per second for each endpoint of the subset: enough answers to learn from.
	requestRatePerEndpoint       = 4.0
	requestRatePerPricedEndpoint = 16.0 // where open connections have a price

	// Balancers that have an endpoint in their subset, on average: with fewer some endpoints get nothing.
	minBalancersPerEndpoint           = 8.0
	minBalancersPerEndpointWithGossip = 14.0

	// maxCoverageSubset bounds the subset that coverage asks for, with gossip, where each draw looks at what
	// all balancers have in flight.
	maxCoverageSubset = 8.0

	// maxSubsetFactor times the size bounds the subset with its ejected endpoints. More have a common cause.
	maxSubsetFactor = 3
)

// subsetSize is how many endpoints the subset should have that are not ejected.
func (b *Balancer) subsetSize() int {
	minSize, minBalancers, maxCoverageSize := float64(minSubset), minBalancersPerEndpoint, math.Inf(1)
	if b.gossipEnabled() {
		minSize, minBalancers, maxCoverageSize = minSubsetWithGossip, minBalancersPerEndpointWithGossip, maxCoverageSubset
	}
	perEndpoint := requestRatePerEndpoint
	if b.settings.ConnectionPrice > 0 {
		perEndpoint = requestRatePerPricedEndpoint
	}
	endpoints := float64(len(b.endpoints))
	coverageSize := min(minBalancers*(endpoints/float64(max(1, b.settings.BalancerCount))), maxCoverageSize)
	return int(min(max(minSize, b.rates.requests/perEndpoint, coverageSize), endpoints))
}

// updateSubset takes the first endpoints in service by this balancer's order. Ejected ones stay in it for
// their trials and don't count, one in slow start counts for the part that it has warmed up.
func (b *Balancer) updateSubset(now int64) {
	size, healthy := b.subsetSize(), 0.0
	b.subset = b.subset[:0]
	for _, s := range b.endpoints {
		joined := !s.inSubset
		s.inSubset = s.inService() && healthy < float64(size) && len(b.subset) < maxSubsetFactor*size
		if !s.inSubset {
			continue
		}
		if joined {
			b.gossip.advanceNextSend(b.gossipChangeInterval())
		}
		b.subset = append(b.subset, s)
		if !s.ejectedForAll {
			healthy += b.warmupFraction(now, s)
		}
	}
}

// subsetRank places an endpoint in this balancer's order, by rendezvous hashing: a change of the list moves
// few. Those of the own zone come first in part, see locality.go.
func (b *Balancer) subsetRank(s *endpointState, zone string) uint64 {
	rank := mixBits(s.idHash ^ b.subsetSeed)
	return uint64(float64(rank) / max(1, b.zoneWeight(zone)/zoneRankDivisor))
}

// sortEndpoints puts the list in this balancer's order.
func (b *Balancer) sortEndpoints() {
	slices.SortFunc(b.endpoints, func(a, other *endpointState) int {
		return cmp.Compare(a.subsetRank, other.subsetRank)
	})
}

// balancersPerEndpoint is how many balancers have an endpoint in their subset, on average.
func (b *Balancer) balancersPerEndpoint() float64 {
	return max(1, float64(b.settings.BalancerCount*b.subsetSize())/float64(max(1, len(b.endpoints))))
}
