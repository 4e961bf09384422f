package decide

import (
	"fmt"
	"testing"
)

// Rule 2 for every class and every result of its first attempt. The workload checks each action against its
// records; this test also checks which action is taken.
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
						t.Errorf("request that may run once, after result %d: answer %q with %d attempts, want fail with 1", result, r.answer, len(r.attempts))
					}
				case len(r.attempts) != 2:
					t.Errorf("%d attempts after result %d, want 2; answer %q", len(r.attempts), result, r.answer)
				}
			})
		}
	}
}

// Rule 2: past its deduplication window a request with an idempotency key that may have run is neither
// retried nor rejected.
func TestNoRetryPastDedupWindow(t *testing.T) {
	for class := 1; class <= 3; class++ {
		w := newWorkload(t, testSettings(), testEndpoints(6)...)
		r := w.sendRequest("a", class, 2*second)
		w.inFlight[0].expiresAt = w.now + 10*second // the outcome comes after the deduplication window
		w.advance(1_200_000)
		w.endAttempt(r.attempts[0], Errored)
		if r.answer != "fail" || len(r.attempts) != 1 {
			t.Errorf("class %d: answer %q with %d attempts, want fail with 1", class, r.answer, len(r.attempts))
		}
	}
}

// Rule 2: if all endpoints of its deduplication scope are draining, a request with an idempotency key that
// may have run fails at once.
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

// A request that another balancer may have sent is sent only if a second run has no effect, and its attempt
// counts against the attempt budget.
func TestPriorAttemptOfAnotherBalancerIsCounted(t *testing.T) {
	for _, c := range []struct {
		name      string
		class     int
		priorAge  int64
		budgetMin float64 // Rules.AttemptBudgetMin
		sent      bool
		answer    string // if it is not sent
	}{
		{"no prior attempt", 4, 0, 0, true, ""},
		{"safe", 0, 100_000, 1, true, ""},
		{"safe, attempt budget empty", 0, 100_000, 0, false, "reject"},
		{"keyed", 1, 100_000, 1, true, ""},
		{"keyed, attempt budget empty", 1, 100_000, 0, false, "reject"},
		{"keyed, past its deduplication window", 1, second, 1, false, "fail"},
		{"keyed by zone, zone of the prior attempt unknown", 2, 100_000, 1, false, "fail"},
		{"keyed by cell, cell of the prior attempt unknown", 3, 100_000, 1, false, "fail"},
		{"unsafe", 4, 100_000, 1, false, "fail"},
	} {
		w := newWorkload(t, withAttemptBudget(c.budgetMin, 0, 10*second), testEndpoints(6)...)
		r := w.submit(Request{ID: "x", Class: c.class, Tenant: -1, TimeLeft: 2 * second, Key: "k", PriorAttemptAge: c.priorAge})
		w.advance(2 * second)
		_, retries := w.b.attemptBudget.counts(w.now)
		if sent := len(r.attempts) > 0; sent != c.sent || !sent && r.answer != c.answer || (retries > 0) != (sent && c.priorAge > 0) {
			t.Errorf("%s: sent %t, answer %q, %d attempts counted against the budget", c.name, sent, r.answer, retries)
		}
	}
}
