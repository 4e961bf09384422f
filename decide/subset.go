// The subset of endpoints that a balancer draws from. If it drew from all endpoints of a large fleet, a
// quiet balancer would use each one about once a minute, learn nothing about it, and keep connections to
// all.

package decide

import (
	"cmp"
	"math"
	"slices"
)

const (
	minSubset           = 3 // enough to spread lost attempts and retries
	minSubsetWithGossip = 2

	// A balancer with more traffic uses more endpoints. Each endpoint of the subset should get this many
	// requests per second, so that its responses are enough to learn from.
	requestRatePerEndpoint       = 4.0
	requestRatePerPricedEndpoint = 16.0 // if open connections have a price

	// Balancers that should have an endpoint in their subset, on average. With fewer, some endpoints would
	// get no requests.
	minBalancersPerEndpoint           = 8.0
	minBalancersPerEndpointWithGossip = 14.0

	// maxCoverageSubset bounds the subset size that minBalancersPerEndpointWithGossip asks for, since each
	// draw examines the attempts in flight of all balancers at each endpoint.
	maxCoverageSubset = 8.0

	// maxSubsetFactor bounds the subset including ejected endpoints, as a multiple of its size. If more
	// endpoints are ejected, they have a common cause.
	maxSubsetFactor = 3
)

// subsetSize returns the intended number of endpoints in the subset that are not ejected.
func (b *Balancer) subsetSize() int {
	minSize, minBalancers, maxCoverageSize := float64(minSubset), minBalancersPerEndpoint, math.Inf(1)
	if b.gossipEnabled() {
		minSize, minBalancers, maxCoverageSize =
			minSubsetWithGossip, minBalancersPerEndpointWithGossip, maxCoverageSubset
	}
	perEndpoint := requestRatePerEndpoint
	if b.settings.ConnectionPrice > 0 {
		perEndpoint = requestRatePerPricedEndpoint
	}
	endpoints := float64(len(b.endpoints))
	coverageSize := min(minBalancers*(endpoints/float64(max(1, b.settings.BalancerCount))), maxCoverageSize)
	return int(min(max(minSize, b.rates.requests/perEndpoint, coverageSize), endpoints))
}

// updateSubset selects the first endpoints in service in this balancer's order. Ejected endpoints stay in
// the subset for their trials but don't count towards its size. An endpoint in slow start counts with its
// warm-up fraction.
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

// subsetRank returns the sort key of an endpoint in this balancer's order. It uses rendezvous hashing, so
// that a change of the list moves few endpoints. Endpoints of the balancer's own zone are partly preferred,
// see locality.go.
func (b *Balancer) subsetRank(s *endpointState, zone string) uint64 {
	rank := mixBits(s.idHash ^ b.subsetSeed)
	return uint64(float64(rank) / max(1, b.zoneWeight(zone)/zoneRankDivisor))
}

// sortEndpoints sorts the endpoints in this balancer's order.
func (b *Balancer) sortEndpoints() {
	slices.SortFunc(b.endpoints, func(a, other *endpointState) int {
		return cmp.Compare(a.subsetRank, other.subsetRank)
	})
}

// balancersPerEndpoint returns how many balancers have an endpoint in their subset, on average.
func (b *Balancer) balancersPerEndpoint() float64 {
	return max(1, float64(b.settings.BalancerCount*b.subsetSize())/float64(max(1, len(b.endpoints))))
}
