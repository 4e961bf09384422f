package decide

import (
	"fmt"
	"math"
	"testing"
)

// Live capacities count with their peak, at the median of a kind of machine; absurd ones change nothing.
func TestCapacityFromLivePeaks(t *testing.T) {
	set := testSettings()
	set.CapacityListed, set.CapacityFollowsLoad = true, true
	list := []Endpoint{{ID: "a", MachineKind: "big", Capacity: 3}, {ID: "b", MachineKind: "big", Capacity: 1.1}, {ID: "c", MachineKind: "big", Capacity: 3},
		{ID: "d", MachineKind: "small", Capacity: 1}}
	w := newWorkload(t, set, list...)
	for _, wild := range []float64{0, -1, math.NaN(), math.Inf(1), 1e300, 0.4, 1e8} {
		list[0].Capacity, list[3].Capacity = 0.5, min(wild, 1) // loads swing
		list[1].Capacity = wild
		w.sendEndpoints(false, list...)
		assertNear(t, fmt.Sprint("big against small after ", wild), w.b.knownEndpoints["a"].Capacity/w.b.knownEndpoints["d"].Capacity, 3, 1e-9)
	}
}

// Endpoints listed alike differ in capacity by the latency that they report: 100, 100 and 400 ms have a mean
// of 200, so capacities are as 2, 2 and 0.5. One that reports none counts as its kind. Absurd reports change
// nothing.
func TestCapacityFollowsReportedLatency(t *testing.T) {
	list := testEndpoints(4)
	list[2].MachineKind, list[3].MachineKind = "old", "old"
	w := newWorkload(t, testSettings(), list...)
	for id, pace := range map[string]float64{"s0": 100, "s1": 100, "s2": 400} {
		w.b.recordLoadReport(w.b.knownEndpoints[id], loadReport(-1, -1, pace))
	}
	for _, wild := range []float64{math.NaN(), math.Inf(1), -5, 0, 1e12} {
		w.b.recordLoadReport(w.b.knownEndpoints["s0"], loadReport(wild, wild, wild))
	}
	w.b.recordLoadReport(w.b.knownEndpoints["s0"], nil)
	w.b.scaleBySpeed()
	for id, want := range map[string]float64{"s0": 1.6, "s1": 1.6, "s2": 0.4, "s3": 0.4} {
		assertNear(t, "size of "+id, w.b.knownEndpoints[id].Capacity, want, 1e-9)
	}
	w.sendEndpoints(true, list...)
	assertNear(t, "size after the list again", w.b.knownEndpoints["s2"].Capacity, 0.4, 1e-9)
}
