package sidecar

import (
	"time"

	"damsonscale/decide"
	"damsonscale/internal/auditevent"
	"damsonscale/internal/shadow"
	"damsonscale/internal/upstream"
)

// healthCheckTimeout limits the duration of a health check.
const healthCheckTimeout = 300 * time.Millisecond

// actions implements decide.Actions. Its methods run on the Sidecar's goroutine and never block.
type actions struct{ s *Sidecar }

// SendAttempt starts an attempt. timeout is in µs; with 0 only the deadline of the request limits the attempt.
func (x actions) SendAttempt(request, server string, timeout int64) {
	s, c := x.s, x.s.calls[request]
	s.noteAction(shadow.Action{Kind: shadow.SendAttempt, Request: request, Server: server, Timeout: timeout})
	if c == nil {
		return
	}
	now := time.Now()
	number := len(c.attempts)
	a := &upstream.Attempt{
		Host: server, Message: &c.Message, Gate: &c.gate, DecidedAt: now, OnStream: s.streamHandler(c, number),
		CountsMemory: c.inFlight > 0, // the request's own reservation covers one attempt at a time
	}
	if c.Message.Remainder == nil {
		a.Deadline = c.attemptDeadline(now, timeout)
	} else if a.TimeoutAfterBody = c.decisionTimeout(); timeout > 0 {
		a.TimeoutAfterBody = min(a.TimeoutAfterBody, time.Duration(timeout)*time.Microsecond)
	}
	if class := c.class; class.Semantics == decide.IdempotencyKeyed && !c.firstEffectAt.IsZero() {
		// After the dedup window servers would execute the request again.
		a.LatestStart = c.firstEffectAt.Add(time.Duration(class.DedupWindow) * time.Microsecond)
	}
	a.OnDone = func(a *upstream.Attempt, r upstream.AttemptResult) {
		s.mailbox <- attemptEnded{c, number, a, r}
	}
	if s.recorder != nil {
		ref := s.record(auditevent.Sent, request, server)
		a.AuditRef = ref.Append(nil)
	}
	c.attempts = append(c.attempts, a)
	c.inFlight++
	s.logStaleSend(now, request, server)
	s.offerAttempt(a)
}

// CancelAttempt cancels an attempt.
func (x actions) CancelAttempt(request string, attempt int) {
	if c := x.s.calls[request]; c != nil && attempt >= 0 && attempt < len(c.attempts) {
		c.attempts[attempt].Cancel()
	}
}

// Reject responds that the request had no effect and may be retried after retryAfter, in µs.
func (x actions) Reject(request string, retryAfter int64) {
	x.s.noteAction(shadow.Action{Kind: shadow.Reject, Request: request})
	x.respond(request, Response{Status: Rejected, RetryAfter: time.Duration(retryAfter) * time.Microsecond})
}

// Fail responds that the request failed.
func (x actions) Fail(request string) {
	x.s.noteAction(shadow.Action{Kind: shadow.Fail, Request: request})
	x.respond(request, Response{Status: Failed})
}

func (x actions) respond(request string, r Response) {
	if c := x.s.calls[request]; c != nil {
		x.s.respond(c, r)
		x.s.forgetIfDone(c)
	}
}

// CheckHealth sends a health check to a server, or a request for its load report if the settings ask for load probes.
func (x actions) CheckHealth(server string) {
	s := x.s
	s.offerAttempt(upstream.NewHealthCheck(server, s.transport.HealthCheckLoad, healthCheckTimeout, func(a *upstream.Attempt, r upstream.AttemptResult) {
		s.mailbox <- healthCheckEnded{server, a, r}
	}))
}

// CloseIdleConnections closes the idle connections to a server, so that later attempts dial new ones.
func (x actions) CloseIdleConnections(server string) {
	x.s.noteAction(shadow.Action{Kind: shadow.CloseIdleConnections, Server: server})
	x.s.endpointFor(server).CloseIdleConnections()
}

// SendGossip is never called: package config rejects settings with gossip.
func (x actions) SendGossip(int, []byte) {}

// WatchEndpoints is never called: withPushedEndpoints makes the balancer expect a pushed list.
func (x actions) WatchEndpoints(bool) {}

// SetTimer calls the balancer's OnTimer with token after a delay, in µs.
func (x actions) SetTimer(after, token int64) {
	mailbox := x.s.mailbox
	time.AfterFunc(time.Duration(after)*time.Microsecond, func() { mailbox <- timerFired{token} })
}
