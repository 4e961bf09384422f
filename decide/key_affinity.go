// Affinity of keys to endpoints: where an endpoint does keys that it served lately faster, all balancers send
// a key to the same few endpoints, its preferred replicas, without a word between them.

package decide

import "math"

const (
	// replicasPerShare is how many more replicas a key has for each mean endpoint's share of the requests
	// that ask for it, so that no endpoint gets a hot key alone.
	replicasPerShare = 2.0
	// keyRequestsPrior is added to the requests that a key's share is taken of, of which there may be few.
	keyRequestsPrior = 20.0
	// affinityBoost times the weight of the whole subset is the weight of the preferred replica. With more, a
	// slow one would keep its keys.
	affinityBoost = 2.0
)

// affinityReplica counts a request for a key and picks one of the key's replicas at random, as a hash; 0: it
// has none.
func (b *Balancer) affinityReplica(key string) uint64 {
	if !b.settings.KeyAffinity || key == "" {
		return 0
	}
	stats := b.keyStatsFor(key)
	stats.requests++
	b.keys.requests++
	total := b.keys.requests + keyRequestsPrior
	extraReplicas := int(replicasPerShare * float64(len(b.endpoints)) * stats.requests / total)
	return mixBits(hash(key)+uint64(b.rng.IntN(1+extraReplicas))) | 1
}

// preferredReplica is the endpoint that r prefers, or nil: by weighted rendezvous hashing over all listed
// endpoints, which all balancers with the same list do alike.
func (b *Balancer) preferredReplica(r *request) (best *endpointState) {
	if r.affinityHash == 0 {
		return nil
	}
	nearest := math.Inf(1)
	for _, s := range b.endpoints {
		if !s.inService() || s.ejections[r.Class].ejected {
			continue
		}
		if distance := -math.Log(unitInterval(r.affinityHash^s.idHash)) / s.Capacity; distance < nearest {
			best, nearest = s, distance
		}
	}
	return best
}
