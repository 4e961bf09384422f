package decide

import (
	"testing"
)

// An attempt whose retry would be late gets all the time that is left.
func TestAttemptGetsRemainingTimeWhenRetryWouldBeLate(t *testing.T) {
	w := newWorkload(t, testSettings(), testEndpoints(2)...)
	c := w.b.classes[0]
	r := newPlainRequest(w.b)
	r.latencyObjective, r.arrivedAt, r.deadline = c.LatencyObjective, w.now, w.now+2*second
	c.latencyP95, c.latencyMedian = 100_000, 50_000
	if got := w.b.attemptTimeout(w.now, r); got != 200_000 {
		t.Errorf("time-out %d, want 200000: a retry still fits", got)
	}
	c.latencyP95 = 300_000
	if got := w.b.attemptTimeout(w.now, r); got != 2*second {
		t.Errorf("time-out %d, want all that is left", got)
	}
}
