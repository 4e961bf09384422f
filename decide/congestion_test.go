package decide

import (
	"testing"
)

// The failure: a busy balancer's jam doubled its idea of uncrowded within seconds, by its many answers, and
// then took the jam for normal. Only time forgets it now, 1% a second.
func TestCongestionDoesNotRaiseBaseline(t *testing.T) {
	c := &classState{Class: Class{LatencyObjective: 400_000}, latencyP95: 100_000, latencyMedian: 50_000, latencyP90: 100_000, baselineP90: 100_000}
	for range 5000 {
		c.observeLatency(300_000)
	}
	assertNear(t, "uncrowded mark after 5000 late answers", c.baselineP90, 100_000, 0)
	w := newWorkload(t, testSettings(), testEndpoints(1)...)
	before := w.b.classes[0].baselineP90
	w.b.onSecond(w.now)
	assertNear(t, "uncrowded mark after a second", w.b.classes[0].baselineP90/before, 1.01, 1e-9)
}

// The failure: where servers tell nothing of their load, answers past 0.6 of the aim came from single slow servers, and a
// third was refused for them (rough-1 of tas-sessions-later 0.85 to 0.71).
func TestEarlyShareWithoutLoadReports(t *testing.T) {
	w := newWorkload(t, testSettings(), testEndpoints(2)...)
	c := w.b.classes[0]
	c.baselineP90 = float64(10 * second)
	late := Outcome{Result: Succeeded, Latency: 280_000} // of an aim of 400 ms
	if !w.b.isEarly(c, late) {
		t.Error("0.7 of the aim is late where nothing is told")
	}
	w.b.recordLoadReport(w.b.knownEndpoints["s0"], loadReport(1, -1, -1))
	if w.b.isEarly(c, late) {
		t.Error("0.7 of the aim is early where servers tell of their load")
	}
}
