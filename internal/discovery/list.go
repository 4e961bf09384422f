// Package discovery follows the list of servers: the known one first, then discovery's watch.
package discovery

import (
	"encoding/json"
	"fmt"
	"sync/atomic"
	"time"
)

// State is a server's health as listed.
type State string

const (
	Ready       State = "Ready"
	Terminating State = "Terminating"
	Gone        State = "Gone"
)

// Entry is one server of the list.
type Entry struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Zone   string  `json:"site"`
	Cell   *int64  `json:"block"`
	Health State   `json:"health"`
	Share  float64 `json:"share"`
	Kind   string  `json:"kind"` // of machine; absent: not told
	BornMs int64   `json:"born_ms"`
}

// List is the list of servers, whole or what changed in it.
type List struct {
	Seq   int64   `json:"seq"`
	Whole bool    `json:"whole"`
	Hosts []Entry `json:"hosts"`
}

// parseList reads one list; entries that name no server or no address are an error.
func parseList(text []byte) (*List, error) {
	var l List
	if err := json.Unmarshal(text, &l); err != nil {
		return nil, fmt.Errorf("list is not the JSON expected: %w", err)
	}
	return &l, l.Check()
}

// Check names the first entry that makes no sense.
func (l *List) Check() error {
	for i, e := range l.Hosts {
		switch {
		case e.Host == "":
			return fmt.Errorf("hosts[%d].host is empty", i)
		case e.Dial == "" && e.Health != Gone:
			return fmt.Errorf("hosts[%d].dial is empty", i)
		case e.BornMs < 0:
			return fmt.Errorf("hosts[%d].born_ms is negative", i)
		}
	}
	return nil
}

// Roster is the latest list, readable from any goroutine; only the list's actor changes it.
// Guards against acting on a list that is older than the moment of writing.
type Roster struct {
	now   atomic.Pointer[map[string]Entry]
	fresh atomic.Pointer[time.Time] // when the list was last known to be as discovery has it; nil: never
}

// heard notes that the list is as discovery has it.
func (r *Roster) heard(now time.Time) { r.fresh.Store(&now) }

// Age is how long ago discovery was last heard; 0: never.
func (r *Roster) Age() time.Duration {
	if at := r.fresh.Load(); at != nil {
		return time.Since(*at)
	}
	return 0
}

// Find returns the entry of a host that is listed.
func (r *Roster) Find(host string) (Entry, bool) {
	m := r.now.Load()
	if m == nil {
		return Entry{}, false
	}
	e, ok := (*m)[host]
	return e, ok
}

// Address returns where to reach a host, and whether it wants new work.
func (r *Roster) Address(host string) (dial string, ready bool) {
	e, ok := r.Find(host)
	return e.Dial, ok && e.Health == Ready
}

// Known tells whether any server is listed yet.
func (r *Roster) Known() bool {
	m := r.now.Load()
	return m != nil && len(*m) > 0
}

// Replace sets the whole list.
func (r *Roster) Replace(l *List) {
	whole := *l
	whole.Whole = true
	r.apply(&whole)
}

// apply takes a list in.
func (r *Roster) apply(l *List) {
	next := make(map[string]Entry, len(l.Hosts))
	if old := r.now.Load(); old != nil && !l.Whole {
		for h, e := range *old {
			next[h] = e
		}
	}
	for _, e := range l.Hosts {
		if e.Health == Gone {
			delete(next, e.Host)
		} else {
			next[e.Host] = e
		}
	}
	r.now.Store(&next)
}
