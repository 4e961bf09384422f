package sidecar

import (
	"maps"
	"slices"
	"time"

	"damsonscale/decide"
	"damsonscale/internal/config"
	"damsonscale/internal/discovery"
	"damsonscale/internal/shadow"
	"damsonscale/internal/upstream"
)

// message is an event in the mailbox. handle runs on the goroutine of Run; now is the balancer's time, in µs.
type message interface{ handle(s *Sidecar, now int64) }

// requestReceived delivers a request of a client.
type requestReceived struct{ call *Call }

func (m requestReceived) handle(s *Sidecar, now int64) { s.onRequest(now, m.call) }

// clientDisconnected reports that Do no longer waits for the response of a call.
type clientDisconnected struct{ call *Call }

func (m clientDisconnected) handle(s *Sidecar, now int64) { s.onClientDisconnected(now, m.call) }

// streamStarted reports that the response to an attempt is streamed.
type streamStarted struct {
	call   *Call
	number int // number of the attempt, counted from 0 in the order of sending
	stream *upstream.Stream
}

func (m streamStarted) handle(s *Sidecar, now int64) { s.onStreamStarted(now, m) }

// attemptEnded reports the end of an attempt.
type attemptEnded struct {
	call    *Call
	number  int // number of the attempt, counted from 0 in the order of sending
	attempt *upstream.Attempt
	result  upstream.AttemptResult
}

func (m attemptEnded) handle(s *Sidecar, now int64) { s.onAttemptEnded(now, m) }

// healthCheckEnded reports the end of a health check.
type healthCheckEnded struct {
	server string
	check  *upstream.Attempt
	result upstream.AttemptResult
}

func (m healthCheckEnded) handle(s *Sidecar, now int64) { s.onHealthCheckEnded(now, m) }

// timerFired reports the expiry of a timer that the balancer has set.
type timerFired struct{ token int64 }

func (m timerFired) handle(s *Sidecar, now int64) {
	s.dispatch(shadow.Event{Now: now, Apply: func(b *decide.Balancer) { b.OnTimer(now, m.token) }})
}

// endpointsUpdated delivers an update of the endpoint list.
type endpointsUpdated struct{ update *discovery.Update }

func (m endpointsUpdated) handle(s *Sidecar, now int64) { s.onEndpointsUpdated(now, m.update) }

// configChanged puts a configuration in force. notify runs on the goroutine of Run; done is closed after
// notify has returned.
type configChanged struct {
	config *config.Config
	notify func(*decide.Settings)
	done   chan<- struct{}
}

func (m configChanged) handle(s *Sidecar, now int64) {
	defer close(m.done)
	s.onConfigChanged(now, m.config)
	m.notify(s.settings)
}

// peerProcessChanged reports whether another process of this sidecar also serves requests.
type peerProcessChanged struct{ active bool }

func (m peerProcessChanged) handle(s *Sidecar, now int64) {
	s.dispatch(shadow.Event{Now: now, Apply: func(b *decide.Balancer) { b.SetPeerProcessActive(now, m.active) }})
}

// peerProcessInFlightChanged replaces the ids of the requests that another process of this sidecar has in flight.
type peerProcessInFlightChanged struct{ ids map[string]bool }

func (m peerProcessInFlightChanged) handle(s *Sidecar, _ int64) { s.peerProcessInFlight = m.ids }

// inFlightQuery requests the ids of the requests in flight.
type inFlightQuery struct{ reply chan<- []string }

func (m inFlightQuery) handle(s *Sidecar, _ int64) { m.reply <- slices.Collect(maps.Keys(s.calls)) }

// possiblyExecutedQuery requests the requests that may be executed without a response.
type possiblyExecutedQuery struct {
	withAnswered bool
	reply        chan<- map[string]time.Duration
}

func (m possiblyExecutedQuery) handle(s *Sidecar, _ int64) {
	m.reply <- s.possiblyExecuted(m.withAnswered)
}

// possiblyExecuted reports such requests of another process of this sidecar, with the ages of their first attempts.
type possiblyExecuted struct{ ages map[string]time.Duration }

func (m possiblyExecuted) handle(s *Sidecar, _ int64) {
	for id, age := range m.ages {
		s.unanswered.add(id, time.Now().Add(-age))
	}
}

// closeIdleConnections requests that all idle connections to servers be closed.
type closeIdleConnections struct{}

func (closeIdleConnections) handle(s *Sidecar, _ int64) {
	for _, p := range s.serverEndpoints {
		p.CloseIdleConnections()
	}
}

// socketShortage reports that no socket is available for an attempt. Each server endpoint then closes the connection that
// has been idle longest.
type socketShortage struct{}

func (socketShortage) handle(s *Sidecar, _ int64) {
	for _, p := range s.serverEndpoints {
		p.CloseOldestIdle()
	}
}
