package decide

import (
	"fmt"
	"math"
	"slices"
	"testing"
)

// Attempts at endpoints that don't respond take no capacity of the others.
func TestUnresponsiveEndpointsDoNotUsePoolLimit(t *testing.T) {
	w := newWorkload(t, testSettings(), testEndpoints(10)...)
	w.b.pool.limit = 0.3
	for i := range 3 {
		w.sendRequest(fmt.Sprint("lost", i), 0, 2*second)
	}
	w.advance(50_000)
	w.sendRequest("early", 0, 2*second)
	if n := w.countActions("send"); n != 3 {
		t.Fatalf("%d sent with capacity for three", n)
	}
	w.advance(200_000) // past the latency mark
	w.sendRequest("late", 0, 2*second)
	if n := w.countActions("send late"); n != 1 {
		t.Error("a request is not sent while silent servers hold all capacity")
	}
}

// A busy balancer goes by the limits of its endpoints and not by the pool limit; a saturated endpoint doesn't
// lower the pool limit.
func TestPoolLimitAppliesToQuietBalancersOnly(t *testing.T) {
	for perSecond, want := range map[float64]int{0.5: 1, 20: 4} {
		w := newWorkload(t, testSettings(), testEndpoints(10)...)
		w.b.rates.perCapacity[1], w.b.pool.limit = perSecond/float64(second), 0.1
		for i := range 4 {
			w.sendRequest(fmt.Sprint("r", i), 0, 2*second)
		}
		if n := w.countActions("send"); n != want {
			t.Errorf("%v answers a second from each server: %d sent with capacity for one, want %d", perSecond, n, want)
		}
		w.endAttempt(w.inFlight[0], Saturated)
		assertNear(t, "pool limit after a full server", w.b.pool.limit, 0.1, 0)
	}
}

// Late answers that come together leave a busy balancer a part of its pool limit: with n in flight each
// lowers it by 0.6/n, or by 0.15 with four or less, from forty down to one to 0.13 of it.
func TestBurstOfLateAnswersKeepsPartOfPoolLimit(t *testing.T) {
	w := newWorkload(t, testSettings(), testEndpoints(10)...)
	w.sendRequest("quick", 0, 2*second) // so that it is known how quick answers are at ease
	w.advance(20_000)
	w.endAttempt(w.inFlight[0], Succeeded)
	w.b.pool.limit = 20
	for i := range 40 {
		w.sendRequest(fmt.Sprint("r", i), 0, 2*second)
	}
	if n := len(w.inFlight); n != 40 {
		t.Fatalf("%d out, want 40", n)
	}
	before := w.b.pool.limit
	w.advance(350_000)
	for len(w.inFlight) > 0 {
		w.endAttempt(w.inFlight[0], Succeeded)
	}
	assertNear(t, "part of the capacity kept", w.b.pool.limit/before, 0.13, 0.03)
}

// A late answer lowers what may be in flight at all endpoints together, at once; early ones that find the
// limit in use raise it.
func TestLateAnswersLowerPoolLimit(t *testing.T) {
	w := newWorkload(t, testSettings(), testEndpoints(10)...)
	_, before := w.b.poolCapacity(w.now)
	w.sendRequest("slow", 0, 2*second)
	w.advance(350_000) // past 3/4 of the aim
	w.endAttempt(w.inFlight[0], Succeeded)
	_, after := w.b.poolCapacity(w.now)
	assertNear(t, "capacity after a late answer", after/before, 0.85, 1e-9)
	w.b.pool.limit = 0.1
	for i := range 5 {
		w.sendRequest(fmt.Sprint("quick", i), 0, 2*second)
		w.advance(20_000)
		w.endAttempt(w.inFlight[0], Succeeded)
	}
	assertNear(t, "pool limit after five early ones", w.b.pool.limit, 0.1*math.Pow(1.05, 5), 1e-9)
}

// Where every answer is late, limits fall below one, and what is in flight falls with them: many small
// balancers with one attempt at every endpoint would keep them overloaded.
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
		t.Errorf("%d attempts out at 20 servers that all answer late, want under 10", maxInFlight)
	}
}

// Attempts that time out one by one at endpoints whose other answers are early cut no limit; where answers
// are late, a timeout does.
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
		t.Errorf("a time-out after an early answer moved the limit by %v", f)
	}
	end(Succeeded, c.LatencyObjective)
	if f := end(TimedOut, c.Deadline); f >= 1 {
		t.Errorf("a time-out after a late answer moved the limit by %v", f)
	}
}

// Of the initial limit of 8 for all, each of nine balancers that share an endpoint has a ninth.
func TestInitialLimitIsDividedAmongBalancers(t *testing.T) {
	set := testSettings()
	set.BalancerCount = 9
	w := newWorkload(t, set, testEndpoints(2)...)
	assertNear(t, "start limit", w.b.endpoints[0].concurrencyLimit, 8.0/9, 1e-9)
}

// Quiet balancers together send less when four of ten endpoints leave, so that nearly all answers are early:
// 36 endpoints do 1,200 a second of the 1,600 asked for.
func TestQuietBalancersReduceLoadWhenEndpointsDrain(t *testing.T) {
	set := testSettings()
	set.KeyAffinity = true // each balancer meets all servers, as keys' homes
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
		t.Errorf("%d answers within the objective and %d late in 6 s, want 5400 or more and few late", early, late)
	}
}

// An endpoint that rejects early and answers in time keeps its limit, unless an attempt budget makes retries
// scarce.
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
			t.Errorf("span %d: limit %v, was %v", c.window, s.concurrencyLimit, before)
		}
	}
}
