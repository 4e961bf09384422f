package sidecar

import (
	"time"

	"damsonscale/internal/eventlog"
	"damsonscale/internal/upstream"
)

// connectionReuseDelay is how long a connection rests after a response: a second response to the same request, which
// faulty servers send within some ms, would be read as the next request's.
const connectionReuseDelay = 8 * time.Millisecond

// serverEndpoint is a server's actor, with what the balancer has in flight there.
type serverEndpoint struct {
	*upstream.Endpoint
	inFlight int // attempts and health checks without their end
}

// endpointFor returns the peer of a host, and starts it where there is none.
func (s *Sidecar) endpointFor(host string) *serverEndpoint {
	p := s.serverEndpoints[host]
	if p == nil {
		p = &serverEndpoint{Endpoint: upstream.NewEndpoint(host, &s.endpointConfig)}
		s.serverEndpoints[host] = p
	}
	return p
}

// retireEndpoint stops the peer of a host that is no longer listed, once nothing is in flight there.
func (s *Sidecar) retireEndpoint(host string) {
	p := s.serverEndpoints[host]
	if _, listed := s.discovery.Endpoints.Lookup(host); p != nil && p.inFlight == 0 && !listed {
		p.Stop()
		delete(s.serverEndpoints, host)
	}
}

// offerAttempt hands an attempt to its peer. Where the peer's mailbox is full the attempt ends as NotSent.
func (s *Sidecar) offerAttempt(a *upstream.Attempt) {
	p := s.endpointFor(a.Host)
	p.inFlight++
	if !p.Offer(a) {
		eventlog.Warn(eventEndpointMailboxFull, nil, "peer", a.Host)
		go a.OnDone(a, upstream.AttemptResult{Reason: upstream.NotSent, ObservedAt: time.Now()}) // it posts to this actor, which must not wait
	}
}

// CloseIdleConnections closes all idle connections to servers.
func (s *Sidecar) CloseIdleConnections() { s.mailbox <- closeIdleConnections{} }
