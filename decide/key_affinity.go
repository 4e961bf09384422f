// Affinity of keys to endpoints. If an endpoint processes keys faster that it has served recently, all
// balancers send a key to the same few endpoints, its preferred replicas, without communicating.

package decide

import "math"

const (
	// replicasPerShare is the number of additional replicas of a key for each average endpoint's share of
	// the keyed requests that ask for it. So no endpoint has to serve a hot key alone.
	replicasPerShare = 2.0
	// keyRequestsPrior is added to the total number of requests when a key's share is computed, so that a
	// few requests don't make a key look hot.
	keyRequestsPrior = 20.0
	// affinityBoost is the weight of the preferred replica, as a multiple of the weight of the whole
	// subset. With a larger value, a slow replica would keep its keys.
	affinityBoost = 2.0
)

// affinityReplica counts a request for a key and picks one of the key's replicas at random, which it
// returns as a hash. It returns 0 for a request without affinity.
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

// preferredReplica returns the endpoint that r prefers, or nil. It uses weighted rendezvous hashing over
// all listed endpoints, which gives the same result at all balancers with the same list.
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
