package decide

import (
	"testing"
)

// A congestion with many late answers raises the baseline by 1% a second and no faster.
func TestCongestionDoesNotRaiseLatencyBaseline(t *testing.T) {
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

// Where endpoints report no load, answers up to 0.75 of the objective are early: single slow endpoints would
// have requests rejected.
func TestLoadReportsLowerEarlyThreshold(t *testing.T) {
	w := newWorkload(t, testSettings(), testEndpoints(2)...)
	c := w.b.classes[0]
	c.baselineP90 = float64(10 * second)
	late := Outcome{Result: Succeeded, Latency: 280_000} // of an aim of 400 ms
	if !w.b.isEarly(c, late) {
		t.Error("0.7 of the objective is late where nothing is told")
	}
	w.b.recordLoadReport(w.b.knownEndpoints["s0"], newLoadReport(1, -1, -1))
	if w.b.isEarly(c, late) {
		t.Error("0.7 of the objective is early where servers tell of their load")
	}
}
