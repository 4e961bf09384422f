package decide

import (
	"fmt"
	"math"
	"testing"
)

// Rule 3: endpoints that are draining, removed or missing from a complete list get no attempts.
func TestUnavailableEndpointsGetNoAttempts(t *testing.T) {
	for name, update := range map[string]func(*workload, []Endpoint){
		"draining": func(w *workload, l []Endpoint) { l[0].Phase = Draining; w.updateEndpoints(false, l[0]) },
		"removed":  func(w *workload, l []Endpoint) { l[0].Phase = Removed; w.updateEndpoints(false, l[0]) },
		"unlisted": func(w *workload, l []Endpoint) { w.updateEndpoints(true, l[1]) },
	} {
		w := newWorkload(t, testSettings(), testEndpoints(2)...)
		update(w, testEndpoints(2))
		for i := range 50 {
			r := w.sendRequest(fmt.Sprint("r", i), 0, second)
			w.endAttempt(r.attempts[0], Succeeded)
			if r.attempts[0].endpoint.ID != "s1" {
				t.Errorf("%s endpoint s0: attempt sent to %s, want s1", name, r.attempts[0].endpoint.ID)
			}
		}
	}
}

func TestRequestIsRejectedWithoutEndpoints(t *testing.T) {
	w := newWorkload(t, testSettings())
	if r := w.sendRequest("a", 0, second); r.answer != "reject" {
		t.Errorf("answer %q without endpoints, want reject", r.answer)
	}
}

// The state of endpoints that were removed long ago is dropped.
func TestRemovedEndpointsAreForgotten(t *testing.T) {
	w := newWorkload(t, testSettings(), testEndpoints(3)...)
	for i := range 50 {
		w.b.OnEndpoints(w.now, []Endpoint{{ID: fmt.Sprint("new", i), Capacity: 1}}, true)
		w.b.OnTimer(w.now, timerSecond)
		w.now += 2 * second
	}
	if n := len(w.b.knownEndpoints); n > int(removedRetention/(2*second))+2 {
		t.Errorf("%d endpoints remembered of 53 with 1 listed, want only those removed within removedRetention", n)
	}
}

// A list that grows from one endpoint to a thousand, repeats entries, shrinks to none and grows again is used
// at each length.
func TestEndpointListOfAnyLengthIsUsed(t *testing.T) {
	set := testSettings()
	set.BalancerCount = 500
	w := newWorkload(t, set, testEndpoints(1)...)
	outcome := func(a *trackedAttempt) (Result, bool) { return Succeeded, w.now-a.sentAt >= 20_000 }
	for _, n := range []int{1, 2, 10, 100, 1000, 1, 0, 300} {
		list := testEndpoints(n)
		w.updateEndpoints(true, append(list, list...)...)
		if len(w.b.endpoints) != n || len(w.b.subset) > max(n, 3*minSubset) || n > 0 && len(w.b.subset) == 0 {
			t.Fatalf("%d endpoints listed: %d kept and %d in the subset", n, len(w.b.endpoints), len(w.b.subset))
		}
		before := w.countActions("send")
		w.sendTraffic(50, outcome)
		if got := w.countActions("send") - before; n > 0 && got < 20 { // with 500 balancers limits start below one attempt and grow
			t.Errorf("%d endpoints listed: %d attempts for 50 requests, want at least 20", n, got)
		}
	}
}

// If the configured balancer count is missing or wrong by a factor of ten, rule 4 still holds for all
// balancers together, and requests are served.
func TestWrongBalancerCountKeepsSlowStartBound(t *testing.T) {
	for _, configured := range []int{0, 5, 500} {
		set := testSettings()
		const servers, perSecond = 20, 800
		c := newCluster(50, set, 0.3, testEndpoints(servers))
		for _, b := range c.balancers {
			b.settings.BalancerCount = configured
			b.OnEndpoints(c.now, testEndpoints(servers), true)
		}
		c.run(5, perSecond)
		if c.attemptsSent < 3*perSecond {
			t.Errorf("balancer count set to %d: %d attempts for %d requests, want attempts for at least 3 of 5 s of traffic", configured, c.attemptsSent, c.requestsSent)
		}
		sends := len(c.sendsToStartingEndpoint(2, perSecond))
		if maxSends := set.Rules.OverloadFactor * set.Rules.SlowStartMinShare * perSecond / servers * 2; float64(sends) > maxSends {
			t.Errorf("balancer count set to %d: %d attempts to an endpoint in the first window of its slow start, want at most %.0f", configured, sends, maxSends)
		}
	}
}

// An infinite or excessive listed capacity counts as one. Otherwise the other endpoints would get nothing.
func TestExcessiveListedCapacityCountsAsOne(t *testing.T) {
	set := testSettings()
	set.CapacityListed = true
	list := testEndpoints(3)
	list[0].Capacity, list[1].Capacity = math.Inf(1), 1e300
	w := newWorkload(t, set, list...)
	for _, s := range w.b.endpoints {
		assertNear(t, "capacity of "+s.ID, s.Capacity, 1, 1e-9)
	}
}
