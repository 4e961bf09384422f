package sidecar

import (
	"slices"
	"time"

	"damsonscale/decide"
	"damsonscale/internal/auditevent"
	"damsonscale/internal/shadow"
)

// Do serves a call and returns its response. The caller closes abandon when the call need not be served any longer, because
// the client has disconnected or the lease has ended. abandoned reports that Do returns for that reason, because an attempt
// has found the client disconnected, or because the rest of the body could not be read.
func (s *Sidecar) Do(c *Call, abandon <-chan struct{}) (r Response, abandoned bool) {
	if s.isInFlightAtPeer(c) {
		return Response{Status: DuplicateID, ConfigVersion: s.ConfigVersion()}, false
	}
	deadline := time.NewTimer(time.Until(c.responseDeadline))
	defer deadline.Stop()
	select {
	case s.mailbox <- requestReceived{c}:
	case <-deadline.C: // the mailbox is full: the request is not admitted and nothing is sent
		return Response{Status: DeadlineExceeded, ConfigVersion: s.ConfigVersion()}, false
	case <-s.aborted:
		return Response{Status: DeadlineExceeded, ConfigVersion: s.ConfigVersion()}, false
	case <-abandon:
		return Response{Status: DeadlineExceeded, ConfigVersion: s.ConfigVersion()}, true
	}
	r, abandoned, answered := s.awaitResponse(c, abandon, deadline)
	if answered {
		c.gate.Close()
		return r, false
	}
	// The disconnection is posted first: Gate.Close waits for a write in progress, which the balancer then cancels.
	go func() { s.mailbox <- clientDisconnected{c} }()
	c.gate.Close()
	return Response{Status: DeadlineExceeded, ConfigVersion: s.ConfigVersion()}, abandoned
}

// awaitResponse waits for the response, the client's disconnection or the deadline.
func (s *Sidecar) awaitResponse(c *Call, abandon <-chan struct{}, deadline *time.Timer) (r Response, abandoned, answered bool) {
	var bodyDone, bodyArrived <-chan struct{}
	if c.Message.Remainder != nil {
		bodyDone, bodyArrived = c.Message.Remainder.Done(), c.Message.Remainder.Arrived()
	}
	for {
		select {
		case r = <-c.response:
			return r, false, true
		case <-abandon:
			return r, true, false
		case <-c.disconnected:
			return r, true, false
		case <-deadline.C:
			return r, false, false
		case <-s.aborted:
			select { // a response that is already available takes precedence
			case r = <-c.response:
				return r, false, true
			default:
				return r, false, false
			}
		case <-bodyArrived:
			bodyArrived = nil
			deadline.Reset(time.Until(c.responseDeadlineFrom(c.Message.Remainder.ArrivedAt())))
		case <-bodyDone:
			bodyDone = nil
			at, err := c.Message.Remainder.CompletedAt()
			if err != nil {
				return r, true, false
			}
			deadline.Reset(time.Until(c.responseDeadlineFrom(at)))
			abandon = c.OnBodyComplete()
		}
	}
}

// InFlightIDs returns the ids of the requests in flight.
func (s *Sidecar) InFlightIDs() []string {
	reply := make(chan []string, 1)
	s.mailbox <- inFlightQuery{reply}
	return <-reply
}

// onRequest admits a call and passes it to the balancer, or rejects it.
func (s *Sidecar) onRequest(now int64, c *Call) {
	if c.gate.Closed() { // Do has returned while the call waited in the mailbox
		return
	}
	if s.calls[c.Request.ID] != nil || s.peerProcessInFlight[c.Request.ID] { // servers cannot distinguish the attempts of two requests with one id
		s.respond(c, Response{Status: DuplicateID})
		return
	}
	if !c.leaseHeld() || !s.mapToCurrentSettings(c) {
		s.respond(c, Response{Status: Rejected}) // nothing was sent: a retry is safe
		return
	}
	s.calls[c.Request.ID] = c
	if kind := auditevent.Accepted; s.recorder != nil {
		if c.Request.PriorAttemptAge > 0 {
			kind = auditevent.TakenOver
		}
		s.record(kind, c.Request.ID, c.class.Name)
	}
	s.applyRecentAttempt(c)
	if c.Request.TimeLeft = c.decisionTimeout().Microseconds(); !c.Request.BodyUnbuffered {
		c.Request.TimeLeft = max(0, s.clockTime(c.decisionDeadline)-now)
	}
	request := c.Request
	s.dispatch(shadow.Event{Now: now, Apply: func(b *decide.Balancer) { b.OnRequest(now, request) }})
}

// mapToCurrentSettings finds the class and the tenant of a call that was read under earlier settings by their names. It
// returns false if the class no longer exists or its semantics have changed.
func (s *Sidecar) mapToCurrentSettings(c *Call) bool {
	if c.settings == s.settings {
		return true
	}
	class, tenant := -1, -1
	for i := range s.settings.Classes {
		if current := &s.settings.Classes[i]; current.Name == c.class.Name && current.Semantics == c.class.Semantics {
			class, c.class = i, current
		}
	}
	if at := c.Request.Tenant; at >= 0 {
		name := c.settings.Tenants[at].Name
		tenant = slices.IndexFunc(s.settings.Tenants, func(t decide.Tenant) bool { return t.Name == name })
	}
	c.settings, c.Request.Class, c.Request.Tenant = s.settings, class, tenant
	return class >= 0
}

// onClientDisconnected ends a call whose client no longer waits for the response.
func (s *Sidecar) onClientDisconnected(now int64, c *Call) {
	if c.responded || s.calls[c.Request.ID] != c {
		c.discardResponse()
		return
	}
	c.responded = true
	id := c.Request.ID
	s.dispatch(shadow.Event{Now: now, Apply: func(b *decide.Balancer) { b.OnClientDisconnected(now, id) }, RequestEnded: id})
	s.forgetIfDone(c)
}

// respond delivers the response of a call under the configuration in force. It returns false if the call has a response
// already.
func (s *Sidecar) respond(c *Call, r Response) bool {
	r.ConfigVersion = s.ConfigVersion()
	return c.respond(r)
}

// forgetIfDone removes a call that is answered and has no attempt in flight.
func (s *Sidecar) forgetIfDone(c *Call) {
	if c.responded && c.inFlight == 0 && s.calls[c.Request.ID] == c {
		delete(s.calls, c.Request.ID)
		switch {
		case c.class.Semantics == decide.Idempotent || c.firstEffectAt.IsZero():
		case c.served:
			s.answered.add(c.Request.ID, c.firstEffectAt)
		default:
			s.unanswered.add(c.Request.ID, c.firstEffectAt)
		}
	}
}

// applyRecentAttempt makes the balancer count an attempt of an earlier request with the call's ID, whose client may have left: it
// may have been executed.
func (s *Sidecar) applyRecentAttempt(c *Call) {
	firstEffectAt, ok := s.findRecent(c.Request.ID)
	if !ok || c.class.Semantics == decide.Idempotent || c.Request.PriorAttemptAge > 0 {
		return
	}
	c.firstEffectAt = firstEffectAt
	c.Request.PriorAttemptAge = max(1, time.Since(firstEffectAt).Microseconds())
}

// findRecent returns when the first attempt was sent of a request that has ended and may have been executed.
func (s *Sidecar) findRecent(id string) (firstEffectAt time.Time, ok bool) {
	if at, ok := s.unanswered.find(id); ok {
		return at, true
	}
	return s.answered.find(id)
}

// PossiblyExecuted returns the ids of requests that are not idempotent and may have been or may be executed without a response
// of a server, with the ages of their first attempts. withAnswered adds those with a response, which their clients may not have taken.
func (s *Sidecar) PossiblyExecuted(withAnswered bool) map[string]time.Duration {
	reply := make(chan map[string]time.Duration, 1)
	s.mailbox <- possiblyExecutedQuery{withAnswered, reply}
	return <-reply
}

// AddPossiblyExecuted records what PossiblyExecuted returned in another process of this sidecar.
func (s *Sidecar) AddPossiblyExecuted(ages map[string]time.Duration) {
	s.mailbox <- possiblyExecuted{ages}
}

func (s *Sidecar) possiblyExecuted(withAnswered bool) map[string]time.Duration {
	ages := make(map[string]time.Duration, len(s.unanswered.firstEffectAt))
	s.unanswered.agesIn(ages)
	if withAnswered {
		s.answered.agesIn(ages)
	}
	for id, c := range s.calls {
		switch {
		case c.class.Semantics == decide.Idempotent || c.served || len(c.attempts) == 0:
		case c.firstEffectAt.IsZero():
			ages[id] = time.Since(c.attempts[0].DecidedAt)
		default:
			ages[id] = time.Since(c.firstEffectAt)
		}
	}
	return ages
}
