package decide

import (
	"fmt"
	"testing"
)

// Requests wait in the order of their priority. A request that would wait too long is rejected, the lowest
// priority first.
func TestLowestPriorityIsRejectedFirst(t *testing.T) {
	w := newWorkload(t, testSettings(), testEndpoints(1)...)
	for i := range 4 {
		w.sendRequest(fmt.Sprint("out", i), 0, 2*second)
	}
	var low []*trackedRequest
	for i := range 4 {
		low = append(low, w.sendRequest(fmt.Sprint("low", i), 0, 2*second))
	}
	high := w.sendRequest("high", 1, 2*second)
	if low[0].answer != "reject" || high.answer != "" {
		t.Errorf("answer of the oldest low-priority request: %q, want reject; of the high-priority request: %q, want none", low[0].answer, high.answer)
	}
	w.endAttempt(w.inFlight[0], Succeeded)
	if len(high.attempts) != 1 || len(low[2].attempts) != 0 { // the limit has grown: one more attempt fits
		t.Error("free capacity did not go to the request of the highest priority alone")
	}
	w.advance(300_000)
	for _, r := range low {
		if len(r.attempts) == 0 && r.answer != "reject" {
			t.Errorf("request %s waited past its queue deadline: answer %q, want reject", r.ID, r.answer)
		}
	}
}

// A queued request whose client has disconnected gets no answer when the queue overflows.
func TestDisconnectedClientIsNotAnswered(t *testing.T) {
	w := newWorkload(t, testSettings(), testEndpoints(1)...)
	var low []*trackedRequest
	for i := range 8 {
		low = append(low, w.sendRequest(fmt.Sprint("r", i), 0, 2*second))
	}
	w.disconnectClient(low[7])
	w.sendRequest("high", 1, 2*second) // the workload reports an answer to low[7] as a violation
	w.advance(2 * second)
}

// With equal allowances, a tenant with three quarters of the traffic is over its quota for a third of its
// requests, and the other tenant never is.
func TestTenantAboveItsAllowanceIsOverQuota(t *testing.T) {
	set := testSettings()
	set.Tenants = []Tenant{{Name: "a", Allowance: 50}, {Name: "b", Allowance: 50}}
	w := newWorkload(t, set, testEndpoints(1)...)
	over := [2]int{}
	for i := range 8000 {
		tenant := min(i%4, 1) // b has three of four requests
		if w.b.overQuota(tenant) && i >= 2000 {
			over[tenant]++
		}
	}
	assertNear(t, "share of the requests of b that are over quota", float64(over[1])/4500, 1.0/3, 0.03)
	if over[0] != 0 {
		t.Errorf("%d requests of a are over quota, want 0", over[0])
	}
	if w.b.overQuota(-1) || w.b.overQuota(2) {
		t.Error("a request without a known tenant is over quota")
	}
}

// A rejection names a retry delay if the settings allow it, bounded by the longest delay that clients follow.
func TestRejectionCarriesBoundedRetryAfter(t *testing.T) {
	for _, allowed := range []bool{true, false} {
		set := testSettings()
		set.Limits.RetryAfter, set.Limits.MaxRetryAfter = allowed, 50_000
		w := newWorkload(t, set)
		w.b.classes[0].latencyMedian = 80_000
		got, want := w.b.retryAfter(newPlainRequest(w.b)), int64(0)
		if allowed {
			want = 50_000
		}
		if got != want {
			t.Errorf("with Limits.RetryAfter %v: retry delay %d us, want %d us", allowed, got, want)
		}
	}
}

// If a late answer is worth nothing, a client's retry that arrives past the latency objective is rejected on
// arrival.
func TestClientRetryPastLatencyObjectiveIsRejected(t *testing.T) {
	w := newWorkload(t, testSettings(), testEndpoints(3)...)
	w.sendRequest("first", 0, 1_200_000)
	retry := func(id string, left int64) *trackedRequest {
		return w.submit(Request{ID: id, Tenant: -1, TimeLeft: left, IsRetry: true})
	}
	if r := retry("late", 800_000); r.answer == "" || len(r.attempts) > 0 {
		t.Error("retry that arrived 1.2 s after the first attempt was sent, want a rejection by the objective of 0.4 s")
	}
	if r := retry("soon", 1_200_000); len(r.attempts) != 1 {
		t.Error("retry that can still be answered in time was not sent")
	}
}
