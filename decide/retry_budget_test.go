package decide

import (
	"testing"
)

// If retries after errors have never succeeded, scarce retries are not spent on them, but on saturated
// endpoints, since other endpoints had capacity. A request of high priority gets a retry that one of mean
// priority does not get. Without an attempt budget, or with plenty of it left, all requests may retry.
func TestScarceRetriesAreSpentByExpectedValue(t *testing.T) {
	w := newWorkload(t, withAttemptBudget(3, 0, 10*second), testEndpoints(5)...)
	b, r := w.b, &request{priority: 1}
	b.meanPriority, b.retryBudget.successRates[Errored], b.retryBudget.successRates[Saturated] = 1, 0.01, 0.9
	errored, saturated := &attempt{result: Errored}, &attempt{result: Saturated}
	if b.acquireRetry(w.now, r, errored) || !b.acquireRetry(w.now, r, saturated) {
		t.Error("with three retries left: one was spent after an error, or none after a saturated endpoint")
	}
	if r.priority = 100; !b.acquireRetry(w.now, r, errored) {
		t.Error("a request of a hundred times the priority got no retry")
	}
	r.priority = 1
	for _, set := range []Settings{testSettings(), withAttemptBudget(20, 0, 10*second)} {
		if w.updateSettings(set); !b.acquireRetry(w.now, r, errored) {
			t.Errorf("no retry with %v retries left in the attempt budget", b.attemptBudgetRemaining(w.now))
		}
	}
	assertNear(t, "success rate after a failed retry", recordRetryOutcome(b, Errored, Errored), 0.01*(1-1/successRateWindow), 1e-9)
	assertNear(t, "success rate after a successful retry", recordRetryOutcome(b, Saturated, Succeeded), 0.9+0.1/successRateWindow, 1e-9)
}

// recordRetryOutcome records a retry after cause that ended with result, and returns the success rate.
func recordRetryOutcome(b *Balancer, cause, result Result) float64 {
	b.recordRetryResult(&request{attempts: []attempt{{result: cause}, {}}}, Outcome{Attempt: 1, Result: result})
	return b.retryBudget.successRates[cause]
}
