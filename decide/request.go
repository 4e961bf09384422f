package decide

import (
	"slices"
)

// finish closes r and calls back what is still out for it.
func (b *Balancer) finish(r *request) {
	r.ended = true
	if r.inFlight == 0 {
		delete(b.openRequests, r.ID)
		return
	}
	for i := range r.attempts {
		if !r.attempts[i].done && b.settings.Limits.Cancel {
			b.actions.CancelAttempt(r.ID, i)
		}
	}
}

// request is one request taken, kept until it is answered and none of its attempts is out.
type request struct {
	Request
	class                *classState
	classRules           Class // as they were when it was taken
	maxAttempts          int   // attempts that it may have
	arrivedAt            int64
	deadline             int64
	latencyObjective     int64   // the class's, stretched by the work hinted
	elapsedBeforeArrival int64   // time that its client has waited on earlier tries, where that shows
	queueDeadline        int64   // when waiting unsent ends
	priority             float64 // worth for the time it takes: who waits first and who is refused last
	attempts             []attempt
	inFlight             int
	workFactor           float64   // times longer than a mean request of its class that it takes, by the work hinted
	keyStats             *keyStats // of its key; nil: it has none
	affinityHash         uint64    // hash of the replica of its key; 0: none
	ended                bool
	streamStarted        bool     // its stream has begun
	priorAttempt         *attempt // that another balancer may have sent; nil: none
	followedAttempts     int      // tries that were really sent, where another balancer is watched
}

// attempt is one send. Its server's group is kept as it was when sent.
type attempt struct {
	endpoint       *endpointState
	zone           string
	cell           int64
	sentAt         int64
	connectionIdle int64   // how long its connection had been idle; 0: in use or new
	probability    float64 // probability of the draw that chose the server
	done           bool
	released       bool   // it holds no place any more
	result         Result // once done; that of one that is out is Served, which may have run
}

// newPriorAttempt is what is known of an attempt that another balancer may have sent some time ago: not where, so that no server
// of a zone or a cell is known to drop a repeat.
func newPriorAttempt(now, ago int64) *attempt {
	if ago <= 0 {
		return nil
	}
	return &attempt{sentAt: now - ago, zone: "?", cell: -2, done: true, result: Reset}
}

// hasPriorAttempt tells whether a send would be one beyond the request's first, also where another balancer may have sent that.
// Guards against a takeover that mints attempts.
func (r *request) hasPriorAttempt() bool { return len(r.attempts) > 0 || r.priorAttempt != nil }

func (r *request) attempted(s *endpointState) bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.endpoint == s })
}
