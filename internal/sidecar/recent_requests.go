package sidecar

import "time"

const (
	// recentRequestTTL is how long a request that may have been executed is remembered after its first attempt.
	recentRequestTTL = 30 * time.Second

	maxUnansweredRequests = 4096 // that got no response from a server
	maxAnsweredRequests   = 2048 // whose response their client may not have taken
)

// recentRequests remembers requests that are not idempotent and may have been executed, so that none of them is executed a second
// time when its ID comes again.
type recentRequests struct {
	limit         int                  // number of requests
	firstEffectAt map[string]time.Time // by request ID
	order         []string             // IDs in the order in which they were added
}

func newRecentRequests(limit int) *recentRequests {
	return &recentRequests{limit: limit, firstEffectAt: map[string]time.Time{}}
}

// add remembers a request. It forgets those that are too old, and the oldest if there are too many.
func (r *recentRequests) add(id string, firstEffectAt time.Time) {
	if _, known := r.firstEffectAt[id]; !known {
		r.order = append(r.order, id)
	}
	r.firstEffectAt[id] = firstEffectAt
	for len(r.order) > r.limit || time.Since(r.firstEffectAt[r.order[0]]) > recentRequestTTL {
		delete(r.firstEffectAt, r.order[0])
		r.order = r.order[1:]
		if len(r.order) == 0 {
			return
		}
	}
}

// find returns when the first attempt of a request was sent that may have been executed.
func (r *recentRequests) find(id string) (firstEffectAt time.Time, ok bool) {
	at, ok := r.firstEffectAt[id]
	return at, ok && time.Since(at) <= recentRequestTTL
}

// agesIn adds the ages of the remembered requests to ages.
func (r *recentRequests) agesIn(ages map[string]time.Duration) {
	for id := range r.firstEffectAt {
		if at, ok := r.find(id); ok {
			ages[id] = time.Since(at)
		}
	}
}
