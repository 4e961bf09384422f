package sidecar

import (
	"damsonscale/decide"
	"damsonscale/internal/auditevent"
	"damsonscale/internal/shadow"
	"damsonscale/internal/upstream"
)

// streamHandler returns the OnStream callback of an attempt.
func (s *Sidecar) streamHandler(c *Call, number int) func(*upstream.Attempt, *upstream.Stream) {
	return func(_ *upstream.Attempt, stream *upstream.Stream) {
		s.mailbox <- streamStarted{c, number, stream}
	}
}

// onStreamStarted makes a stream the response of its call, or closes the stream if the call has a response already.
func (s *Sidecar) onStreamStarted(now int64, m streamStarted) {
	if !s.respond(m.call, Response{Status: Served, Stream: m.stream, ContentType: m.stream.ContentType}) {
		m.stream.Close()
		return
	}
	id, number := m.call.Request.ID, m.number
	s.dispatch(shadow.Event{Now: now, Apply: func(b *decide.Balancer) { b.OnStreamStarted(now, id, number) }})
}

// onAttemptEnded handles the end of an attempt. A successful response ends the call.
func (s *Sidecar) onAttemptEnded(now int64, m attemptEnded) {
	c, a, r := m.call, m.attempt, m.result
	if !c.responded && c.gate.ClosedByDisconnect() { // the balancer must not retry, even if the client's goroutine has not noticed the disconnection yet
		s.onClientDisconnected(now, c)
		close(c.disconnected)
	}
	p := s.serverEndpoints[a.Host]
	p.inFlight--
	c.inFlight--
	result := r.Reason.DecisionResult()
	if !result.NeverRan() && c.firstEffectAt.IsZero() {
		c.firstEffectAt = a.DecidedAt
	}
	response := Response{Status: Served, Body: r.Body, ContentType: r.ContentType, Memory: r.Memory}
	if result != decide.Succeeded || !s.respond(c, response) {
		r.Memory.Release()
	}
	if c.inFlight == 0 && !c.leaseHeld() { // without the lease every retry would end as NotSent while the client waits
		status := Failed
		if c.firstEffectAt.IsZero() {
			status = Rejected
		}
		s.respond(c, Response{Status: status})
	}
	if r.Reason == upstream.NotSent || r.Reason == upstream.ConnectFailed {
		s.record(auditevent.NotSent, c.Request.ID, a.Host)
	}
	outcome := outcomeOf(m)
	e := shadow.Event{Now: now, Apply: func(b *decide.Balancer) { b.OnOutcome(now, outcome) }, AttemptEnded: outcome.Request}
	if outcome.RequestAnswered {
		e.RequestEnded = outcome.Request
	}
	s.dispatch(e)
	s.forgetIfDone(c)
	s.retireEndpoint(a.Host)
}

// outcomeOf converts the end of an attempt to the balancer's form.
func outcomeOf(m attemptEnded) decide.Outcome {
	sentAt := m.attempt.DecidedAt
	if !m.result.BodySentAt.IsZero() { // the server cannot begin before it has the complete body
		sentAt = m.result.BodySentAt
	}
	return decide.Outcome{
		Request: m.call.Request.ID, Attempt: m.number, Server: m.attempt.Host, Result: m.result.Reason.DecisionResult(),
		Latency: m.result.ObservedAt.Sub(sentAt).Microseconds(), RequestAnswered: m.call.responded, Load: m.result.Load,
		BodyConsumed: m.result.BodyConsumed,
	}
}

// onHealthCheckEnded handles the end of a health check.
func (s *Sidecar) onHealthCheckEnded(now int64, m healthCheckEnded) {
	s.serverEndpoints[m.server].inFlight--
	m.result.Memory.Release()
	s.balancer.OnHealthCheck(now, decide.HealthCheckOutcome{
		Server: m.server, Result: m.result.Reason.DecisionResult(),
		Latency: m.result.ObservedAt.Sub(m.check.DecidedAt).Microseconds(), Load: m.result.Load,
	})
	s.retireEndpoint(m.server)
}
