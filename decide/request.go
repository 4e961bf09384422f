package decide

import "slices"

// request is one that is not answered yet, or has attempts in flight.
type request struct {
	Request
	class                *classState
	classAtArrival       Class // as they were when the request arrived
	maxAttempts          int
	arrivedAt            int64
	deadline             int64
	latencyObjective     int64   // of its class, extended by the work hint
	elapsedBeforeArrival int64   // that its client has waited on earlier attempts, where that shows
	queueDeadline        int64   // when it may wait no longer for its first attempt
	priority             float64 // see priority.go
	attempts             []attempt
	inFlight             int
	workFactor           float64   // see work_hint.go
	keyStats             *keyStats // of its key; nil: it has none
	affinityHash         uint64    // picks its preferred replica; 0: it has none
	ended                bool      // it has its final answer
	streamStarted        bool
	priorAttempt         *attempt // that another balancer may have sent; nil: none
	followedAttempts     int      // in shadow evaluation: attempts that were really sent
}

// attempt is one send. Its endpoint's zone and cell are those at the time of the send.
type attempt struct {
	endpoint       *endpointState
	zone           string
	cell           int64
	sentAt         int64
	connectionIdle int64   // how long its connection had been idle; 0: in use or new
	probability    float64 // of the draw that chose the endpoint
	done           bool
	released       bool   // it no longer counts as in flight at its endpoint
	result         Result // once done; until then Succeeded, which may have run
}

// newRequest derives what the rules need to know of a request.
func (b *Balancer) newRequest(now int64, in Request) *request {
	class := b.classes[in.Class]
	r := &request{
		Request:        in,
		class:          class,
		classAtArrival: class.Class,
		maxAttempts:    b.settings.Limits.MaxAttempts,
		arrivedAt:      now,
		priority:       class.priority,
		affinityHash:   b.affinityReplica(in.Key),
		keyStats:       b.keyStatsFor(in.Key),
		priorAttempt:   newPriorAttempt(now, in.PriorAttemptAge),
	}
	objective := float64(class.LatencyObjective) + class.ObjectivePerWork*float64(max(0, in.WorkHint))
	r.latencyObjective = int64(min(objective, float64(class.Deadline)))
	if r.TimeLeft < 0 {
		r.TimeLeft = class.Deadline
	}
	// A retry comes with the time that its client has left of its deadline; the rest has passed before.
	if !in.IsRetry {
		class.maxFirstTimeLeft = max(class.maxFirstTimeLeft, r.TimeLeft)
	} else if r.TimeLeft < class.maxFirstTimeLeft-b.settings.Rules.AnswerSlack {
		r.elapsedBeforeArrival = max(0, class.Deadline-r.TimeLeft)
	}
	r.workFactor = class.workFactor(in.WorkHint)
	r.deadline = now + r.TimeLeft
	r.queueDeadline = queueDeadline(r)
	return r
}

// newPriorAttempt is an attempt that another balancer may have sent that long ago; nil for 0. Its endpoint is
// not known, so its zone and cell are those of none.
func newPriorAttempt(now, age int64) *attempt {
	if age <= 0 {
		return nil
	}
	return &attempt{sentAt: now - age, zone: "?", cell: -2, done: true, result: Reset}
}

// hasPriorAttempt reports whether a send would be one beyond the request's first. It would be too where
// another balancer may have sent that, or a takeover would add attempts.
func (r *request) hasPriorAttempt() bool { return len(r.attempts) > 0 || r.priorAttempt != nil }

// attempted reports whether an attempt of r has gone to s.
func (r *request) attempted(s *endpointState) bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.endpoint == s })
}

// releaseCapacity ends an attempt's count as in flight, once.
func (b *Balancer) releaseCapacity(r *request, a *attempt) {
	if a.released {
		return
	}
	a.released = true
	a.endpoint.inFlight--
	b.gossipEndpoint(a.endpoint)
	a.endpoint.ejections[r.Class].inFlight--
	b.inFlight--
}

// finish closes r, which has its final answer, and cancels its attempts in flight where the settings allow
// it.
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
