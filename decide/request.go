package decide

import "slices"

// request is a request that has no final response yet or has attempts in flight.
type request struct {
	Request
	class                *classState
	classAtArrival       Class // the class's settings when the request arrived
	maxAttempts          int
	arrivedAt            int64   // µs
	deadline             int64   // µs
	latencyObjective     int64   // objective of its class, extended by the work hint, µs
	elapsedBeforeArrival int64   // µs that its client has spent on earlier attempts, if that can be inferred
	queueDeadline        int64   // time until which it may wait for its first attempt, µs
	priority             float64 // see priority.go
	attempts             []attempt
	inFlight             int       // attempts in flight
	workFactor           float64   // see work_hint.go
	keyStats             *keyStats // statistics of its key; nil: it has no key
	affinityHash         uint64    // selects its preferred replica; 0: it has no affinity
	ended                bool      // it has its final response
	streamStarted        bool
	priorAttempt         *attempt // attempt that another balancer may have sent; nil: none
	followedAttempts     int      // shadow evaluation: attempts that were really sent
}

// attempt is one send. The zone and cell are those of the endpoint at the time of the send.
type attempt struct {
	endpoint       *endpointState
	zone           string
	cell           int64
	sentAt         int64   // µs
	connectionIdle int64   // µs that its connection had been idle; 0: in use or new
	probability    float64 // probability of the draw that chose the endpoint
	done           bool
	released       bool   // it no longer counts as in flight at its endpoint
	result         Result // valid once done is set; until then it is Succeeded, a result that may have run
}

// newRequest creates the state of a request.
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
	// A client's retry arrives with the time left of the client's deadline, so the rest has already passed.
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

// newPriorAttempt returns an attempt that another balancer may have sent age µs ago, or nil for age 0. Its
// endpoint is unknown, so its zone and cell match no endpoint.
func newPriorAttempt(now, age int64) *attempt {
	if age <= 0 {
		return nil
	}
	return &attempt{sentAt: now - age, zone: "?", cell: -2, done: true, result: Reset}
}

// hasPriorAttempt reports whether the next send goes beyond the request's first attempt. An attempt that
// another balancer may have sent counts, since a takeover would otherwise add attempts.
func (r *request) hasPriorAttempt() bool { return len(r.attempts) > 0 || r.priorAttempt != nil }

// attempted reports whether r has already had an attempt at s.
func (r *request) attempted(s *endpointState) bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.endpoint == s })
}

// releaseCapacity stops counting an attempt as in flight. Repeated calls have no effect.
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

// finish closes r, which has its final response. It cancels the attempts in flight if the settings allow
// that.
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
