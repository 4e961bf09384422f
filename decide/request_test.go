package decide

import (
	"fmt"
	"testing"
)

// A request that an endpoint finds invalid fails without a retry, and the result does not count against the
// endpoint.
func TestInvalidRequestIsNotRetried(t *testing.T) {
	w := newWorkload(t, testSettings(), testEndpoints(2)...)
	before := w.b.retryBudget.tokens
	for i := range 6 {
		r := w.sendRequest(fmt.Sprint("bad", i), 0, 2*second)
		w.endAttempt(w.inFlight[0], InvalidRequest)
		if r.answer != "fail" || len(r.attempts) != 1 {
			t.Fatalf("invalid request: answer %q after %d attempts, want fail after 1", r.answer, len(r.attempts))
		}
	}
	if w.b.retryBudget.tokens != before || w.countActions("log endpoint_ejected") != 0 || w.b.endpoints[0].logWeight != 0 {
		t.Errorf("after invalid requests: %v retry tokens, want %v; %d ejections, want 0; or the weight of the endpoint changed", w.b.retryBudget.tokens, before, w.countActions("log endpoint_ejected"))
	}
}

// A stream that is reset after its start is not retried, since its client has part of the answer.
func TestStartedStreamIsNotRetried(t *testing.T) {
	w := newWorkload(t, testSettings(), testEndpoints(3)...)
	r := w.sendRequest("a", 5, 2*second)
	w.b.OnStreamStarted(w.now, "a", 0)
	r.attempts[0].expiresAt, r.deadline = w.now+100*second, w.now+100*second
	w.advance(5 * second)
	r.answer = "stream"
	w.endAttempt(r.attempts[0], Reset)
	if len(r.attempts) != 1 || len(w.b.openRequests) != 0 {
		t.Errorf("after the reset of a started stream: %d attempts and %d open requests, want 1 and 0", len(r.attempts), len(w.b.openRequests))
	}
}

// The work hint, times 3 here, extends an objective of 400 ms: to 700 ms for 100 ms of work, and for 900 ms
// of work only to the deadline of 2 s. Without a hint the objective of the class applies.
func TestWorkHintExtendsLatencyObjective(t *testing.T) {
	set := testSettings()
	set.Classes[0].ObjectivePerWork = 3
	w := newWorkload(t, set, testEndpoints(3)...)
	for work, want := range map[int64]int64{0: 400_000, 100_000: 700_000, 900_000: 2 * second} {
		id := fmt.Sprint("r", work)
		w.submit(Request{ID: id, Tenant: -1, TimeLeft: 2 * second, WorkHint: work})
		if got := w.b.openRequests[id].latencyObjective; got != want {
			t.Errorf("latency objective with a work hint of %d us: got %d us, want %d us", work, got, want)
		}
	}
}

// A streamed answer that has started no longer counts as in flight, since the work of the endpoint is done.
func TestStartedStreamReleasesCapacity(t *testing.T) {
	w := newWorkload(t, testSettings(), testEndpoints(2)...)
	r := w.sendRequest("long", 0, 2*second)
	s := w.b.knownEndpoints[r.attempts[0].endpoint.ID]
	if s.inFlight != 1 || w.b.inFlight != 1 {
		t.Fatalf("before the stream: %d attempts in flight at the endpoint and %d in total, want 1", s.inFlight, w.b.inFlight)
	}
	r.answer = "served"
	w.b.OnStreamStarted(w.now, "long", 0)
	w.b.OnStreamStarted(w.now, "long", 0)
	if s.inFlight != 0 || w.b.inFlight != 0 || s.ejections[0].inFlight != 0 {
		t.Fatalf("after the start of the stream: %d attempts in flight at the endpoint, %d in total, %d of the class, want 0", s.inFlight, w.b.inFlight, s.ejections[0].inFlight)
	}
	w.endAttempt(r.attempts[0], Succeeded)
	if s.inFlight != 0 || w.b.inFlight != 0 || s.ejections[0].inFlight != 0 || len(w.b.openRequests) != 0 {
		t.Fatalf("after the end of the stream: %d attempts in flight at the endpoint, %d in total, %d of the class, %d open requests, want 0", s.inFlight, w.b.inFlight, s.ejections[0].inFlight, len(w.b.openRequests))
	}
}

// A request whose body is not buffered gets all the time that is left. It has no retry once part of the body
// has been sent, and is retried otherwise.
func TestUnbufferedBodyIsSentOnce(t *testing.T) {
	w := newWorkload(t, testSettings(), testEndpoints(3)...)
	failFirstAttempt := func(id string, bodyConsumed bool) *trackedRequest {
		r := w.submit(Request{ID: id, Tenant: -1, TimeLeft: 2 * second, BodyUnbuffered: true})
		if got := r.attempts[0].expiresAt - w.now; got != 2*second {
			t.Fatalf("request %s: timeout of %d µs, want %d µs", id, got, 2*second)
		}
		a := r.attempts[0]
		a.ended = true
		w.inFlight = w.inFlight[:0]
		if bodyConsumed {
			r.answer = "" // the balancer has to answer it
		}
		w.b.OnOutcome(w.now, Outcome{Request: id, Server: a.endpoint.ID, Result: ConnectFailed, BodyConsumed: bodyConsumed})
		return r
	}
	if r := failFirstAttempt("gone", true); len(r.attempts) != 1 || r.answer != "reject" {
		t.Fatalf("body consumed: %d attempts and answer %q, want 1 and reject", len(r.attempts), r.answer)
	}
	if r := failFirstAttempt("kept", false); len(r.attempts) != 2 || r.answer != "" {
		t.Fatalf("body not consumed: %d attempts and answer %q, want 2 and none", len(r.attempts), r.answer)
	}
}

// Latencies are scaled by the expected work: half of the expected time is proportional to the work hint.
func TestWorkFactorFollowsWorkHint(t *testing.T) {
	c := newClassState(Class{LatencyObjective: second})
	assertNear(t, "work factor without a hint", c.workFactor(0), 1, 0)
	assertNear(t, "work factor of the first hint", c.workFactor(1000), 1, 1e-9)
	for range 500 {
		c.workFactor(1000)
	}
	assertNear(t, "work factor at three times the mean work", c.workFactor(3000), 2, 0.06)
	assertNear(t, "work factor of almost no work", c.workFactor(1), 0.5, 0.05)
}
