package decide

import (
	"testing"
)

// An attempt gets all the time that is left if a retry could not be answered within the latency objective.
func TestAttemptGetsRemainingTimeWhenRetryWouldBeLate(t *testing.T) {
	w := newWorkload(t, testSettings(), testEndpoints(2)...)
	c := w.b.classes[0]
	r := newPlainRequest(w.b)
	r.latencyObjective, r.arrivedAt, r.deadline = c.LatencyObjective, w.now, w.now+2*second
	c.latencyP95, c.latencyMedian = 100_000, 50_000
	if got := w.b.attemptTimeout(w.now, r); got != 200_000 {
		t.Errorf("timeout with time for a retry: got %d us, want 200000 us", got)
	}
	c.latencyP95 = 300_000
	if got := w.b.attemptTimeout(w.now, r); got != 2*second {
		t.Errorf("timeout without time for a retry: got %d us, want the 2 s that are left", got)
	}
}
