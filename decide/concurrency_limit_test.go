package decide

import (
	"fmt"
	"math"
	"slices"
	"testing"
)

// Attempts at unresponsive endpoints do not count against the pool limit.
func TestUnresponsiveEndpointsDoNotUsePoolLimit(t *testing.T) {
	w := newWorkload(t, testSettings(), testEndpoints(10)...)
	w.b.pool.limit = 0.3
	for i := range 3 {
		w.sendRequest(fmt.Sprint("lost", i), 0, 2*second)
	}
	w.advance(50_000)
	w.sendRequest("early", 0, 2*second)
	if n := w.countActions("send"); n != 3 {
		t.Fatalf("%d attempts sent with capacity for 3, want 3", n)
	}
	w.advance(200_000) // past the p95 latency
	w.sendRequest("late", 0, 2*second)
	if n := w.countActions("send late"); n != 1 {
		t.Error("request was not sent while all attempts in flight are at unresponsive endpoints")
	}
}

// A busy balancer is bounded by the limits of its endpoints and not by the pool limit. A saturated endpoint
// does not lower the pool limit.
func TestPoolLimitAppliesToQuietBalancersOnly(t *testing.T) {
	for perSecond, want := range map[float64]int{0.5: 1, 20: 4} {
		w := newWorkload(t, testSettings(), testEndpoints(10)...)
		w.b.rates.perCapacity[1], w.b.pool.limit = perSecond/float64(second), 0.1
		for i := range 4 {
			w.sendRequest(fmt.Sprint("r", i), 0, 2*second)
		}
		if n := w.countActions("send"); n != want {
			t.Errorf("%v answers per second from each endpoint: %d attempts sent with a pool limit of 1 attempt, want %d", perSecond, n, want)
		}
		w.endAttempt(w.inFlight[0], Saturated)
		assertNear(t, "pool limit after a saturated endpoint", w.b.pool.limit, 0.1, 0)
	}
}

// A burst of late answers leaves a busy balancer part of its pool limit. With n attempts in flight each late
// answer lowers the limit by 0.6/n, and by 0.15 with four or fewer; from forty in flight down to one that
// leaves 0.13 of it.
func TestBurstOfLateAnswersKeepsPartOfPoolLimit(t *testing.T) {
	w := newWorkload(t, testSettings(), testEndpoints(10)...)
	w.sendRequest("quick", 0, 2*second) // sets the latency baseline without congestion
	w.advance(20_000)
	w.endAttempt(w.inFlight[0], Succeeded)
	w.b.pool.limit = 20
	for i := range 40 {
		w.sendRequest(fmt.Sprint("r", i), 0, 2*second)
	}
	if n := len(w.inFlight); n != 40 {
		t.Fatalf("%d attempts in flight, want 40", n)
	}
	before := w.b.pool.limit
	w.advance(350_000)
	for len(w.inFlight) > 0 {
		w.endAttempt(w.inFlight[0], Succeeded)
	}
	assertNear(t, "part of the pool limit left", w.b.pool.limit/before, 0.13, 0.03)
}

// A late answer lowers the pool limit at once. Early answers raise it while the limit is in use.
func TestLateAnswersLowerPoolLimit(t *testing.T) {
	w := newWorkload(t, testSettings(), testEndpoints(10)...)
	_, before := w.b.poolCapacity(w.now)
	w.sendRequest("slow", 0, 2*second)
	w.advance(350_000) // past 3/4 of the latency objective
	w.endAttempt(w.inFlight[0], Succeeded)
	_, after := w.b.poolCapacity(w.now)
	assertNear(t, "pool capacity after a late answer", after/before, 0.85, 1e-9)
	w.b.pool.limit = 0.1
	for i := range 5 {
		w.sendRequest(fmt.Sprint("quick", i), 0, 2*second)
		w.advance(20_000)
		w.endAttempt(w.inFlight[0], Succeeded)
	}
	assertNear(t, "pool limit after five early answers", w.b.pool.limit, 0.1*math.Pow(1.05, 5), 1e-9)
}

// If every answer is late, limits fall below one and so do the attempts in flight. Otherwise many small
// balancers with one attempt at every endpoint each would keep the endpoints overloaded.
func TestPersistentLateAnswersReduceAttemptsInFlight(t *testing.T) {
	w := newWorkload(t, testSettings(), testEndpoints(20)...)
	maxInFlight := 0
	for i := range 2000 {
		w.sendRequest(fmt.Sprint("r", i), 0, 2*second)
		w.advance(20_000)
		for _, a := range slices.Clone(w.inFlight) {
			if w.now-a.sentAt >= 900_000 {
				w.endAttempt(a, Succeeded)
			}
		}
		if i > 1500 {
			maxInFlight = max(maxInFlight, len(w.inFlight))
		}
	}
	if maxInFlight >= 10 {
		t.Errorf("%d attempts in flight at 20 endpoints that all answer late, want fewer than 10", maxInFlight)
	}
}

// A single timeout at an endpoint whose other answers are early does not cut the limit. A timeout after late
// answers does.
func TestSingleTimeoutKeepsConcurrencyLimit(t *testing.T) {
	w := newWorkload(t, testSettings(), testEndpoints(1)...)
	s, c := w.b.endpoints[0], w.b.classes[0]
	end := func(result Result, latency int64) float64 {
		before := s.concurrencyLimit
		w.now += second
		w.b.adaptLimits(w.now, c, &attempt{endpoint: s, sentAt: w.now - latency}, Outcome{Result: result, Latency: latency})
		return s.concurrencyLimit / before
	}
	end(Succeeded, 1000)
	if f := end(TimedOut, c.Deadline); f != 1 {
		t.Errorf("limit after a timeout that follows an early answer: changed by the factor %v, want 1", f)
	}
	end(Succeeded, c.LatencyObjective)
	if f := end(TimedOut, c.Deadline); f >= 1 {
		t.Errorf("limit after a timeout that follows a late answer: changed by the factor %v, want less than 1", f)
	}
}

// Each of nine balancers that share an endpoint starts with a ninth of the initial limit of 8.
func TestInitialLimitIsDividedAmongBalancers(t *testing.T) {
	set := testSettings()
	set.BalancerCount = 9
	w := newWorkload(t, set, testEndpoints(2)...)
	assertNear(t, "initial limit", w.b.endpoints[0].concurrencyLimit, 8.0/9, 1e-9)
}

// When four of ten endpoints drain, quiet balancers together send less, so that nearly all answers stay
// early: 36 endpoints serve 1,200 of the 1,600 requests per second.
func TestQuietBalancersReduceLoadWhenEndpointsDrain(t *testing.T) {
	set := testSettings()
	set.KeyAffinity = true // each balancer uses all endpoints, as preferred replicas
	c := newCluster(80, set, 0, testEndpoints(60))
	c.busyUntil, c.keyCount = map[string]int64{}, 300
	c.run(6, 1600)
	for _, b := range c.balancers {
		list := testEndpoints(60)[36:]
		for i := range list {
			list[i].Phase = Draining
		}
		b.OnEndpoints(c.now, list, false)
	}
	c.run(2, 1600)
	c.answerCounts = map[bool]int{}
	c.run(6, 1600)
	if early, late := c.answerCounts[true], c.answerCounts[false]; early < 6*900 || late > early/4 {
		t.Errorf("%d answers within the latency objective and %d late in 6 s, want at least 5400 and at most a quarter as many late", early, late)
	}
}

// An endpoint that rejects some requests while its answers are early keeps its limit, unless an attempt
// budget makes retries scarce.
func TestSaturationCutsLimitOfFastEndpointOnlyWithAttemptBudget(t *testing.T) {
	for _, c := range []struct {
		window int64
		kept   bool
	}{{0, true}, {10 * second, false}} {
		set := testSettings()
		set.Rules.AttemptBudgetWindow, set.Rules.AttemptBudgetRatio = c.window, 0.1
		if c.window == 0 {
			set.Rules.AttemptBudgetRatio = 0
		}
		w := newWorkload(t, set, testEndpoints(1)...)
		s := w.b.knownEndpoints["s0"]
		w.endAttempt(w.sendRequest("a", 0, second).attempts[0], Succeeded)
		before := s.concurrencyLimit
		w.endAttempt(w.sendRequest("b", 0, second).attempts[0], Saturated)
		if kept := s.concurrencyLimit >= before; kept != c.kept {
			t.Errorf("attempt budget window %d us: limit %v after a saturated answer, was %v before", c.window, s.concurrencyLimit, before)
		}
	}
}
