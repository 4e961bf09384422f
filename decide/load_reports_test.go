package decide

import (
	"testing"
)

// loadReport is a report with some figures; the others are absent.
func loadReport(held, queue, latency float64) *LoadReport {
	return &LoadReport{InFlight: held, QueueLength: queue, Utilization: -1, ServiceTimeMs: latency, RequestRate: -1, ErrorRate: -1}
}

// An endpoint that reports three times the mean in flight weighs a quarter of what it would at the mean:
// ((1+1)/(3+1)) squared. A queue counts by its root, so less.
func TestDrawWeightFollowsReportedInFlight(t *testing.T) {
	w := newWorkload(t, testSettings(), testEndpoints(2)...)
	w.b.loadReports.meanInFlight = 1
	a, q := w.b.knownEndpoints["s0"], w.b.knownEndpoints["s1"]
	w.b.recordLoadReport(a, loadReport(3, -1, -1))
	w.b.loadReports.meanInFlight = 1
	assertNear(t, "ease of one that holds three", w.b.loadWeight(a), 0.25, 1e-9)
	w.b.recordLoadReport(q, loadReport(-1, 3, -1))
	w.b.loadReports.meanInFlight = 1
	assertNear(t, "ease of one where three wait", w.b.loadWeight(q), 1, 1e-9)
}

// Health checks go to the subset, where load is reported to them alone, and cost two thousandths of the
// objective at most, in each row over two minutes.
func TestHealthChecksKeepToTheirPrice(t *testing.T) {
	for _, c := range []struct {
		pull, allowed bool
		price, rate   float64
		any           bool
	}{{true, true, 0.0031, 20, true}, {true, true, 0.06, 20, true}, {true, true, 0, 20, true}, {false, true, 0.0031, 20, false},
		{true, false, 0.0031, 20, false}} {
		set := testSettings()
		set.LoadFromHealthChecks, set.Limits.HealthChecks, set.HealthCheckPrice = c.pull, c.allowed, c.price
		w := newWorkload(t, set, testEndpoints(6)...)
		w.traffic(int(120*c.rate), func(_ *trackedAttempt) (Result, bool) { return Succeeded, true })
		w.advance(120*second - int64(120*c.rate)*10_000)
		probes := w.countActions("probe")
		if c.any != (probes > 0) {
			t.Errorf("%+v: %d probes", c, probes)
		}
		most := 6 + 6*120.0 // once a second at the most
		if c.price > 0 {
			most = min(most, 12+maxHealthCheckCost*120*c.rate/c.price*1.2)
		}
		if float64(probes) > most {
			t.Errorf("%+v: %d probes, at most %.0f wanted", c, probes, most)
		}
	}
	w := newWorkload(t, testSettings(), testEndpoints(1)...)
	w.b.OnHealthCheck(w.now, HealthCheckOutcome{Server: "nobody", Result: Succeeded, Load: loadReport(1, -1, 5)})
	w.b.OnHealthCheck(w.now, HealthCheckOutcome{Server: "s0", Result: TimedOut, Load: loadReport(1, -1, 5)})
	if w.b.knownEndpoints["s0"].reportedServiceTimeMs != 0 {
		t.Error("a health check that failed set a latency")
	}
	w.b.OnHealthCheck(w.now, HealthCheckOutcome{Server: "s0", Result: Succeeded, Load: loadReport(1, -1, 5)})
	assertNear(t, "latency reported to a health check", w.b.knownEndpoints["s0"].reportedServiceTimeMs, 5, 1e-9)
}
