// Keys whose requests fail for a reason of their own, at any endpoint: a lock behind all endpoints, a client
// that reads slowly, an invalid request. They would hold the capacity of others and have healthy endpoints
// ejected. So a bad outcome of such a key doesn't count against the endpoint, the request gets no retry, and
// part of the key's requests is rejected on arrival until those that pass are answered well.
//
// It does harm where one key alone overloads its preferred replica.

package decide

import "math"

const (
	keySlots = 512 // keys are told apart by their hash

	outlierDeviations = 2.0 // standard deviations, and one answer, above the ratio of all other keys

	// The ratio of a key's requests that pass is multiplied by one of these for each answer. It rests where
	// one answer in eight is bad.
	passDecrease = 0.5
	passIncrease = 1.1
	minPassRatio = 0.05 // to see when the reason is gone
	passRecovery = 1.03 // factor of the ratio each second

	keyResponseRetention = 0.9 // of the counts of answers, each second
)

// keyStats counts the recent requests and answers of the keys of one slot.
type keyStats struct {
	requests     float64 // counted only with key affinity
	responses    float64
	badResponses float64
	rejectRatio  float64 // of its requests, on arrival
}

// keyTable holds the statistics of all keys.
type keyTable struct {
	slots    [keySlots]keyStats
	requests float64  // of all keys
	total    keyStats // its answers and badAnswers are those of all keys
}

// keyStatsFor returns the statistics of a key's slot; nil for a request without a key.
func (b *Balancer) keyStatsFor(key string) *keyStats {
	if key == "" {
		return nil
	}
	return &b.keys.slots[hash(key)%keySlots]
}

// isKeyOutlier reports whether requests of its key are being rejected on arrival.
func (r *request) isKeyOutlier() bool { return r.keyStats != nil && r.keyStats.rejectRatio > 0 }

// recordKeyResult takes in an outcome, and reports whether it is bad and its key is at fault: the key's
// answers are bad more often than those of all other keys, past chance.
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

// isOutlier reports whether a key has more bad answers than chance explains at the ratio of all other keys.
func (k *keyStats) isOutlier(total *keyStats) bool {
	othersRatio := (total.badResponses - k.badResponses + 1) / (total.responses - k.responses + 2)
	deviation := math.Sqrt(k.responses * othersRatio * (1 - othersRatio))
	return k.badResponses-k.responses*othersRatio > outlierDeviations*deviation+1
}

// decayKeyStats lets the counts fade and the rejection ease, once a second.
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
