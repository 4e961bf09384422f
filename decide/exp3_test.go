package decide

import (
	"fmt"
	"math"
	"testing"
)

func assertNear(t *testing.T, quantity string, got, want, tolerance float64) {
	t.Helper()
	if math.Abs(got-want) > tolerance {
		t.Errorf("%s: got %.6f, want %.6f within %g", quantity, got, want, tolerance)
	}
}

// newPlainRequest returns a request of the first class without attempts.
func newPlainRequest(b *Balancer) *request {
	c := b.classes[0]
	return &request{class: c, classAtArrival: c.Class, maxAttempts: b.settings.Limits.MaxAttempts}
}

// The draw follows the formula of the paper: weights 1, 2, 1 give (1-0.07)*2/4 + 0.07/3 = 0.488333 for the
// second arm.
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
		assertNear(t, fmt.Sprint("draw probability of s", i), seen[fmt.Sprint("s", i)], p, 1e-6)
	}
}

// An endpoint of listed capacity 4 together with two of capacity 1 counts as four of six arms; the scaled
// capacities are 2, 0.5 and 0.5.
func TestCapacityCountsAsArms(t *testing.T) {
	set := testSettings()
	set.CapacityListed = true
	list := testEndpoints(3)
	list[0].Capacity = 4
	w := newWorkload(t, set, list...)
	w.b.collectCandidates(w.now, newPlainRequest(w.b), nil)
	for range 200 {
		if s, p := w.b.sampleCandidate(3, 3, nil); s.ID == "s0" {
			assertNear(t, "draw probability of the large endpoint", p, 4.0/6, 1e-9)
			return
		}
	}
	t.Error("the large endpoint was not drawn in 200 draws")
}

// A payoff of 1 drawn with probability 0.5 among 3 arms adds 0.07*1/(0.5*3) = 0.046667 to the log-weight, a
// payoff of 0 adds nothing, and the log-weights of the other arms stay.
func TestOnlyDrawnEndpointLearns(t *testing.T) {
	w := newWorkload(t, testSettings(), testEndpoints(3)...)
	s := w.b.endpoints[0]
	w.b.updateWeight(&attempt{endpoint: s, probability: 0.5}, 1)
	assertNear(t, "log-weight after an answer", s.logWeight, 0.0466667, 1e-6)
	w.b.updateWeight(&attempt{endpoint: s, probability: 0.5}, 0)
	assertNear(t, "log-weight after a failure", s.logWeight, 0.0466667, 1e-6)
	for _, other := range w.b.endpoints[1:] {
		assertNear(t, "log-weight of an endpoint that was not drawn", other.logWeight, 0, 0)
	}
}

// The learning rate is three times that of the paper for arms with half an answer per second, twice for 2.5
// answers per second, and that of the paper for 10.
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
		assertNear(t, fmt.Sprint("learning rate at ", perSecond, " answers per second"), w.b.learningRate, want, 0.01*want)
	}
}

// With a baseline of 100 ms an answer within 60 ms has the payoff 1 and one of 120 ms the payoff 0.5, long
// before the latency objective of 400 ms. If the objective of a request is extended to twice that of its
// class, its answer may take twice as long.
func TestPayoffFallsWithLatency(t *testing.T) {
	class := &classState{Class: Class{LatencyObjective: 400_000}, baselineP90: 100_000}
	c := &request{latencyObjective: 400_000, class: class, classAtArrival: class.Class}
	long := &request{latencyObjective: 800_000, class: class, classAtArrival: class.Class}
	assertNear(t, "payoff with an extended objective", long.payoff(Outcome{Result: Succeeded, Latency: 240_000}), 0.5, 1e-12)
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
		w.sendRequest("a", 0, second)
		w.endAttempt(w.inFlight[0], result)
		if s := w.b.endpoints[0]; s.logWeight != 0 || s.ejections[0].consecutiveFailures != 0 {
			t.Errorf("result %d: log-weight %v and %d failures in a row, want 0 and 0", result, s.logWeight, s.ejections[0].consecutiveFailures)
		}
	}
}

// At a fixed seed the frequencies of 20,000 draws are within 0.015 of the formula, which is over four
// standard deviations.
func TestDrawFrequenciesMatchProbabilities(t *testing.T) {
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
		assertNear(t, "share of draws of "+s.ID, float64(hits[s.ID])/float64(n), 0.93*s.weight/sum+0.07/4, 0.015)
	}
}

// Each second the log-weights keep at least 0.9 of their distance from the mean. A quiet balancer's weights
// decay by its answers: two answers at two endpoints keep 0.98, no answers keep all, and a thousand answers
// keep 0.9.
func TestLogWeightsDecayTowardsMean(t *testing.T) {
	for answers, want := range map[int]float64{0: 1, 2: 0.98, 1000: 0.9} {
		w := newWorkload(t, testSettings(), testEndpoints(2)...)
		w.b.endpoints[0].setLogWeight(1)
		w.b.rates.successesThisSecond = answers
		w.b.onSecond(w.now)
		assertNear(t, fmt.Sprint("distance of log-weights kept, by answers: ", answers), w.b.endpoints[0].logWeight-w.b.endpoints[1].logWeight, want, 1e-9)
	}
}

func TestRetriesDrawWithoutReplacement(t *testing.T) {
	w := newWorkload(t, testSettings(), testEndpoints(3)...)
	r := w.sendRequest("a", 0, 2*second)
	for len(r.attempts) < 3 {
		w.endAttempt(r.attempts[len(r.attempts)-1], Saturated)
	}
	seen := map[string]bool{}
	for _, a := range r.attempts {
		seen[a.endpoint.ID] = true
	}
	if len(seen) != 3 {
		t.Errorf("three attempts went to %d endpoints, want 3", len(seen))
	}
}

func TestRedrawAboveMeanUtilization(t *testing.T) {
	w := newWorkload(t, testSettings(), testEndpoints(2)...)
	for range 3 {
		w.b.endpoints[0].inFlight++
		w.b.inFlight++
	}
	idleDraws := 0
	for range 100 {
		if s, _ := w.b.drawEndpoint(w.now, newPlainRequest(w.b)); s.ID == "s1" {
			idleDraws++
		}
	}
	if idleDraws < 95 {
		t.Errorf("%d of 100 draws picked the idle endpoint, want at least 95", idleDraws)
	}
}

// A concurrency limit of 0.1 counts as a tenth of an arm, so the draw probability is 0.93*0.1/1.1 + 0.07/2 =
// 0.119545.
func TestLimitBelowOneLowersDrawWeight(t *testing.T) {
	w := newWorkload(t, testSettings(), testEndpoints(2)...)
	congested := w.b.endpoints[0]
	congested.concurrencyLimit = 0.1
	for range 400 {
		if s, p := w.b.drawEndpoint(w.now, newPlainRequest(w.b)); s == congested {
			assertNear(t, "draw probability of the congested endpoint", p, 0.93*0.1/1.1+0.07/2, 1e-9)
			return
		}
	}
	t.Error("the congested endpoint was not drawn in 400 draws, want draws by the exploration share")
}
