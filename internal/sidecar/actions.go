package sidecar

import (
	"log"
	"strconv"
	"strings"
	"time"

	"damsonscale/decide"
	"damsonscale/internal/auditevent"
	"damsonscale/internal/discovery"
	"damsonscale/internal/shadow"
	"damsonscale/internal/upstream"
)

// actions carries out what the module does. Its methods run on the actor and never wait.
type actions struct{ s *Sidecar }

// SendAttempt starts an attempt.
func (x actions) SendAttempt(request, server string, timeout int64) {
	s, c := x.s, x.s.calls[request]
	s.noteAction(shadow.Action{Kind: shadow.SendAttempt, Request: request, Server: server, Timeout: timeout})
	if c == nil {
		return
	}
	now := time.Now()
	n := len(c.attempts)
	a := &upstream.Attempt{
		Host: server, Message: &c.Message, Gate: &c.gate, DecidedAt: now, OnStream: s.streamHandler(c, n),
	}
	if c.Message.Remainder == nil {
		a.Deadline = c.attemptDeadline(now, timeout)
	} else if a.TimeoutAfterBody = c.decisionTime(); timeout > 0 {
		a.TimeoutAfterBody = min(a.TimeoutAfterBody, time.Duration(timeout)*time.Microsecond)
	}
	if k := c.class; k.Semantics == decide.IdempotencyKeyed && !c.firstEffectAt.IsZero() {
		a.LatestStart = c.firstEffectAt.Add(time.Duration(k.DedupWindow) * time.Microsecond) // rule 2 at the moment of writing
	}
	a.OnDone = func(a *upstream.Attempt, r upstream.AttemptResult) {
		s.mailbox <- func(now int64) { s.onAttemptEnded(now, c, n, a, r) }
	}
	if s.recorder != nil {
		ref := s.record(auditevent.Sent, request, server)
		a.AuditRef = ref.Append(nil)
	}
	c.attempts = append(c.attempts, a)
	c.inFlight++
	s.noteStaleSend(now, request, server)
	s.offerAttempt(a)
}

// attemptDeadline is when an attempt's wait ends: never past the module's time for the request.
func (c *Call) attemptDeadline(now time.Time, timeout int64) time.Time {
	if t := now.Add(time.Duration(timeout) * time.Microsecond); timeout > 0 && t.Before(c.decisionDeadline) {
		return t
	}
	return c.decisionDeadline
}

// CancelAttempt calls an attempt back.
func (x actions) CancelAttempt(request string, attempt int) {
	if c := x.s.calls[request]; c != nil && attempt >= 0 && attempt < len(c.attempts) {
		c.attempts[attempt].Cancel()
	}
}

// Reject answers that a new try is harmless.
func (x actions) Reject(request string, retryAfter int64) {
	x.s.noteAction(shadow.Action{Kind: shadow.Reject, Request: request})
	x.answer(request, Response{Status: Rejected, RetryAfter: time.Duration(retryAfter) * time.Microsecond})
}

// Fail answers that the request failed.
func (x actions) Fail(request string) {
	x.s.noteAction(shadow.Action{Kind: shadow.Fail, Request: request})
	x.answer(request, Response{Status: Failed})
}

func (x actions) answer(request string, a Response) {
	if c := x.s.calls[request]; c != nil {
		x.s.respond(c, a)
		x.s.forgetIfDone(c)
	}
}

// CheckHealth asks a server for its state or load.
func (x actions) CheckHealth(server string) {
	s := x.s
	s.offerAttempt(upstream.NewHealthCheck(server, s.transport.ProbeLoad, healthCheckTimeout, func(a *upstream.Attempt, r upstream.AttemptResult) {
		s.mailbox <- func(now int64) {
			s.peers[server].inFlight--
			s.balancer.OnHealthCheck(now, decide.HealthCheck{
				Server: server, Result: r.Reason.DecisionResult(), Latency: r.ObservedAt.Sub(a.DecidedAt).Microseconds(), Load: r.Load,
			})
			s.retirePeer(server)
		}
	}))
}

// CloseIdleConnections closes the idle connections to a server.
func (x actions) CloseIdleConnections(server string) {
	x.s.noteAction(shadow.Action{Kind: shadow.CloseIdleConnections, Server: server})
	x.s.peerFor(server).CloseIdleConnections()
}

// SendGossip is never called: the settings of a sidecar permit no messages.
func (x actions) SendGossip(peer int, word []byte) {}

// WatchEndpoints is never called: the list's actor asks for changes by itself.
func (x actions) WatchEndpoints(on bool) {}

// SetTimer sets a timer.
func (x actions) SetTimer(in, token int64) {
	s := x.s
	time.AfterFunc(time.Duration(in)*time.Microsecond, func() {
		s.mailbox <- func(now int64) {
			s.dispatch(shadow.Event{Now: now, Apply: func(b *decide.Balancer) { b.OnTimer(now, token) }})
		}
	})
}

// Log writes the module's line: its first word is the event, the rest is fields or plain words.
func (x actions) Log(line string) {
	event, rest, _ := strings.Cut(line, " ")
	if !strings.Contains(rest, "=") {
		rest = "detail=" + strconv.Quote(rest)
	}
	log.Printf("from=module event=%s %s", event, rest)
}

// noteStaleSend logs, once a second at most, that an attempt goes by a list whose changes may be in force elsewhere.
func (s *Sidecar) noteStaleSend(now time.Time, request, server string) {
	age := s.discovery.Endpoints.Staleness()
	if age <= discovery.StalenessBound || now.Sub(s.staleSendLoggedAt) < time.Second {
		return
	}
	s.staleSendLoggedAt = now
	log.Printf("event=stale_send request=%s server=%s list_age_ms=%d", request, server, age.Milliseconds())
}
