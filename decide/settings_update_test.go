package decide

import (
	"fmt"
	"reflect"
	"testing"
)

// settingsWithClasses returns test settings with other classes.
func settingsWithClasses(classes ...Class) Settings {
	set := testSettings()
	set.Classes = classes
	return set
}

func (w *workload) updateSettings(set Settings) {
	w.set = set
	w.b.UpdateSettings(w.now, set)
}

// An update keeps what was learned of endpoints and of remaining classes, whatever the new index of the
// class. A new class starts with initial estimates.
func TestUpdateSettingsKeepsEstimates(t *testing.T) {
	set := testSettings()
	w := newWorkload(t, set, testEndpoints(4)...)
	w.sendTraffic(200, func(a *trackedAttempt) (Result, bool) { return Succeeded, w.now-a.sentAt >= 20_000 })
	weights, limits := map[string]float64{}, map[string]float64{}
	for id, s := range w.b.knownEndpoints {
		weights[id], limits[id] = s.logWeight, s.concurrencyLimit
	}
	first := *w.b.classes[0]
	fresh := Class{Name: "fresh", PriorityWeight: 1, LatencyObjective: 100_000, Deadline: second}
	slower := set.Classes[0]
	slower.Deadline *= 2
	w.updateSettings(settingsWithClasses(fresh, slower))
	for id, s := range w.b.knownEndpoints {
		if s.logWeight != weights[id] || s.concurrencyLimit != limits[id] || len(s.ejections) != 2 {
			t.Errorf("endpoint %s: log-weight %v, want %v; limit %v, want %v; %d classes, want 2", id, s.logWeight, weights[id], s.concurrencyLimit, limits[id], len(s.ejections))
		}
	}
	if c := w.b.classes[1]; c.latencyP95 != first.latencyP95 || c.latencyMedian != first.latencyMedian || c.Deadline != slower.Deadline {
		t.Errorf("remaining class: got %+v, want the estimates of %+v and the new deadline", *c, first)
	}
	if c := w.b.classes[0]; c.Name != "fresh" || c.latencyP95 != 50_000 {
		t.Errorf("new class: got %+v, want the name fresh and initial estimates", *c)
	}
}

// Open requests keep the semantics and the number of attempts that they arrived with; new requests get the
// new ones. Here an idempotent class becomes one whose requests may run once, with fewer attempts.
func TestOpenRequestsKeepTheirRules(t *testing.T) {
	set := testSettings()
	set.Limits.MaxAttempts = 3
	w := newWorkload(t, set, testEndpoints(4)...)
	name := set.Classes[0].Name
	old := w.sendRequest("old", 0, 2*second)
	next := settingsWithClasses(Class{Name: name, PriorityWeight: 1, LatencyObjective: second, Deadline: 2 * second, Semantics: AtMostOnce})
	next.Limits.MaxAttempts = 1
	w.b.UpdateSettings(w.now, next) // w.set keeps the old settings, which apply to the open request
	for len(old.attempts) < 3 {
		n := len(old.attempts)
		w.endAttempt(old.attempts[n-1], Errored)
		if len(old.attempts) == n {
			t.Fatalf("the open request got %d attempts, want 3", n)
		}
	}
	w.endAttempt(old.attempts[2], Errored)
	if old.answer != "reject" {
		t.Fatalf("answer to the open idempotent request: %q, want reject", old.answer)
	}
	w.set = next
	fresh := w.sendRequest("new", 0, 2*second)
	w.endAttempt(fresh.attempts[0], Errored)
	if len(fresh.attempts) != 1 || fresh.answer != "fail" {
		t.Fatalf("request after the update: %d attempts and answer %q, want 1 and fail", len(fresh.attempts), fresh.answer)
	}
}

// A removed class is dropped when its last request ends, and not before. Until then its results count for
// this class alone.
func TestRemovedClassIsDroppedAfterItsLastRequest(t *testing.T) {
	set := testSettings()
	a, z := Class{Name: "a", PriorityWeight: 1, LatencyObjective: second, Deadline: 2 * second}, Class{Name: "z", PriorityWeight: 1, LatencyObjective: second, Deadline: 2 * second}
	set.Classes = []Class{a, z}
	w := newWorkload(t, set, testEndpoints(4)...)
	open := w.sendRequest("open", 0, 2*second)
	w.updateSettings(settingsWithClasses(z))
	w.advance(second)
	if len(w.b.classes) != 2 || w.b.openRequests["open"].Class != 1 {
		t.Fatalf("%d classes while a request of the removed class is open, want 2; index of its class %d, want 1", len(w.b.classes), w.b.openRequests["open"].Class)
	}
	w.endAttempt(open.attempts[0], Succeeded)
	w.advance(second)
	if len(w.b.classes) != 1 {
		t.Fatalf("%d classes after the last request of the removed class, want 1", len(w.b.classes))
	}
	for id, s := range w.b.knownEndpoints {
		if len(s.ejections) != 1 || s.ejections[0].inFlight != 0 {
			t.Errorf("endpoint %s: ejection states %+v, want one without attempts in flight", id, s.ejections)
		}
	}
	w.sendTraffic(50, func(_ *trackedAttempt) (Result, bool) { return Succeeded, true })
}

// An endpoint that is ejected from every class is ejected from a new class too.
func TestEjectedEndpointIsEjectedFromNewClass(t *testing.T) {
	w := newWorkload(t, testSettings(), testEndpoints(4)...)
	w.sendTraffic(200, func(a *trackedAttempt) (Result, bool) {
		if a.endpoint.ID == "s0" {
			return ConnectFailed, true
		}
		return Succeeded, true
	})
	if !w.b.knownEndpoints["s0"].ejectedForAll {
		t.Fatal("the dead endpoint was not ejected")
	}
	set := testSettings()
	w.updateSettings(settingsWithClasses(append(set.Classes, Class{Name: "fresh", PriorityWeight: 1, LatencyObjective: second, Deadline: 2 * second})...))
	s := w.b.knownEndpoints["s0"]
	if h := s.ejections[len(s.ejections)-1]; !h.ejected || !s.ejectedForAll {
		t.Fatalf("ejection state of the new class: %+v, want ejected", h)
	}
}

// An update carries the request counts of tenants over by name.
func TestTenantCountsAreMatchedByName(t *testing.T) {
	set := testSettings()
	set.Tenants = []Tenant{{"a", 1}, {"b", 1}}
	w := newWorkload(t, set, testEndpoints(2)...)
	w.b.tenantRequests[1] = 7
	set.Tenants = []Tenant{{"c", 1}, {"b", 1}, {"a", 1}}
	w.updateSettings(set)
	if want := []float64{0, 7, 0}; !reflect.DeepEqual(w.b.tenantRequests, want) {
		t.Fatalf("request counts by tenant: got %v, want %v", w.b.tenantRequests, want)
	}
}

// An update to the same settings changes no decision, and fifty updates leave no additional classes behind.
func TestUpdateToSameSettingsChangesNothing(t *testing.T) {
	runTraffic := func(update bool) []string {
		w := newWorkload(t, testSettings(), testEndpoints(5)...)
		for i := range 50 {
			w.sendTraffic(4, func(a *trackedAttempt) (Result, bool) { return Succeeded, w.now-a.sentAt >= 15_000 })
			if update {
				w.updateSettings(testSettings())
				if n := len(w.b.classes); n != len(testSettings().Classes) {
					t.Fatalf("after update %d: %d classes", i, n)
				}
			}
		}
		return w.actions
	}
	a, b := runTraffic(false), runTraffic(true)
	if fmt.Sprint(a) != fmt.Sprint(b) {
		t.Fatal("actions with updates to the same settings differ from those without")
	}
}
