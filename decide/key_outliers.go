package decide

import (
	"math"
)

const (
	outlierDeviations  = 2.0  // standard deviations, and one, past which bad answers of a key are its own fault
	passDecrease       = 0.5  // of a key's requests that pass, kept for a bad answer; with passIncrease it rests ...
	passIncrease       = 1.1  // where one in eight is bad
	minPassRatio       = 0.05 // of them pass whatever comes, to see whether it is over
	keyAnswerRetention = 0.9  // of the answers of a key and the bad ones among them, kept each second
	passRecovery       = 1.03 // of a key's requests that pass, each second
)

// recordKeyResult tells whether a bad outcome is the request's fault, not the server's: answers of its key are bad
// more often than those of all others, past chance. It gets no further attempt, and such requests are
// thinned at the door until those that pass are answered well. Guards against locks behind all servers,
// clients that read slowly and requests found in error anywhere, which held the places of others and had
// all servers suspended. It does harm where one key alone jams its home.
func (b *Balancer) recordKeyResult(r *request, o Outcome) bool {
	bad, k := !b.isEarly(r.class, o), r.keyStats
	if k == nil || !bad && o.Result != Succeeded {
		return false
	}
	k.answers, b.totalKeyStats.answers = k.answers+1, b.totalKeyStats.answers+1
	if !bad {
		k.rejectRatio = 1 - min(1, (1-k.rejectRatio)*passIncrease)
		return false
	}
	k.badAnswers, b.totalKeyStats.badAnswers = k.badAnswers+1, b.totalKeyStats.badAnswers+1
	others := (b.totalKeyStats.badAnswers - k.badAnswers + 1) / (b.totalKeyStats.answers - k.answers + 2) // share of bad ones among them
	if k.badAnswers-k.answers*others <= outlierDeviations*math.Sqrt(k.answers*others*(1-others))+1 {
		return false
	}
	k.rejectRatio = 1 - max(minPassRatio, (1-k.rejectRatio)*passDecrease)
	return true
}

// keyStats are the requests of the keys of one slot, of late.
type keyStats struct {
	requests            float64 // where homes go by it
	answers, badAnswers float64
	rejectRatio         float64 // share of them that is refused at the door
}

// isKeyOutlier tells whether requests of its key are thinned.
func (r *request) isKeyOutlier() bool { return r.keyStats != nil && r.keyStats.rejectRatio > 0 }

// keyStatsFor returns the books of a key's slot.
func (b *Balancer) keyStatsFor(key string) *keyStats {
	if key == "" {
		return nil
	}
	return &b.keyStats[hash(key)%uint64(len(b.keyStats))]
}
