package sidecar

import (
	"damsonscale/decide"
	"damsonscale/internal/discovery"
	"damsonscale/internal/shadow"
)

// HasEndpoints reports whether at least one server is listed.
func (s *Sidecar) HasEndpoints() bool { return s.discovery.Endpoints.HasEndpoints() }

// EndpointsKnown returns a channel that is closed as soon as a server has been listed.
func (s *Sidecar) EndpointsKnown() <-chan struct{} { return s.endpointsKnown }

func (s *Sidecar) signalEndpointsKnown() {
	if s.HasEndpoints() {
		s.endpointsKnownOnce.Do(func() { close(s.endpointsKnown) })
	}
}

// SetDiscoveryAddress switches to the discovery service at addr. The current list stays in force until that service sends a
// list.
func (s *Sidecar) SetDiscoveryAddress(addr string) { s.discovery.SetAddress(addr) }

// OnEndpoints implements discovery.Listener.
func (s *Sidecar) OnEndpoints(u *discovery.Update) {
	s.signalEndpointsKnown()
	s.mailbox <- endpointsUpdated{u}
}

func (s *Sidecar) onEndpointsUpdated(now int64, u *discovery.Update) {
	s.endpointsSeq = u.Seq
	s.updateConfigVersion()
	endpoints := s.toEndpoints(now, u)
	s.dispatch(shadow.Event{Now: now, Apply: func(b *decide.Balancer) { b.OnEndpoints(now, endpoints, u.Full) }})
	for host := range s.serverEndpoints {
		s.retireEndpoint(host)
	}
}

// toEndpoints converts an update to the balancer's form.
func (s *Sidecar) toEndpoints(now int64, u *discovery.Update) []decide.Endpoint {
	out := make([]decide.Endpoint, 0, len(u.Endpoints))
	for i := range u.Endpoints {
		e := &u.Endpoints[i]
		endpoint := decide.Endpoint{
			ID: e.Host, Capacity: e.Capacity, MachineKind: e.MachineKind, Zone: e.Zone, Cell: -1, StartedAt: s.startTimes.startTime(e, now),
		}
		if e.Cell != nil {
			endpoint.Cell = *e.Cell
		}
		switch e.Health {
		case discovery.Ready:
			endpoint.Phase = decide.InService
		case discovery.Removed:
			endpoint.Phase = decide.Removed
		default: // a server in an unknown state gets no new requests either
			endpoint.Phase = decide.Draining
		}
		out = append(out, endpoint)
	}
	s.startTimes.prune(u)
	return out
}
