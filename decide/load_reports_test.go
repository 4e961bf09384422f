package decide

import (
	"testing"
)

// newLoadReport returns a report of the given values, where -1 means that the value is absent. All other
// values are absent.
func newLoadReport(inFlight, queueLength, serviceTimeMs float64) *LoadReport {
	return &LoadReport{InFlight: inFlight, QueueLength: queueLength, Utilization: -1,
		ServiceTimeMs: serviceTimeMs, RequestRate: -1, ErrorRate: -1}
}

// With a mean of 1 request in flight, an endpoint that reports 3 has the load weight ((1+1)/(3+1))^2 = 0.25.
// A reported queue of 3 requests counts as only sqrt(1+3) - 1 = 1 request in flight.
func TestDrawWeightFollowsReportedInFlight(t *testing.T) {
	w := newWorkload(t, testSettings(), testEndpoints(2)...)
	w.b.loadReports.meanInFlight = 1
	a, q := w.b.knownEndpoints["s0"], w.b.knownEndpoints["s1"]
	w.b.recordLoadReport(a, newLoadReport(3, -1, -1))
	w.b.loadReports.meanInFlight = 1
	assertNear(t, "load weight at 3 requests in flight", w.b.loadWeight(a), 0.25, 1e-9)
	w.b.recordLoadReport(q, newLoadReport(-1, 3, -1))
	w.b.loadReports.meanInFlight = 1
	assertNear(t, "load weight at a queue of 3 requests", w.b.loadWeight(q), 1, 1e-9)
}

// Health checks are sent only if endpoints report load only in them and the limits allow them. Over two
// minutes they cost at most two thousandths of the service objective.
func TestHealthCheckRateFollowsPrice(t *testing.T) {
	for _, c := range []struct {
		fromHealthChecks, allowed bool
		price, rate               float64
		wantChecks                bool
	}{{true, true, 0.0031, 20, true}, {true, true, 0.06, 20, true}, {true, true, 0, 20, true}, {false, true, 0.0031, 20, false},
		{true, false, 0.0031, 20, false}} {
		set := testSettings()
		set.LoadFromHealthChecks, set.Limits.HealthChecks, set.HealthCheckPrice = c.fromHealthChecks, c.allowed, c.price
		w := newWorkload(t, set, testEndpoints(6)...)
		w.sendTraffic(int(120*c.rate), func(_ *trackedAttempt) (Result, bool) { return Succeeded, true })
		w.advance(120*second - int64(120*c.rate)*10_000)
		checks := w.countActions("probe")
		if c.wantChecks != (checks > 0) {
			t.Errorf("%+v: %d health checks, want some: %t", c, checks, c.wantChecks)
		}
		maxChecks := 6 + 6*120.0 // at most one per second and endpoint
		if c.price > 0 {
			maxChecks = min(maxChecks, 12+maxHealthCheckCost*120*c.rate/c.price*1.2)
		}
		if float64(checks) > maxChecks {
			t.Errorf("%+v: %d health checks, want at most %.0f", c, checks, maxChecks)
		}
	}
	w := newWorkload(t, testSettings(), testEndpoints(1)...)
	w.b.OnHealthCheck(w.now, HealthCheckOutcome{Server: "nobody", Result: Succeeded, Load: newLoadReport(1, -1, 5)})
	w.b.OnHealthCheck(w.now, HealthCheckOutcome{Server: "s0", Result: TimedOut, Load: newLoadReport(1, -1, 5)})
	if w.b.knownEndpoints["s0"].reportedServiceTimeMs != 0 {
		t.Error("the load report of a failed health check was used")
	}
	w.b.OnHealthCheck(w.now, HealthCheckOutcome{Server: "s0", Result: Succeeded, Load: newLoadReport(1, -1, 5)})
	assertNear(t, "service time in ms reported in a health check", w.b.knownEndpoints["s0"].reportedServiceTimeMs, 5, 1e-9)
}
