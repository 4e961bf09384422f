package decide

import (
	"fmt"
	"testing"
)

// Rule 2, every class with every result of its first attempt. The workload checks each action by its own
// records; here the wanted kind of action is named too.
func TestRetryOnlyWhereRepeatIsSafe(t *testing.T) {
	neverRan := []Result{Saturated, ConnectFailed, NotSent}
	mayHaveRun := []Result{Errored, TimedOut, Reset, Cancelled}
	for class, c := range testSettings().Classes {
		for _, result := range append(neverRan, mayHaveRun...) {
			t.Run(fmt.Sprint(c.Name, "/", result), func(t *testing.T) {
				w := newWorkload(t, testSettings(), testEndpoints(6)...)
				r := w.sendRequest("a", class, 2*second)
				w.advance(10_000)
				w.endAttempt(r.attempts[0], result)
				switch {
				case c.Semantics == AtMostOnce && !result.NeverRan():
					if r.answer != "fail" || len(r.attempts) != 1 {
						t.Errorf("unsafe after %d: %q with %d attempts, want fail after one", result, r.answer, len(r.attempts))
					}
				case len(r.attempts) != 2:
					t.Errorf("%d attempts after %d, want a second one; answer %q", len(r.attempts), result, r.answer)
				}
			})
		}
	}
}

// Rule 2: past its window a request with an idempotency key that may have run is neither sent again nor
// rejected.
func TestNoRetryPastDedupWindow(t *testing.T) {
	for class := 1; class <= 3; class++ {
		w := newWorkload(t, testSettings(), testEndpoints(6)...)
		r := w.sendRequest("a", class, 2*second)
		w.inFlight[0].expiresAt = w.now + 10*second // an outcome that comes late
		w.advance(1_200_000)
		w.endAttempt(r.attempts[0], Errored)
		if r.answer != "fail" || len(r.attempts) != 1 {
			t.Errorf("class %d: %q with %d attempts, want fail with one", class, r.answer, len(r.attempts))
		}
	}
}

// Rule 2: with all of its scope draining, a request with an idempotency key that may have run fails at once.
func TestNoRetryOutsideDedupScope(t *testing.T) {
	w := newWorkload(t, testSettings(), testEndpoints(2)...)
	r := w.sendRequest("a", 2, 2*second)
	mine := r.attempts[0].endpoint
	mine.Phase = Draining
	w.updateEndpoints(false, mine)
	w.endAttempt(r.attempts[0], Errored)
	if r.answer != "fail" {
		t.Errorf("answer %q, want fail", r.answer)
	}
}

// A request that another balancer may have sent is sent only where that has no second effect, and the send
// counts as one beyond its first.
func TestPriorAttemptOfAnotherBalancerIsCounted(t *testing.T) {
	for _, c := range []struct {
		name      string
		class     int
		priorAge  int64
		budgetMin float64 // of the budget of attempts
		sent      bool
		answer    string // where it is not sent
	}{
		{"nobody has", 4, 0, 0, true, ""},
		{"safe", 0, 100_000, 1, true, ""},
		{"safe, no attempt left", 0, 100_000, 0, false, "reject"},
		{"keyed", 1, 100_000, 1, true, ""},
		{"keyed, no attempt left", 1, 100_000, 0, false, "reject"},
		{"keyed, its window over", 1, second, 1, false, "fail"},
		{"keyed in one zone, nobody knows which", 2, 100_000, 1, false, "fail"},
		{"keyed in one cell, nobody knows which", 3, 100_000, 1, false, "fail"},
		{"unsafe", 4, 100_000, 1, false, "fail"},
	} {
		w := newWorkload(t, withAttemptBudget(c.budgetMin, 0, 10*second), testEndpoints(6)...)
		r := w.submit(Request{ID: "x", Class: c.class, Tenant: -1, TimeLeft: 2 * second, Key: "k", PriorAttemptAge: c.priorAge})
		w.advance(2 * second)
		_, retries := w.b.attemptBudget.counts(w.now)
		if sent := len(r.attempts) > 0; sent != c.sent || !sent && r.answer != c.answer || (retries > 0) != (sent && c.priorAge > 0) {
			t.Errorf("%s: sent %t, answered %q, %d further", c.name, sent, r.answer, retries)
		}
	}
}
