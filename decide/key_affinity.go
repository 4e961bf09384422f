package decide

import (
	"math"
)

const (
	replicasPerShare = 2.0  // homes of a key for each mean server's part of the requests that ask for it
	minKeyRequests   = 20.0 // requests that a key's part is taken of at the least
	affinityBoost    = 2.0  // times all arms together weighs a key's home: with more, slow homes keep their keys
)

// affinityReplica counts a request for a key and picks one of its homes, more for a key that is a large part of the
// requests seen here; 0: none. Guards against hot keys that flood one server from every balancer.
func (b *Balancer) affinityReplica(name string) uint64 {
	if !b.settings.KeyAffinity || name == "" {
		return 0
	}
	key := hash(name)
	books := b.keyStatsFor(name)
	books.requests++
	b.keyRequests++
	more := int(replicasPerShare * float64(len(b.endpoints)) * books.requests / (b.keyRequests + minKeyRequests))
	return mixBits(key+uint64(b.rng.IntN(1+more))) | 1
}

// preferredReplica is the server that all balancers with this list pick for a replica of a key, by rendezvous hashing
// over sizes: where servers do known keys faster, a key that all send to one server is warm for all.
func (b *Balancer) preferredReplica(r *request) (best *endpointState) {
	if r.affinityHash == 0 {
		return nil
	}
	least := math.Inf(1)
	for _, s := range b.endpoints {
		if s.Phase == InService && !s.ejections[r.Class].ejected {
			if far := -math.Log(unitInterval(r.affinityHash^s.idHash)) / s.Capacity; far < least {
				best, least = s, far
			}
		}
	}
	return best
}
