package sidecar

import (
	"time"

	"damsonscale/internal/eventlog"
	"damsonscale/internal/upstream"
)

// connectionReuseDelay is how long a connection stays unused after a response. Faulty servers send a second response to a
// request 1.2 to 5 ms after the first; on a reused connection it would be taken for the response to the next request.
const connectionReuseDelay = 8 * time.Millisecond

// serverEndpoint is the actor that sends to a server.
type serverEndpoint struct {
	*upstream.Endpoint
	inFlight int // attempts and health checks that have not ended
}

// endpointFor returns the endpoint of a host. If there is none it starts one.
func (s *Sidecar) endpointFor(host string) *serverEndpoint {
	p := s.serverEndpoints[host]
	if p == nil {
		p = &serverEndpoint{Endpoint: upstream.NewEndpoint(host, &s.endpointConfig)}
		s.serverEndpoints[host] = p
	}
	return p
}

// retireEndpoint stops the endpoint of a host that is not listed and has nothing in flight.
func (s *Sidecar) retireEndpoint(host string) {
	p := s.serverEndpoints[host]
	if _, listed := s.discovery.Endpoints.Lookup(host); p != nil && p.inFlight == 0 && !listed {
		p.Stop()
		delete(s.serverEndpoints, host)
	}
}

// offerAttempt offers an attempt to its server's endpoint. If the endpoint's mailbox is full the attempt ends as NotSent.
func (s *Sidecar) offerAttempt(a *upstream.Attempt) {
	p := s.endpointFor(a.Host)
	p.inFlight++
	if !p.Offer(a) {
		eventlog.Warn(eventEndpointMailboxFull, nil, "peer", a.Host)
		// OnDone posts to the mailbox of the Sidecar, whose goroutine must not block on it.
		go a.OnDone(a, upstream.AttemptResult{Reason: upstream.NotSent, ObservedAt: time.Now()})
	}
}

// CloseIdleConnections closes all idle connections to servers.
func (s *Sidecar) CloseIdleConnections() { s.mailbox <- closeIdleConnections{} }
