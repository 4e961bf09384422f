// Package discovery follows the list of servers: the known one first, then discovery's watch.
package discovery

import (
	"encoding/json"
	"fmt"
	"sync/atomic"
	"time"
)

// HealthState is a server's health as listed.
type HealthState string

const (
	Ready       HealthState = "Ready"
	Terminating HealthState = "Terminating"
	Removed     HealthState = "Gone"
)

// Endpoint is one server of the list.
type Endpoint struct {
	Host        string      `json:"host"`
	Address     string      `json:"dial"`
	Zone        string      `json:"site"`
	Cell        *int64      `json:"block"`
	Health      HealthState `json:"health"`
	Capacity    float64     `json:"share"`
	MachineKind string      `json:"kind"` // of machine; absent: not told
	StartedAtMs int64       `json:"born_ms"`
}

// Update is the list of servers, whole or what changed in it.
type Update struct {
	Seq       int64      `json:"seq"`
	Full      bool       `json:"whole"`
	Endpoints []Endpoint `json:"hosts"`
}

// parseUpdate reads one list; entries that name no server or no address are an error.
func parseUpdate(text []byte) (*Update, error) {
	var l Update
	if err := json.Unmarshal(text, &l); err != nil {
		return nil, fmt.Errorf("list is not the JSON expected: %w", err)
	}
	return &l, l.Validate()
}

// Validate names the first entry that makes no sense.
func (l *Update) Validate() error {
	for i, e := range l.Endpoints {
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

// EndpointSet is the latest list, readable from any goroutine; only the list's actor changes it.
// Guards against acting on a list that is older than the moment of writing.
type EndpointSet struct {
	endpoints  atomic.Pointer[map[string]Endpoint]
	lastSynced atomic.Pointer[time.Time] // when the list was last known to be as discovery has it; nil: never
}

// markSynced notes that the list is as discovery has it.
func (r *EndpointSet) markSynced(now time.Time) { r.lastSynced.Store(&now) }

// Staleness is how long ago discovery was last heard; 0: never.
func (r *EndpointSet) Staleness() time.Duration {
	if at := r.lastSynced.Load(); at != nil {
		return time.Since(*at)
	}
	return 0
}

// Lookup returns the entry of a host that is listed.
func (r *EndpointSet) Lookup(host string) (Endpoint, bool) {
	m := r.endpoints.Load()
	if m == nil {
		return Endpoint{}, false
	}
	e, ok := (*m)[host]
	return e, ok
}

// Address returns where to reach a host, and whether it wants new work.
func (r *EndpointSet) Address(host string) (dial string, ready bool) {
	e, ok := r.Lookup(host)
	return e.Address, ok && e.Health == Ready
}

// HasEndpoints tells whether any server is listed yet.
func (r *EndpointSet) HasEndpoints() bool {
	m := r.endpoints.Load()
	return m != nil && len(*m) > 0
}

// Replace sets the whole list.
func (r *EndpointSet) Replace(l *Update) {
	whole := *l
	whole.Full = true
	r.apply(&whole)
}

// apply takes a list in.
func (r *EndpointSet) apply(l *Update) {
	next := make(map[string]Endpoint, len(l.Endpoints))
	if old := r.endpoints.Load(); old != nil && !l.Full {
		for h, e := range *old {
			next[h] = e
		}
	}
	for _, e := range l.Endpoints {
		if e.Health == Removed {
			delete(next, e.Host)
		} else {
			next[e.Host] = e
		}
	}
	r.endpoints.Store(&next)
}
