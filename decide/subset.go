package decide

import (
	"cmp"
	"math"
	"slices"
)

const (
	minSubset                    = 3    // servers to draw from at the least: enough to spread losses and retries
	minSubsetWithGossip          = 2    // the same where balancers tell one another
	requestRatePerEndpoint       = 4.0  // requests a second that an arm wants, as evidence: more traffic, more arms
	requestRatePerPricedEndpoint = 16.0 // the same where open connections have a price
	coverage                     = 8.0  // balancers that have a server as an arm, on average: fewer leave servers unused
	coverageWithGossip           = 14.0 // the same where balancers tell one another
	maxCoverageWithGossip        = 8.0  // there at the most: each draw counts what all hold at each
	maxSubsetFactor              = 3    // times the arms wanted, with ill ones: past that the cause is shared
)

// subsetSize is how many servers this balancer's own traffic can learn of, within those limits.
func (b *Balancer) subsetSize() int {
	least, each, sharers, most := float64(minSubset), requestRatePerEndpoint, coverage, math.Inf(1)
	if b.gossipEnabled() {
		least, sharers, most = minSubsetWithGossip, coverageWithGossip, maxCoverageWithGossip
	}
	if b.settings.ConnectionPrice > 0 {
		each = requestRatePerPricedEndpoint
	}
	servers := float64(len(b.endpoints))
	cover := min(sharers*(servers/float64(max(1, b.settings.BalancerCount))), most)
	return int(min(max(least, b.requestRate/each, cover), servers))
}

// updateSubset makes the arms the first in service of this balancer's own order (rendezvous hashing by its seed).
// Ill ones stay for their trials and are not counted; a cold one counts for its part. Guards against quiet
// balancers of a large fleet that meet each server once a minute, learn nothing and keep connections to all.
func (b *Balancer) updateSubset(now int64) {
	want, well := b.subsetSize(), 0.0
	b.subset = b.subset[:0]
	for _, s := range b.endpoints {
		was := s.inSubset
		s.inSubset = s.Phase == InService && well < float64(want) && len(b.subset) < maxSubsetFactor*want
		if s.inSubset {
			if !was { // those who share it are to know soon
				b.nextGossipAt = min(b.nextGossipAt, b.lastGossipAt+b.gossipChangeInterval())
			}
			b.subset = append(b.subset, s)
			if !s.ejectedForAll {
				well += b.warmupFraction(now, s)
			}
		}
	}
}

// sortEndpoints sorts the servers for this balancer and finds them by their tags.
func (b *Balancer) sortEndpoints() {
	slices.SortFunc(b.endpoints, func(a, c *endpointState) int { return cmp.Compare(a.subsetRank, c.subsetRank) })
	clear(b.endpointsByTag)
	for _, s := range b.endpoints {
		b.endpointsByTag[s.gossipTag()] = s
	}
}

// balancersPerEndpoint is how many balancers draw from a server, on average.
func (b *Balancer) balancersPerEndpoint() float64 {
	return max(1, float64(b.settings.BalancerCount*b.subsetSize())/float64(max(1, len(b.endpoints))))
}
