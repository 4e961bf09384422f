package decide

import (
	"fmt"
	"testing"
)

// Requests wait in the order of their priority; those that would wait too long are rejected at once.
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
		t.Errorf("the oldest of the low is %q and the high %q, want reject and waiting", low[0].answer, high.answer)
	}
	w.endAttempt(w.inFlight[0], Succeeded)
	if len(high.attempts) != 1 || len(low[2].attempts) != 0 { // the limit grew a little: one more may go
		t.Error("capacity came, and the one of the highest priority was not the one sent")
	}
	w.advance(300_000)
	for _, r := range low {
		if len(r.attempts) == 0 && r.answer != "reject" {
			t.Errorf("%s waited past its part of the objective and is %q", r.ID, r.answer)
		}
	}
}

// A queued request whose client left gets no answer when the queue overflows.
func TestDisconnectedClientIsNotAnswered(t *testing.T) {
	w := newWorkload(t, testSettings(), testEndpoints(1)...)
	var low []*trackedRequest
	for i := range 8 {
		low = append(low, w.sendRequest(fmt.Sprint("r", i), 0, 2*second))
	}
	w.disconnectClient(low[7])
	w.sendRequest("high", 1, 2*second) // the world objects to an answer for low[7]
	w.advance(2 * second)
}

// With equal allowances a tenant with three quarters of the traffic is over its quota by a third of its
// requests; the other never is.
func TestTenantAboveItsAllowanceIsOverQuota(t *testing.T) {
	set := testSettings()
	set.Tenants = []Tenant{{Name: "a", Allowance: 50}, {Name: "b", Allowance: 50}}
	w := newWorkload(t, set, testEndpoints(1)...)
	over := [2]int{}
	for i := range 8000 {
		tenant := min(i%4, 1) // b three times of four
		if w.b.overQuota(tenant) && i >= 2000 {
			over[tenant]++
		}
	}
	assertNear(t, "requests of b over its share", float64(over[1])/4500, 1.0/3, 0.03)
	if over[0] != 0 {
		t.Errorf("%d requests of a over its share, want none", over[0])
	}
	if w.b.overQuota(-1) || w.b.overQuota(2) {
		t.Error("a request without a known tenant is over no share")
	}
}

// A rejection names a time to come back, where the settings allow it, and never more than the longest that
// clients follow.
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
			t.Errorf("told %v: come back after %d us, want %d", allowed, got, want)
		}
	}
}

// A client's retry that comes past the latency objective is answered at once where a late answer is worth
// nothing.
func TestClientRetryPastLatencyObjectiveIsRejected(t *testing.T) {
	w := newWorkload(t, testSettings(), testEndpoints(3)...)
	w.sendRequest("first", 0, 1_200_000)
	retry := func(id string, left int64) *trackedRequest {
		return w.submit(Request{ID: id, Tenant: -1, TimeLeft: left, IsRetry: true})
	}
	if r := retry("late", 800_000); r.answer == "" || len(r.attempts) > 0 {
		t.Error("a repeat 1.2 s after its start was sent with an objective of 0.4 s")
	}
	if r := retry("soon", 1_200_000); len(r.attempts) != 1 {
		t.Error("a repeat that may be in time was not sent")
	}
}
