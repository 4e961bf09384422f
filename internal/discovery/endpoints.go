package discovery

import (
	"encoding/json"
	"fmt"
	"sync/atomic"
	"time"
)

// HealthState is a server's state in the list. A server in an unknown state gets no new requests.
type HealthState string

// The states of a server.
const (
	Ready       HealthState = "Ready"
	Terminating HealthState = "Terminating" // draining: gets no new requests
	Removed     HealthState = "Gone"        // no longer listed; only in incremental updates
)

// Endpoint is one server of the list.
type Endpoint struct {
	Host        string      `json:"host"`  // the server's unique name
	Address     string      `json:"dial"`  // address:port
	Zone        string      `json:"site"`  // empty: unknown
	Cell        *int64      `json:"block"` // nil: unknown
	Health      HealthState `json:"health"`
	Capacity    float64     `json:"share"`   // relative to other servers
	MachineKind string      `json:"kind"`    // empty: unknown
	StartedAtMs int64       `json:"born_ms"` // Unix time of the latest start by the server's wall clock, ms; 0: unknown
}

// Update is a full list of servers, or a change to the list.
type Update struct {
	Seq       int64      `json:"seq"`   // sequence number, ascending within one discovery service
	Full      bool       `json:"whole"` // the update replaces the list; false: it adds, changes and removes the endpoints that it names
	Endpoints []Endpoint `json:"hosts"`
}

// parseUpdate parses and validates an update.
func parseUpdate(text []byte) (*Update, error) {
	var u Update
	if err := json.Unmarshal(text, &u); err != nil {
		return nil, fmt.Errorf("endpoint list is not valid JSON of the expected form: %w", err)
	}
	return &u, u.Validate()
}

// Validate checks that each endpoint has a name, an address and a valid start time. The error names the first invalid
// field by its JSON path.
func (u *Update) Validate() error {
	for i, e := range u.Endpoints {
		switch {
		case e.Host == "":
			return fmt.Errorf("hosts[%d].host is empty", i)
		case e.Address == "" && e.Health != Removed:
			return fmt.Errorf("hosts[%d].dial is empty", i)
		case e.StartedAtMs < 0:
			return fmt.Errorf("hosts[%d].born_ms is negative", i)
		}
	}
	return nil
}

// EndpointSet is the endpoint list in force. Any goroutine may read it; only the Client's goroutine changes it.
type EndpointSet struct {
	endpoints  atomic.Pointer[map[string]Endpoint] // by host; a stored map is never modified
	lastSynced atomic.Pointer[time.Time]           // when the list last matched the discovery service's; nil: never
}

// markSynced records that the list matches the discovery service's at time now.
func (s *EndpointSet) markSynced(now time.Time) { s.lastSynced.Store(&now) }

// Staleness returns the time since the list last matched the discovery service's, or 0 if it never did.
func (s *EndpointSet) Staleness() time.Duration {
	if at := s.lastSynced.Load(); at != nil {
		return time.Since(*at)
	}
	return 0
}

// Lookup returns the endpoint of a host, and whether it is listed.
func (s *EndpointSet) Lookup(host string) (Endpoint, bool) {
	endpoints := s.endpoints.Load()
	if endpoints == nil {
		return Endpoint{}, false
	}
	e, ok := (*endpoints)[host]
	return e, ok
}

// Address returns the address of a host, and whether the host accepts new requests.
func (s *EndpointSet) Address(host string) (address string, ready bool) {
	e, ok := s.Lookup(host)
	return e.Address, ok && e.Health == Ready
}

// HasEndpoints reports whether at least one server is listed.
func (s *EndpointSet) HasEndpoints() bool {
	endpoints := s.endpoints.Load()
	return endpoints != nil && len(*endpoints) > 0
}

// Replace replaces the list by the endpoints of u, even if u is not marked as full.
func (s *EndpointSet) Replace(u *Update) {
	full := *u
	full.Full = true
	s.apply(&full)
}

// apply applies an update to the list.
func (s *EndpointSet) apply(u *Update) {
	next := make(map[string]Endpoint, len(u.Endpoints))
	if old := s.endpoints.Load(); old != nil && !u.Full {
		for host, e := range *old {
			next[host] = e
		}
	}
	for _, e := range u.Endpoints {
		if e.Health == Removed {
			delete(next, e.Host)
		} else {
			next[e.Host] = e
		}
	}
	s.endpoints.Store(&next)
}
