package decide

import (
	"fmt"
	"math"
	"slices"
	"testing"
)

// told is a report with some figures; the others are absent.
func told(held, queue, latency float64) *LoadReport {
	return &LoadReport{InFlight: held, Queue: queue, Busy: -1, Latency: latency, Rate: -1, FailRate: -1}
}

// The failure: at sohar-routes slow machines are listed at the same size as fast ones, and balancers of five requests a
// second learned it too late. By hand: paces of 100, 100 and 400 ms have a mean of 200, so sizes are as 2, 2 and 0.5;
// one that tells nothing counts as its kind. Reports that make no sense change nothing.
func TestServersCountByThePaceTheyTell(t *testing.T) {
	list := fleet(4)
	list[2].MachineKind, list[3].MachineKind = "old", "old"
	w := newWorld(t, testSettings(), list...)
	for id, pace := range map[string]float64{"s0": 100, "s1": 100, "s2": 400} {
		w.b.recordLoadReport(w.b.knownEndpoints[id], told(-1, -1, pace))
	}
	for _, wild := range []float64{math.NaN(), math.Inf(1), -5, 0, 1e12} {
		w.b.recordLoadReport(w.b.knownEndpoints["s0"], told(wild, wild, wild))
	}
	w.b.recordLoadReport(w.b.knownEndpoints["s0"], nil)
	w.b.scaleBySpeed()
	for id, want := range map[string]float64{"s0": 1.6, "s1": 1.6, "s2": 0.4, "s3": 0.4} {
		near(t, "size of "+id, w.b.knownEndpoints[id].Capacity, want, 1e-9)
	}
	w.list(true, list...)
	near(t, "size after the list again", w.b.knownEndpoints["s2"].Capacity, 0.4, 1e-9)
}

// A server that tells that it holds three times the mean weighs a quarter of what it would at the mean: the root of
// ((1+1)/(3+1)) to the power of 2. What waits counts by its root, so less.
func TestServersWeighByWhatTheyTellThatTheyHold(t *testing.T) {
	w := newWorld(t, testSettings(), fleet(2)...)
	w.b.meanReportedInFlight = 1
	a, q := w.b.knownEndpoints["s0"], w.b.knownEndpoints["s1"]
	w.b.recordLoadReport(a, told(3, -1, -1))
	w.b.meanReportedInFlight = 1
	near(t, "ease of one that holds three", w.b.loadWeight(a), 0.25, 1e-9)
	w.b.recordLoadReport(q, told(-1, 3, -1))
	w.b.meanReportedInFlight = 1
	near(t, "ease of one where three wait", w.b.loadWeight(q), 1, 1e-9)
}

// Probes go to those drawn from, where servers tell of themselves to probes alone, and never past what their price
// allows: two thousandths of the goal. Each row is checked over two minutes.
func TestProbesKeepToTheirPrice(t *testing.T) {
	for _, c := range []struct {
		pull, allowed bool
		price, rate   float64
		any           bool
	}{{true, true, 0.0031, 20, true}, {true, true, 0.06, 20, true}, {true, true, 0, 20, true}, {false, true, 0.0031, 20, false},
		{true, false, 0.0031, 20, false}} {
		set := testSettings()
		set.LoadFromHealthChecks, set.Limits.HealthChecks, set.HealthCheckPrice = c.pull, c.allowed, c.price
		w := newWorld(t, set, fleet(6)...)
		w.traffic(int(120*c.rate), func(f *flight) (Result, bool) { return Succeeded, true })
		w.advance(120*second - int64(120*c.rate)*10_000)
		probes := w.count("probe")
		if c.any != (probes > 0) {
			t.Errorf("%+v: %d probes", c, probes)
		}
		most := 6 + 6*120.0 // once a second at the most
		if c.price > 0 {
			most = min(most, 12+healthCheckSpend*120*c.rate/c.price*1.2)
		}
		if float64(probes) > most {
			t.Errorf("%+v: %d probes, at most %.0f wanted", c, probes, most)
		}
	}
	w := newWorld(t, testSettings(), fleet(1)...)
	w.b.OnHealthCheck(w.now, HealthCheck{Server: "nobody", Result: Succeeded, Load: told(1, -1, 5)})
	w.b.OnHealthCheck(w.now, HealthCheck{Server: "s0", Result: TimedOut, Load: told(1, -1, 5)})
	if w.b.knownEndpoints["s0"].reportedLatencyMs != 0 {
		t.Error("a probe that failed told a pace")
	}
	w.b.OnHealthCheck(w.now, HealthCheck{Server: "s0", Result: Succeeded, Load: told(1, -1, 5)})
	near(t, "pace told to a probe", w.b.knownEndpoints["s0"].reportedLatencyMs, 5, 1e-9)
}

// Latencies count in parts of what the work hinted makes likely: half of the time goes by it.
func TestHintedWork(t *testing.T) {
	c := newClassState(Class{LatencyObjective: second})
	near(t, "without a hint", c.workFactor(0), 1, 0)
	near(t, "the first", c.workFactor(1000), 1, 1e-9)
	for range 500 {
		c.workFactor(1000)
	}
	near(t, "three times the mean", c.workFactor(3000), 2, 0.06)
	near(t, "next to nothing", c.workFactor(1), 0.5, 0.05)
}

// More traffic wants more to draw from, less where open connections have a price.
func TestArmsByTraffic(t *testing.T) {
	for _, c := range []struct {
		price, rate float64
		want        int
	}{{0, 40, 10}, {0.04, 40, 3}, {0.04, 160, 10}, {0, 1, 3}} {
		set := testSettings()
		set.ConnectionPrice, set.BalancerCount = c.price, 1000
		w := newWorld(t, set, fleet(60)...)
		if w.b.requestRate = c.rate; w.b.subsetSize() != c.want {
			t.Errorf("price %v, %v requests a second: %d arms, want %d", c.price, c.rate, w.b.subsetSize(), c.want)
		}
	}
}

// keyed plays one request in four for the key "lock", whose attempts end as given after so long, among others that are
// answered in 10 ms, and counts what of each was refused without an attempt.
func keyed(w *world, n int, end Result, after int64) (lock, others int) {
	var all []*booked
	for i := range n {
		key := fmt.Sprint("key", i%40)
		if i%4 == 0 {
			key = "lock"
		}
		all = append(all, w.take(Request{ID: fmt.Sprint("k", w.now, "-", i), Tenant: -1, TimeLeft: 2 * second, Key: key}))
		w.advance(10_000)
		for _, f := range slices.Clone(w.pending) {
			if f.r.Key != "lock" {
				w.settle(f, Succeeded)
			} else if w.now-f.sent >= after {
				w.settle(f, end)
			}
		}
	}
	for _, r := range all {
		if len(r.tries) == 0 && r.answered != "" {
			if r.Key == "lock" {
				lock++
			} else {
				others++
			}
		}
	}
	return lock, others
}

// The failures: a lock behind all servers, clients that read for a second and requests that any server finds in error
// held the places of all others, and servers were suspended and limits cut for them. The key's requests are thinned, no
// other is refused, no server is suspended, and it ends when the answers are good again.
func TestAKeyThatIsBadEverywhereIsToBlame(t *testing.T) {
	for _, c := range []struct {
		end   Result
		after int64
	}{{Succeeded, 390_000}, {Errored, 0}, {Errored, 200_000}} {
		w := newWorld(t, testSettings(), fleet(6)...)
		keyed(w, 400, Succeeded, 0)
		lock, others := keyed(w, 1000, c.end, c.after)
		if lock < 100 || others > 10 {
			t.Errorf("%+v: %d of 250 refused for the key, %d of 750 others", c, lock, others)
		}
		for id, s := range w.b.knownEndpoints {
			if s.ejectedForAll || s.concurrencyLimit < 1 {
				t.Errorf("%+v: %s suspended %v, limit %v", c, id, s.ejectedForAll, s.concurrencyLimit)
			}
		}
		keyed(w, 3000, Succeeded, 0)
		if lock, _ = keyed(w, 400, Succeeded, 0); lock > 0 {
			t.Errorf("%+v: %d of 100 refused though all is well again", c, lock)
		}
	}
}

// Where everything is as bad no key is to blame: servers are.
func TestNoKeyIsToBlameForServers(t *testing.T) {
	w := newWorld(t, testSettings(), fleet(6)...)
	for i := range 600 {
		w.take(Request{ID: fmt.Sprint("r", i), Tenant: -1, TimeLeft: 2 * second, Key: fmt.Sprint("k", i%4)})
		w.advance(10_000)
		for _, f := range slices.Clone(w.pending) {
			if w.now-f.sent >= 390_000 {
				w.settle(f, Succeeded)
			}
		}
	}
	for i := range w.b.keyStats {
		if w.b.keyStats[i].rejectRatio > 0.5 {
			t.Fatalf("slot %d is thinned by %v", i, w.b.keyStats[i].rejectRatio)
		}
	}
}

// A key that is to blame may hold one of the few answers held for clients no longer than half its aim: the others wait for it.
func TestBlamedKeysHoldNoAnswersUp(t *testing.T) {
	for held, want := range map[int]int64{0: 2 * second, 1: 200_000} {
		set := testSettings()
		set.Limits.MaxBufferedResponses = held
		w := newWorld(t, set, fleet(3)...)
		r := &request{Request: Request{Key: "k"}, class: w.b.classes[4], classRules: w.b.classes[4].Class, latencyObjective: 400_000,
			deadline: w.now + 2*second, arrivedAt: w.now, maxAttempts: 4, keyStats: &keyStats{rejectRatio: 0.5}}
		if got := w.b.attemptTimeout(w.now, r); got != want {
			t.Errorf("%d held: %d, want %d", held, got, want)
		}
	}
}

// A server that turns away early and answers in time keeps its limit; where further attempts are rationed it does not.
func TestFullAtAnEarlyServer(t *testing.T) {
	for _, c := range []struct {
		span int64
		kept bool
	}{{0, true}, {10 * second, false}} {
		set := testSettings()
		set.Rules.AttemptBudgetWindow, set.Rules.AttemptBudgetRatio = c.span, 0.1
		if c.span == 0 {
			set.Rules.AttemptBudgetRatio = 0
		}
		w := newWorld(t, set, fleet(1)...)
		s := w.b.knownEndpoints["s0"]
		w.settle(w.request("a", 0, second).tries[0], Succeeded)
		before := s.concurrencyLimit
		w.settle(w.request("b", 0, second).tries[0], Saturated)
		if kept := s.concurrencyLimit >= before; kept != c.kept {
			t.Errorf("span %d: limit %v, was %v", c.span, s.concurrencyLimit, before)
		}
	}
}

// The failure: where servers tell nothing of their load, answers past 0.6 of the aim came from single slow servers, and a
// third was refused for them (rough-1 of tas-sessions-later 0.85 to 0.71).
func TestEarlyLastsLongerWhereServersTellNothing(t *testing.T) {
	w := newWorld(t, testSettings(), fleet(2)...)
	c := w.b.classes[0]
	c.baselineP90 = float64(10 * second)
	late := Outcome{Result: Succeeded, Latency: 280_000} // of an aim of 400 ms
	if !w.b.isEarly(c, late) {
		t.Error("0.7 of the aim is late where nothing is told")
	}
	w.b.recordLoadReport(w.b.knownEndpoints["s0"], told(1, -1, -1))
	if w.b.isEarly(c, late) {
		t.Error("0.7 of the aim is early where servers tell of their load")
	}
}
