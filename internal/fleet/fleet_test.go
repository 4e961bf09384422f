package fleet

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"damsonscale/internal/fleet/membership"
	"damsonscale/internal/options"
	"damsonscale/internal/takeover"
)

// member returns a member with a name and an incarnation.
func member(name string, n uint64) takeover.Member {
	return takeover.Member{Name: name, Incarnation: n}
}

// A lease is valid only until its latest grant expires, and never after its end. A late grant of an older request does not shorten
// the lease.
func TestLeaseIsValidOnlyWhileGranted(t *testing.T) {
	l := &Lease{excluded: new(atomic.Bool), start: time.Now().Add(-time.Hour), done: make(chan struct{})}
	now := int64(time.Hour)
	if l.Valid() {
		t.Error("lease is valid before the first grant")
	}
	l.extend(now, time.Hour)
	l.extend(now-int64(time.Minute), time.Hour) // a late grant of an older request
	if !l.Valid() || l.validUntil.Load() != now+int64(time.Hour) {
		t.Error("lease is invalid after a grant, or a late grant of an older request has shortened it")
	}
	l.end()
	l.end()
	l.extend(now, 2*time.Hour)
	select {
	case <-l.Done():
	default:
		t.Error("Done is not closed after the end of the lease")
	}
	if l.Valid() {
		t.Error("lease is valid after its end")
	}
}

// The response of an execution waits while its owner's lease is briefly invalid, until the lease ends or two lease durations have
// passed.
func TestResponseWaitsForAValidLease(t *testing.T) {
	c := &coordinator{fleet: &Fleet{options: &options.Options{Fleet: options.Fleet{LeaseDuration: time.Hour}}}}
	late := &Lease{excluded: new(atomic.Bool), start: time.Now(), done: make(chan struct{})}
	time.AfterFunc(20*time.Millisecond, func() { late.extend(0, time.Hour) })
	if c.awaitLease(late); !late.Valid() {
		t.Error("awaitLease returned before the lease was valid")
	}
	ended := &Lease{excluded: new(atomic.Bool), start: time.Now(), done: make(chan struct{})}
	time.AfterFunc(20*time.Millisecond, ended.end)
	c.awaitLease(ended)
	c.fleet.options.Fleet.LeaseDuration = time.Millisecond
	c.awaitLease(&Lease{excluded: new(atomic.Bool), start: time.Now(), done: make(chan struct{})})
}

// The first and every second request for a version's settings goes to a voter, the others to any member, and none to the
// requesting member itself. Each other member is selected at some point.
func TestSettingsRequestsAlternateBetweenVotersAndAllMembers(t *testing.T) {
	var names []string
	for i := range 100 {
		names = append(names, fmt.Sprintf("n%03d", i))
	}
	voters := membership.Voters(names)
	for _, self := range []string{"n000", "n004", "n099"} {
		requestsTo := map[string]int{}
		for requests := range 20_000 {
			name, ok := settingsSource(voters, names, self, requests, rand.IntN)
			if !ok || name == self {
				t.Fatalf("%s: request goes to %q, want another member", self, name)
			}
			if requests%2 == 0 && !slices.Contains(voters, name) {
				t.Fatalf("%s: request %d goes to %s, want a voter", self, requests, name)
			}
			requestsTo[name]++
		}
		for _, name := range names {
			if want := name != self; (requestsTo[name] > 0) != want {
				t.Errorf("%s: %s got %d requests, want some for each other member and none for itself", self, name, requestsTo[name])
			}
		}
	}
	if name, ok := settingsSource([]string{"a"}, []string{"a", "b"}, "a", 0, rand.IntN); !ok || name != "b" {
		t.Errorf("request of the only voter goes to %q, want b", name)
	}
	if name, ok := settingsSource([]string{"a"}, []string{"a"}, "a", 0, rand.IntN); ok {
		t.Errorf("request of the only member goes to %q, want no destination", name)
	}
}
