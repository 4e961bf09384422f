package sidecar

import (
	"maps"
	"slices"

	"damsonscale/decide"
	"damsonscale/internal/config"
	"damsonscale/internal/discovery"
	"damsonscale/internal/shadow"
	"damsonscale/internal/upstream"
)

// message is what the mailbox takes. handle runs on the actor's goroutine; now is the balancer's clock, in µs.
type message interface{ handle(s *Sidecar, now int64) }

// requestReceived is a request of a client.
type requestReceived struct{ call *Call }

func (m requestReceived) handle(s *Sidecar, now int64) { s.onRequest(now, m.call) }

// clientDisconnected says that nobody waits for a call's response any more.
type clientDisconnected struct{ call *Call }

func (m clientDisconnected) handle(s *Sidecar, now int64) { s.onClientDisconnected(now, m.call) }

// streamStarted says that an attempt has a response which is passed on as it comes.
type streamStarted struct {
	call   *Call
	number int // of the attempt
	stream *upstream.Stream
}

func (m streamStarted) handle(s *Sidecar, now int64) { s.onStreamStarted(now, m) }

// attemptEnded is the end of an attempt.
type attemptEnded struct {
	call    *Call
	number  int // of the attempt, from 0 in the order of sending
	attempt *upstream.Attempt
	result  upstream.AttemptResult
}

func (m attemptEnded) handle(s *Sidecar, now int64) { s.onAttemptEnded(now, m) }

// healthCheckEnded is the end of a health check.
type healthCheckEnded struct {
	server string
	check  *upstream.Attempt
	result upstream.AttemptResult
}

func (m healthCheckEnded) handle(s *Sidecar, now int64) { s.onHealthCheckEnded(now, m) }

// timerFired is a timer that the balancer has set.
type timerFired struct{ token int64 }

func (m timerFired) handle(s *Sidecar, now int64) {
	s.dispatch(shadow.Event{Now: now, Apply: func(b *decide.Balancer) { b.OnTimer(now, m.token) }})
}

// endpointsUpdated is an update of the endpoint list.
type endpointsUpdated struct{ update *discovery.Update }

func (m endpointsUpdated) handle(s *Sidecar, now int64) { s.onEndpointsUpdated(now, m.update) }

// configChanged puts a configuration in force. notify runs on the actor; done is closed afterwards.
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

// peerProcessChanged says whether another process of this sidecar serves too.
type peerProcessChanged struct{ active bool }

func (m peerProcessChanged) handle(s *Sidecar, now int64) {
	s.dispatch(shadow.Event{Now: now, Apply: func(b *decide.Balancer) { b.SetPeerProcessActive(now, m.active) }})
}

// peerProcessInFlightChanged names the requests that another process of this sidecar has in flight.
type peerProcessInFlightChanged struct{ ids map[string]bool }

func (m peerProcessInFlightChanged) handle(s *Sidecar, _ int64) { s.peerProcessInFlight = m.ids }

// inFlightQuery asks for the ids of the requests in flight.
type inFlightQuery struct{ reply chan<- []string }

func (m inFlightQuery) handle(s *Sidecar, _ int64) { m.reply <- slices.Collect(maps.Keys(s.calls)) }

// closeIdleConnections closes all idle connections to servers.
type closeIdleConnections struct{}

func (closeIdleConnections) handle(s *Sidecar, _ int64) {
	for _, p := range s.serverEndpoints {
		p.CloseIdleConnections()
	}
}

// socketShortage says that an attempt waits for a socket: each peer closes its longest idle connection.
type socketShortage struct{}

func (socketShortage) handle(s *Sidecar, _ int64) {
	for _, p := range s.serverEndpoints {
		p.CloseOldestIdle()
	}
}
