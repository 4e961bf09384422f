package decide

import (
	"testing"
)

// Many late answers do not raise the latency baseline; it only rises by 1% per second.
func TestCongestionDoesNotRaiseLatencyBaseline(t *testing.T) {
	c := &classState{Class: Class{LatencyObjective: 400_000}, latencyP95: 100_000, latencyMedian: 50_000, latencyP90: 100_000, baselineP90: 100_000}
	for range 5000 {
		c.observeLatency(300_000)
	}
	assertNear(t, "baseline of the p90 latency after 5000 late answers", c.baselineP90, 100_000, 0)
	w := newWorkload(t, testSettings(), testEndpoints(1)...)
	before := w.b.classes[0].baselineP90
	w.b.onSecond(w.now)
	assertNear(t, "growth of the baseline of the p90 latency in a second", w.b.classes[0].baselineP90/before, 1.01, 1e-9)
}

// If endpoints report no load, answers up to 0.75 of the latency objective are early: a lower threshold would
// let single slow endpoints cause rejections.
func TestLoadReportsLowerEarlyThreshold(t *testing.T) {
	w := newWorkload(t, testSettings(), testEndpoints(2)...)
	c := w.b.classes[0]
	c.baselineP90 = float64(10 * second)
	late := Outcome{Result: Succeeded, Latency: 280_000} // 0.7 of the latency objective of 400 ms
	if !w.b.isEarly(c, late) {
		t.Error("answer after 0.7 of the latency objective is late without load reports, want early")
	}
	w.b.recordLoadReport(w.b.knownEndpoints["s0"], newLoadReport(1, -1, -1))
	if w.b.isEarly(c, late) {
		t.Error("answer after 0.7 of the latency objective is early with load reports, want late")
	}
}
