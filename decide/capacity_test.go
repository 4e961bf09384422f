package decide

import (
	"fmt"
	"math"
	"testing"
)

// If listed capacities follow the load, an endpoint's capacity is the median, over its machine kind, of the
// highest capacities listed. Extreme listed capacities change nothing.
func TestLiveCapacityIsMedianPeakOfMachineKind(t *testing.T) {
	set := testSettings()
	set.CapacityListed, set.CapacityFollowsLoad = true, true
	list := []Endpoint{{ID: "a", MachineKind: "big", Capacity: 3}, {ID: "b", MachineKind: "big", Capacity: 1.1}, {ID: "c", MachineKind: "big", Capacity: 3},
		{ID: "d", MachineKind: "small", Capacity: 1}}
	w := newWorkload(t, set, list...)
	for _, extreme := range []float64{0, -1, math.NaN(), math.Inf(1), 1e300, 0.4, 1e8} {
		list[0].Capacity, list[3].Capacity = 0.5, min(extreme, 1) // load lowers the listed capacities
		list[1].Capacity = extreme
		w.updateEndpoints(false, list...)
		assertNear(t, fmt.Sprint("capacity of big relative to small after a listed capacity of ", extreme), w.b.knownEndpoints["a"].Capacity/w.b.knownEndpoints["d"].Capacity, 3, 1e-9)
	}
}

// Capacities that are listed as equal are corrected by the reported service times: 100, 100 and 400 ms have
// a mean of 200 ms, so the speeds are 2, 2 and 0.5. An endpoint without a report gets the mean service time
// of its machine kind, here 400 ms. Scaled to a mean of 1, the capacities are 1.6, 1.6, 0.4 and 0.4. Invalid
// reports change nothing.
func TestCapacityFollowsReportedServiceTime(t *testing.T) {
	list := testEndpoints(4)
	list[2].MachineKind, list[3].MachineKind = "old", "old"
	w := newWorkload(t, testSettings(), list...)
	for id, serviceTimeMs := range map[string]float64{"s0": 100, "s1": 100, "s2": 400} {
		w.b.recordLoadReport(w.b.knownEndpoints[id], newLoadReport(-1, -1, serviceTimeMs))
	}
	for _, invalid := range []float64{math.NaN(), math.Inf(1), -5, 0, 1e12} {
		w.b.recordLoadReport(w.b.knownEndpoints["s0"], newLoadReport(invalid, invalid, invalid))
	}
	w.b.recordLoadReport(w.b.knownEndpoints["s0"], nil)
	w.b.scaleBySpeed()
	for id, want := range map[string]float64{"s0": 1.6, "s1": 1.6, "s2": 0.4, "s3": 0.4} {
		assertNear(t, "capacity of "+id, w.b.knownEndpoints[id].Capacity, want, 1e-9)
	}
	w.updateEndpoints(true, list...)
	assertNear(t, "capacity of s2 after the list is sent again", w.b.knownEndpoints["s2"].Capacity, 0.4, 1e-9)
}
