package decide

import (
	"fmt"
	"math"
	"testing"
)

func assertNear(t *testing.T, what string, got, want, within float64) {
	t.Helper()
	if math.Abs(got-want) > within {
		t.Errorf("%s: got %.6f, want %.6f within %g", what, got, want, within)
	}
}

// newPlainRequest is a request of the first class without attempts.
func newPlainRequest(b *Balancer) *request {
	c := b.classes[0]
	return &request{class: c, classAtArrival: c.Class, maxAttempts: b.settings.Limits.MaxAttempts}
}

// The paper's formula: weights 1, 2, 1 give (1-0.07)*2/4 + 0.07/3 = 0.488333.
func TestDrawProbability(t *testing.T) {
	w := newWorkload(t, testSettings(), testEndpoints(3)...)
	w.b.knownEndpoints["s1"].setLogWeight(math.Log(2))
	want := []float64{0.255833, 0.488333, 0.255833}
	seen := map[string]float64{}
	for range 200 {
		w.b.collectCandidates(w.now, newPlainRequest(w.b), nil)
		s, p := w.b.sampleCandidate(4, 3, nil)
		seen[s.ID] = p
	}
	for i, p := range want {
		assertNear(t, fmt.Sprint("p of s", i), seen[fmt.Sprint("s", i)], p, 1e-6)
	}
}

// An endpoint of listed capacity 4 beside two of 1 counts as four arms of six: scaled to 2, 0.5, 0.5.
func TestCapacityCountsAsArms(t *testing.T) {
	set := testSettings()
	set.CapacityListed = true
	list := testEndpoints(3)
	list[0].Capacity = 4
	w := newWorkload(t, set, list...)
	w.b.collectCandidates(w.now, newPlainRequest(w.b), nil)
	for range 200 {
		if s, p := w.b.sampleCandidate(3, 3, nil); s.ID == "s0" {
			assertNear(t, "p of the big server", p, 4.0/6, 1e-9)
			return
		}
	}
	t.Error("the big server was never drawn")
}

// A payoff of 1 drawn with probability 0.5 among 3 adds 0.07*1/(0.5*3) = 0.046667; one of 0 adds nothing.
func TestUpdateWeightOfDrawnEndpoint(t *testing.T) {
	w := newWorkload(t, testSettings(), testEndpoints(3)...)
	s := w.b.endpoints[0]
	w.b.updateWeight(&attempt{endpoint: s, probability: 0.5}, 1)
	assertNear(t, "log-weight after an answer", s.logWeight, 0.0466667, 1e-6)
	w.b.updateWeight(&attempt{endpoint: s, probability: 0.5}, 0)
	assertNear(t, "log-weight after a failure", s.logWeight, 0.0466667, 1e-6)
	for _, other := range w.b.endpoints[1:] {
		assertNear(t, "log-weight of a server not drawn", other.logWeight, 0, 0)
	}
}

// Arms that give half an answer a second move a weight three times as far as the paper has it, ones that give
// 2.5 twice, ones that give 10 as far.
func TestQuietBalancersLearnFaster(t *testing.T) {
	for perSecond, want := range map[int]float64{2: 3 * gamma, 10: 2 * gamma, 40: gamma} {
		w := newWorkload(t, testSettings(), testEndpoints(4)...)
		for range 20 {
			for _, s := range w.b.endpoints {
				s.successesThisSecond = perSecond / 4
			}
			w.b.endpoints[0].successesThisSecond += perSecond % 4
			w.b.onSecond(w.now)
		}
		assertNear(t, fmt.Sprint("rate at ", perSecond, " answers a second"), w.b.learningRate, want, 0.01*want)
	}
}

// With a baseline of 100 ms, answers within 60 ms earn all and one of 120 ms earns half, long before the
// objective of 400 ms. A request whose objective is extended to twice the class's may take twice as long.
func TestPayoff(t *testing.T) {
	class := &classState{Class: Class{LatencyObjective: 400_000}, baselineP90: 100_000}
	c := &request{latencyObjective: 400_000, class: class, classAtArrival: class.Class}
	long := &request{latencyObjective: 800_000, class: class, classAtArrival: class.Class}
	assertNear(t, "payoff of a long one", long.payoff(Outcome{Result: Succeeded, Latency: 240_000}), 0.5, 1e-12)
	for _, v := range []struct {
		result  Result
		latency int64
		want    float64
	}{{Succeeded, 1000, 1}, {Succeeded, 60_000, 1}, {Succeeded, 120_000, 0.5}, {Succeeded, 600_000, 0.1}, {Succeeded, 0, 1}, {Errored, 10, 0},
		{Saturated, 10, 0}, {TimedOut, 10, 0}, {Reset, 10, 0}, {ConnectFailed, 10, 0}} {
		assertNear(t, fmt.Sprint("payoff of ", v.result, v.latency), c.payoff(Outcome{Result: v.result, Latency: v.latency}),
			v.want, 1e-12)
	}
}

func TestCancelledAndUnsentAttemptsAreIgnored(t *testing.T) {
	for _, result := range []Result{Cancelled, NotSent} {
		w := newWorkload(t, testSettings(), testEndpoints(1)...)
		w.request("a", 0, second)
		w.endAttempt(w.inFlight[0], result)
		if s := w.b.endpoints[0]; s.logWeight != 0 || s.ejections[0].consecutiveFailures != 0 {
			t.Errorf("result %d moved log %v, failures %d", result, s.logWeight, s.ejections[0].consecutiveFailures)
		}
	}
}

// At a fixed seed 20,000 draws lie within 0.015 (over four standard deviations) of the formula.
func TestDrawFrequencies(t *testing.T) {
	w := newWorkload(t, testSettings(), testEndpoints(4)...)
	for i, s := range w.b.endpoints {
		s.setLogWeight(float64(i) / 2)
	}
	sum, n, hits := 0.0, 20_000, map[string]int{}
	for _, s := range w.b.endpoints {
		sum += s.weight
	}
	r := newPlainRequest(w.b)
	for range n {
		s, _ := w.b.drawEndpoint(w.now, r)
		hits[s.ID]++
	}
	for _, s := range w.b.endpoints {
		assertNear(t, "share of "+s.ID, float64(hits[s.ID])/float64(n), 0.93*s.weight/sum+0.07/4, 0.015)
	}
}

// Log-weights keep 0.9 of their distance from the mean each second. A quiet balancer's decay by its answers:
// two answers at two endpoints keep 0.98, none keep all, a thousand no less than 0.9.
func TestWeightsDecay(t *testing.T) {
	for answers, keep := range map[int]float64{0: 1, 2: 0.98, 1000: 0.9} {
		w := newWorkload(t, testSettings(), testEndpoints(2)...)
		w.b.endpoints[0].setLogWeight(1)
		w.b.rates.successesThisSecond = answers
		w.b.onSecond(w.now)
		assertNear(t, fmt.Sprint("distance kept after ", answers), w.b.endpoints[0].logWeight-w.b.endpoints[1].logWeight, keep, 1e-9)
	}
}

func TestRetriesDrawWithoutReplacement(t *testing.T) {
	w := newWorkload(t, testSettings(), testEndpoints(3)...)
	r := w.request("a", 0, 2*second)
	for len(r.attempts) < 3 {
		w.endAttempt(r.attempts[len(r.attempts)-1], Saturated)
	}
	seen := map[string]bool{}
	for _, f := range r.attempts {
		seen[f.server.ID] = true
	}
	if len(seen) != 3 {
		t.Errorf("three attempts met %d servers", len(seen))
	}
}

func TestRedrawAboveMeanUtilization(t *testing.T) {
	w := newWorkload(t, testSettings(), testEndpoints(2)...)
	for range 3 {
		w.b.endpoints[0].inFlight++
		w.b.inFlight++
	}
	away := 0
	for range 100 {
		if s, _ := w.b.drawEndpoint(w.now, newPlainRequest(w.b)); s.ID == "s1" {
			away++
		}
	}
	if away < 95 {
		t.Errorf("%d of 100 draws went to the server with capacity, want 95 or more", away)
	}
}

// A limit of 0.1 counts as a tenth of an arm, so p = 0.93*0.1/1.1 + 0.07/2 = 0.119545.
func TestLimitBelowOneLowersDrawWeight(t *testing.T) {
	w := newWorkload(t, testSettings(), testEndpoints(2)...)
	jammed := w.b.endpoints[0]
	jammed.concurrencyLimit = 0.1
	for range 400 {
		if s, p := w.b.drawEndpoint(w.now, newPlainRequest(w.b)); s == jammed {
			assertNear(t, "p of the jammed server", p, 0.93*0.1/1.1+0.07/2, 1e-9)
			return
		}
	}
	t.Error("the jammed server was never drawn: its floor is gone")
}
