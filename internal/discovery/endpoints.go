package discovery

import (
	"encoding/json"
	"fmt"
	"sync/atomic"
	"time"
)

// HealthState is a server's state as the list has it. A state that is not one of these takes no new work.
type HealthState string

// The states of a server.
const (
	Ready       HealthState = "Ready"
	Terminating HealthState = "Terminating" // draining: no new work
	Removed     HealthState = "Gone"        // no longer listed; in incremental updates only
)

// Endpoint is one server of the list.
type Endpoint struct {
	Host        string      `json:"host"`  // the server's unique name
	Address     string      `json:"dial"`  // address:port
	Zone        string      `json:"site"`  // empty: not stated
	Cell        *int64      `json:"block"` // nil: not stated
	Health      HealthState `json:"health"`
	Capacity    float64     `json:"share"`   // relative to other servers
	MachineKind string      `json:"kind"`    // empty: not stated
	StartedAtMs int64       `json:"born_ms"` // Unix time of the latest start by the server's wall clock, ms; 0: not stated
}

// Update is the list of servers, or a change to it.
type Update struct {
	Seq       int64      `json:"seq"`   // number of the list in this service's order
	Full      bool       `json:"whole"` // replaces the list; false: adds, changes and removes the endpoints named
	Endpoints []Endpoint `json:"hosts"`
}

// parseUpdate reads one update. An endpoint without a name or an address is an error.
func parseUpdate(text []byte) (*Update, error) {
	var u Update
	if err := json.Unmarshal(text, &u); err != nil {
		return nil, fmt.Errorf("endpoint list is not the JSON expected: %w", err)
	}
	return &u, u.Validate()
}

// Validate returns an error that names the first invalid endpoint by its JSON key.
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

// EndpointSet is the list in force. Any goroutine may read it; only the Client's goroutine changes it.
type EndpointSet struct {
	endpoints  atomic.Pointer[map[string]Endpoint] // by host; a map is never changed once stored
	lastSynced atomic.Pointer[time.Time]           // when the list was last known to equal discovery's; nil: never
}

// markSynced records that the list equals discovery's at this time.
func (s *EndpointSet) markSynced(now time.Time) { s.lastSynced.Store(&now) }

// Staleness returns the time since the list was last known to equal discovery's; 0 where it never was.
func (s *EndpointSet) Staleness() time.Duration {
	if at := s.lastSynced.Load(); at != nil {
		return time.Since(*at)
	}
	return 0
}

// Lookup returns the endpoint of a host; false: it is not listed.
func (s *EndpointSet) Lookup(host string) (Endpoint, bool) {
	endpoints := s.endpoints.Load()
	if endpoints == nil {
		return Endpoint{}, false
	}
	e, ok := (*endpoints)[host]
	return e, ok
}

// Address returns where to reach a host, and whether it takes new work.
func (s *EndpointSet) Address(host string) (address string, ready bool) {
	e, ok := s.Lookup(host)
	return e.Address, ok && e.Health == Ready
}

// HasEndpoints reports whether any server is listed.
func (s *EndpointSet) HasEndpoints() bool {
	endpoints := s.endpoints.Load()
	return endpoints != nil && len(*endpoints) > 0
}

// Replace sets the list, whether the update is marked as full or not.
func (s *EndpointSet) Replace(u *Update) {
	full := *u
	full.Full = true
	s.apply(&full)
}

// apply takes an update into the list.
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
