package decide

import (
	"fmt"
	"testing"
)

// A request that an endpoint finds invalid fails at once, without a retry and without blame to the endpoint.
func TestInvalidRequestIsNotRetried(t *testing.T) {
	w := newWorkload(t, testSettings(), testEndpoints(2)...)
	before := w.b.retryBudget.tokens
	for i := range 6 {
		r := w.sendRequest(fmt.Sprint("bad", i), 0, 2*second)
		w.endAttempt(w.inFlight[0], InvalidRequest)
		if r.answer != "fail" || len(r.attempts) != 1 {
			t.Fatalf("answered %q after %d attempts", r.answer, len(r.attempts))
		}
	}
	if w.b.retryBudget.tokens != before || w.countActions("log endpoint_ejected") != 0 || w.b.endpoints[0].logWeight != 0 {
		t.Errorf("%v retries of %v left, %d suspensions", w.b.retryBudget.tokens, before, w.countActions("log endpoint_ejected"))
	}
}

func TestStartedStreamIsNotRetried(t *testing.T) {
	w := newWorkload(t, testSettings(), testEndpoints(3)...)
	r := w.sendRequest("a", 5, 2*second)
	w.b.OnStreamStarted(w.now, "a", 0)
	r.attempts[0].expiresAt, r.deadline = w.now+100*second, w.now+100*second
	w.advance(5 * second)
	r.answer = "stream"
	w.endAttempt(r.attempts[0], Reset)
	if len(r.attempts) != 1 || len(w.b.openRequests) != 0 {
		t.Errorf("%d attempts, %d requests open, want one and none", len(r.attempts), len(w.b.openRequests))
	}
}

// An objective of 400 ms extended by 3 times the work hint: 100 ms of work 700 ms, 900 ms of work no more
// than the deadline of 2 s, without a hint the class's own.
func TestWorkHintExtendsLatencyObjective(t *testing.T) {
	set := testSettings()
	set.Classes[0].ObjectivePerWork = 3
	w := newWorkload(t, set, testEndpoints(3)...)
	for work, want := range map[int64]int64{0: 400_000, 100_000: 700_000, 900_000: 2 * second} {
		id := fmt.Sprint("r", work)
		w.submit(Request{ID: id, Tenant: -1, TimeLeft: 2 * second, WorkHint: work})
		if got := w.b.openRequests[id].latencyObjective; got != want {
			t.Errorf("objective with %d us of work: %d, want %d", work, got, want)
		}
	}
}

// An answer that has started takes no capacity: the work of its endpoint is done.
func TestStartedStreamReleasesCapacity(t *testing.T) {
	w := newWorkload(t, testSettings(), testEndpoints(2)...)
	r := w.sendRequest("long", 0, 2*second)
	s := w.b.knownEndpoints[r.attempts[0].endpoint.ID]
	if s.inFlight != 1 || w.b.inFlight != 1 {
		t.Fatal(s.inFlight, w.b.inFlight)
	}
	r.answer = "served"
	w.b.OnStreamStarted(w.now, "long", 0)
	w.b.OnStreamStarted(w.now, "long", 0)
	if s.inFlight != 0 || w.b.inFlight != 0 || s.ejections[0].inFlight != 0 {
		t.Fatalf("held at the server %d, in all %d, on trial %d", s.inFlight, w.b.inFlight, s.ejections[0].inFlight)
	}
	w.endAttempt(r.attempts[0], Succeeded)
	if s.inFlight != 0 || w.b.inFlight != 0 || s.ejections[0].inFlight != 0 || len(w.b.openRequests) != 0 {
		t.Fatalf("after its end: %d, %d, %d, %d open", s.inFlight, w.b.inFlight, s.ejections[0].inFlight, len(w.b.openRequests))
	}
}

// A request whose body is not buffered gets all the time that is left, and no retry once part of the body was
// sent; if none was it is retried.
func TestUnbufferedBodyIsSentOnce(t *testing.T) {
	w := newWorkload(t, testSettings(), testEndpoints(3)...)
	failFirstAttempt := func(id string, bodyConsumed bool) *trackedRequest {
		r := w.submit(Request{ID: id, Tenant: -1, TimeLeft: 2 * second, BodyUnbuffered: true})
		if got := r.attempts[0].expiresAt - w.now; got != 2*second {
			t.Fatalf("%s: %d of %d µs", id, got, 2*second)
		}
		a := r.attempts[0]
		a.ended = true
		w.inFlight = w.inFlight[:0]
		if bodyConsumed {
			r.answer = "" // the module has to answer it
		}
		w.b.OnOutcome(w.now, Outcome{Request: id, Server: a.endpoint.ID, Result: ConnectFailed, BodyConsumed: bodyConsumed})
		return r
	}
	if r := failFirstAttempt("gone", true); len(r.attempts) != 1 || r.answer != "reject" {
		t.Fatalf("%d attempts, %q", len(r.attempts), r.answer)
	}
	if r := failFirstAttempt("kept", false); len(r.attempts) != 2 || r.answer != "" {
		t.Fatalf("%d attempts, %q", len(r.attempts), r.answer)
	}
}

// Latencies are compared by what the work hint makes likely: half of the time is in proportion to the work.
func TestWorkFactorFollowsWorkHint(t *testing.T) {
	c := newClassState(Class{LatencyObjective: second})
	assertNear(t, "without a hint", c.workFactor(0), 1, 0)
	assertNear(t, "the first", c.workFactor(1000), 1, 1e-9)
	for range 500 {
		c.workFactor(1000)
	}
	assertNear(t, "three times the mean", c.workFactor(3000), 2, 0.06)
	assertNear(t, "next to nothing", c.workFactor(1), 0.5, 0.05)
}
