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

// member is a member of that name and incarnation.
func member(name string, n uint64) takeover.Member {
	return takeover.Member{Name: name, Incarnation: n}
}

// A lease is valid only while its last grant is, and never after its end.
func TestLeaseIsValidOnlyWhileGranted(t *testing.T) {
	l := &Lease{excluded: new(atomic.Bool), start: time.Now().Add(-time.Hour), done: make(chan struct{})}
	now := int64(time.Hour)
	if l.Valid() {
		t.Error("valid before it was granted")
	}
	l.extend(now, time.Hour)
	l.extend(now-int64(time.Minute), time.Hour) // an older grant that came late
	if !l.Valid() || l.validUntil.Load() != now+int64(time.Hour) {
		t.Error("not valid, or shortened")
	}
	l.end()
	l.end()
	l.extend(now, 2*time.Hour)
	select {
	case <-l.Done():
	default:
		t.Error("not done")
	}
	if l.Valid() {
		t.Error("valid after its end")
	}
}

// The response of an execution waits while its owner's lease is not valid for the moment, and no longer than that may last.
func TestResponseWaitsForAValidLease(t *testing.T) {
	c := &coordinator{fleet: &Fleet{options: &options.Options{Fleet: options.Fleet{LeaseDuration: time.Hour}}}}
	late := &Lease{excluded: new(atomic.Bool), start: time.Now(), done: make(chan struct{})}
	time.AfterFunc(20*time.Millisecond, func() { late.extend(0, time.Hour) })
	if c.awaitLease(late); !late.Valid() {
		t.Error("it did not wait")
	}
	ended := &Lease{excluded: new(atomic.Bool), start: time.Now(), done: make(chan struct{})}
	time.AfterFunc(20*time.Millisecond, ended.end)
	c.awaitLease(ended)
	c.fleet.options.Fleet.LeaseDuration = time.Millisecond
	c.awaitLease(&Lease{excluded: new(atomic.Bool), start: time.Now(), done: make(chan struct{})})
}

// A version's settings are requested from a voter first and at every second request, never from the member itself; all other
// members are asked as well.
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
				t.Fatalf("%s asks %q", self, name)
			}
			if requests%2 == 0 && !slices.Contains(voters, name) {
				t.Fatalf("%s: request %d goes to %s", self, requests, name)
			}
			requestsTo[name]++
		}
		for _, name := range names {
			if want := name != self; (requestsTo[name] > 0) != want {
				t.Errorf("%s asks %s %d times", self, name, requestsTo[name])
			}
		}
	}
	if name, ok := settingsSource([]string{"a"}, []string{"a", "b"}, "a", 0, rand.IntN); !ok || name != "b" {
		t.Errorf("the only voter asks %q", name)
	}
	if name, ok := settingsSource([]string{"a"}, []string{"a"}, "a", 0, rand.IntN); ok {
		t.Errorf("a single member asks %q", name)
	}
}
