// Detection of keys whose requests fail at any endpoint, for a reason of their own: a lock that all
// endpoints wait for, a client that reads slowly, an invalid request. Such requests would use up the
// capacity of others and have healthy endpoints ejected. A bad outcome of an outlier key therefore doesn't
// count against the endpoint, the request is not retried, and a share of the key's requests is rejected on
// arrival until the admitted ones succeed.
//
// This does harm if a single key overloads its preferred replica.

package decide

import "math"

const (
	keySlots = 512 // keys are assigned to slots by their hash

	// outlierDeviations is how many standard deviations, plus one response, a key's bad responses must
	// exceed those expected from the ratio of all other keys. Beyond that, the key itself is at fault.
	outlierDeviations = 2.0

	// Each response of a key multiplies the share of its requests that pass by one of these factors. The
	// share settles where one response in eight is bad.
	passDecrease = 0.5  // for a bad response
	passIncrease = 1.1  // for a good response
	minPassRatio = 0.05 // some requests must pass to detect that the cause is gone
	passRecovery = 1.03 // factor of the share each second

	keyResponseRetention = 0.9 // factor of the counts of responses each second
)

// keyStats counts recent requests and responses of the keys in one slot.
type keyStats struct {
	requests     float64 // counted only with key affinity
	responses    float64
	badResponses float64
	rejectRatio  float64 // share of its requests that are rejected on arrival
}

// keyTable holds the statistics of all keys.
type keyTable struct {
	slots    [keySlots]keyStats
	requests float64  // requests of all keys
	total    keyStats // responses and badResponses of all keys; the other fields are unused
}

// keyStatsFor returns the statistics of a key's slot, or nil for a request without a key.
func (b *Balancer) keyStatsFor(key string) *keyStats {
	if key == "" {
		return nil
	}
	return &b.keys.slots[hash(key)%keySlots]
}

// isKeyOutlier reports whether requests of r's key are being rejected on arrival.
func (r *request) isKeyOutlier() bool { return r.keyStats != nil && r.keyStats.rejectRatio > 0 }

// recordKeyResult records an outcome and reports whether it is bad and the key is at fault: the key has
// significantly more bad responses than all other keys.
func (b *Balancer) recordKeyResult(r *request, o Outcome) bool {
	k, total := r.keyStats, &b.keys.total
	bad := !b.isEarly(r.class, o)
	if k == nil || !bad && o.Result != Succeeded {
		return false
	}
	k.responses++
	total.responses++
	if !bad {
		k.rejectRatio = 1 - min(1, (1-k.rejectRatio)*passIncrease)
		return false
	}
	k.badResponses++
	total.badResponses++
	if !k.isOutlier(total) {
		return false
	}
	k.rejectRatio = 1 - max(minPassRatio, (1-k.rejectRatio)*passDecrease)
	return true
}

// isOutlier reports whether a key has more bad responses than chance explains at the ratio of all other
// keys.
func (k *keyStats) isOutlier(total *keyStats) bool {
	othersRatio := (total.badResponses - k.badResponses + 1) / (total.responses - k.responses + 2)
	deviation := math.Sqrt(k.responses * othersRatio * (1 - othersRatio))
	return k.badResponses-k.responses*othersRatio > outlierDeviations*deviation+1
}

// decayKeyStats decays the counts and lowers the reject ratios, once per second.
func (b *Balancer) decayKeyStats() {
	b.keys.total.responses *= keyResponseRetention
	b.keys.total.badResponses *= keyResponseRetention
	for i := range b.keys.slots {
		k := &b.keys.slots[i]
		k.requests *= requestRetention
		k.responses *= keyResponseRetention
		k.badResponses *= keyResponseRetention
		if k.rejectRatio > 0 {
			k.rejectRatio = 1 - min(1, (1-k.rejectRatio)*passRecovery)
		}
	}
	b.keys.requests *= requestRetention
}
