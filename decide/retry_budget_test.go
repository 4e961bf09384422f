package decide

import (
	"testing"
)

// Once retries after errors have never helped, scarce ones are not spent on them, but are after saturated
// endpoints, where others had capacity. A request of high priority gets one where a mean one does not.
// Without a budget, or with plenty left, all retry.
func TestScarceRetriesGoWhereTheyHelp(t *testing.T) {
	w := newWorkload(t, withAttemptBudget(3, 0, 10*second), testEndpoints(5)...)
	b, r := w.b, &request{priority: 1}
	b.meanPriority, b.retryBudget.successRates[Errored], b.retryBudget.successRates[Saturated] = 1, 0.01, 0.9
	failed, full := &attempt{result: Errored}, &attempt{result: Saturated}
	if b.acquireRetry(w.now, r, failed) || !b.acquireRetry(w.now, r, full) {
		t.Error("of three left one was spent after an error, or none after full")
	}
	if r.priority = 100; !b.acquireRetry(w.now, r, failed) {
		t.Error("a request of a hundred times the value was not tried again")
	}
	r.priority = 1
	for _, set := range []Settings{testSettings(), withAttemptBudget(20, 0, 10*second)} {
		if w.updateSettings(set); !b.acquireRetry(w.now, r, failed) {
			t.Errorf("not tried again with %v left", b.attemptBudgetRemaining(w.now))
		}
	}
	assertNear(t, "odds after one more that failed", retrySuccessRateAfter(b, Errored, Errored), 0.01*(1-1/successRateWindow), 1e-9)
	assertNear(t, "odds after one that helped", retrySuccessRateAfter(b, Saturated, Succeeded), 0.9+0.1/successRateWindow, 1e-9)
}

func retrySuccessRateAfter(b *Balancer, cause, result Result) float64 {
	b.recordRetryResult(&request{attempts: []attempt{{result: cause}, {}}}, Outcome{Attempt: 1, Result: result})
	return b.retryBudget.successRates[cause]
}
