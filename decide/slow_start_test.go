package decide

import (
	"fmt"
	"testing"
)

// Slow start follows the answers of warm endpoints and not the attempts sent to them, which in an overload
// are far more than the endpoints can process. The workload checks the bound for each attempt.
func TestSlowStartFollowsAnswersNotSends(t *testing.T) {
	list := testEndpoints(3)
	w := newWorkload(t, testSettings(), list...)
	w.advance(second)
	cold := Endpoint{ID: "new", Capacity: 1, Zone: "z0", StartedAt: w.now}
	w.updateEndpoints(false, cold)
	for i := range 400 { // overload: all attempts end saturated, so many are sent and none is answered
		r := w.sendRequest(fmt.Sprint("r", i), 0, second)
		for range 4 {
			if n := len(r.attempts); n > 0 {
				w.endAttempt(r.attempts[n-1], Saturated)
			}
		}
		w.advance(5000)
	}
	if n := w.countActions("send"); n < 100 {
		t.Fatalf("%d attempts sent, want at least 100: there was no overload", n)
	}
}

func TestWarmupFractionGrowsOverWindow(t *testing.T) {
	w := newWorkload(t, testSettings(), testEndpoints(1)...)
	s := &endpointState{slowStartSince: w.now}
	assertNear(t, "warmup fraction at the start", w.b.warmupFraction(w.now, s), 0.3, 1e-9)
	assertNear(t, "warmup fraction after half of the window", w.b.warmupFraction(w.now+4*second, s), 0.65, 1e-9)
	assertNear(t, "warm", w.b.warmupFraction(w.now+8*second, s), 1, 1e-9)
	assertNear(t, "warmup fraction at a clock before the start", w.b.warmupFraction(w.now-second, s), 0.3, 1e-9)
}

// However many balancers share the traffic and however unevenly, all of them together send to an endpoint in
// slow start, in any overload window, at most the overload factor times its share of the traffic of a warm
// endpoint.
func TestSlowStartBoundHoldsForAllBalancersTogether(t *testing.T) {
	for _, n := range []int{1, 10, 1000} {
		for _, skew := range []float64{0, 0.3} {
			t.Run(fmt.Sprint(n, " balancers, skew ", skew), func(t *testing.T) {
				set := testSettings()
				set.Rules.OverloadFactor = 2
				set.KeyAffinity = n == 10 // all endpoints are used, as preferred replicas
				const servers, perSecond = 20, 800
				c := newCluster(n, set, skew, testEndpoints(servers))
				c.keyCount = 300
				c.run(6, perSecond)
				start := c.now
				times := c.sendsToStartingEndpoint(8, perSecond)
				window := set.Rules.OverloadWindow
				for i, at := range times {
					sends := 0
					for _, other := range times[i:] {
						if other-at < window {
							sends++
						}
					}
					share := set.Rules.SlowStartMinShare + (1-set.Rules.SlowStartMinShare)*float64(at-start)/float64(set.Rules.SlowStartWindow)
					budget := set.Rules.OverloadFactor * share * perSecond / servers * float64(window) / float64(second)
					if float64(sends) > budget {
						t.Fatalf("%d attempts within the window from %.2f s after the start, want at most %.1f", sends,
							float64(at-start)/1e6, budget)
					}
				}
				if len(times) == 0 {
					t.Error("the endpoint in slow start got no attempts")
				}
			})
		}
	}
}

// With key affinity the throughput of the subset is measured apart from that of other endpoints. A warm
// endpoint gets 20 attempts per second; over 8 s, from 0.3 to 1 of that rate make 104, plus a random part of
// one attempt at the start.
func TestSlowStartRateFollowsSubsetThroughput(t *testing.T) {
	set := testSettings()
	set.KeyAffinity = true
	c := newCluster(80, set, 0, testEndpoints(60))
	c.run(6, 1200)
	if n := len(c.sendsToStartingEndpoint(8, 1200)); n < 52 || n > 208 {
		t.Errorf("an endpoint in slow start got %d attempts in its slow start, want about 104 (52 to 208)", n)
	}
}

// A warm endpoint gives 10 answers per second. 100 ms after its start (0.3 of its capacity) an endpoint in
// slow start has earned 0.3 tokens if twice its share would overload it, and 0.9 if six times would: half of
// the overload factor.
func TestSlowStartUsesHalfOfOverloadFactor(t *testing.T) {
	for factor, want := range map[float64]float64{2: 0.3, 6: 0.9} {
		set := testSettings()
		set.Rules.OverloadFactor = factor
		b := newCluster(2, set, 0, testEndpoints(4)).balancers[0]
		s, now := b.endpoints[0], 2000*second
		b.rates.perCapacity[1], s.slowStartSince, s.slowStartTokens = 10/float64(second), now-1, expiringTokenBucket{updatedAt: now - second/10}
		b.slowStartAdmits(now, s)
		assertNear(t, fmt.Sprint("tokens at an overload factor of ", factor), s.slowStartTokens.tokens, want, 1e-3)
	}
}

// A balancer that has just started gives an endpoint in slow start its share within seconds. 20 balancers
// with 40 requests per second each at 10 endpoints make 80 per second for a warm endpoint.
func TestNewBalancerSendsToEndpointInSlowStart(t *testing.T) {
	c := newCluster(20, testSettings(), 0, testEndpoints(10))
	c.run(1, 800)
	if n := len(c.sendsToStartingEndpoint(2, 800)); n < 30 {
		t.Errorf("an endpoint in slow start got %d attempts within 2 s, want about 60 (at least 30)", n)
	}
}
