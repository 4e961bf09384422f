package decide

import (
	"fmt"
	"math"
	"testing"
)

// slowStartCluster counts the attempts that a whole cluster sends to endpoints in slow start.
type slowStartCluster struct {
	*cluster
	set            Settings
	seed           uint64
	warmEndpoints  int              // number of endpoints that are warm from the start
	warmRate       float64          // requests per second of a warm endpoint
	startedAt      map[string]int64 // start time by endpoint in slow start
	slowStartSends map[string][]int64
	requestDebt    float64 // fraction of a request not sent yet
}

// newSlowStartCluster starts a cluster with warm endpoints that get warmRate requests per second each, and
// runs it until the balancers have measured the rate.
func newSlowStartCluster(seed uint64, balancers, warm int, warmRate, skew float64, keys int) *slowStartCluster {
	set := testSettings()
	set.Rules.OverloadWindow, set.Rules.SlowStartWindow = second, 20*second // a slow start of many windows leaves room to save up tokens
	set.KeyAffinity = keys > 0
	f := &slowStartCluster{set: set, seed: seed, warmEndpoints: warm, warmRate: warmRate, startedAt: map[string]int64{}, slowStartSends: map[string][]int64{}}
	f.cluster = newSeededCluster(seed+1, balancers, set, skew, testEndpoints(warm))
	f.keyCount = keys
	f.onSend = func(id string) {
		if _, cold := f.startedAt[id]; cold {
			f.slowStartSends[id] = append(f.slowStartSends[id], f.now)
		}
	}
	f.runAtLoad(6, 1)
	return f
}

// runAtLoad advances time with load times the traffic that gives each warm endpoint its rate.
func (f *slowStartCluster) runAtLoad(seconds, load float64) {
	for end := f.now + int64(seconds*1e6); f.now < end; {
		f.requestDebt += load * f.warmRate * f.warmCount() * clusterTick / float64(second)
		n := int(f.requestDebt)
		f.requestDebt -= float64(n)
		f.step(n)
	}
}

func (f *slowStartCluster) warmCount() float64 { return float64(f.warmEndpoints) }

// sendFromEach sends count requests to each balancer at once.
func (f *slowStartCluster) sendFromEach(count int) {
	for i := range f.balancers {
		for range count {
			f.sendRequest(i)
		}
	}
}

// runBursts sends count requests to each balancer at once, as often as gives the usual traffic.
func (f *slowStartCluster) runBursts(seconds, count float64) {
	gap := count * float64(len(f.balancers)) / (f.warmRate * f.warmCount())
	for ; seconds > 0; seconds -= gap {
		f.runAtLoad(min(gap, seconds), 0)
		f.sendFromEach(int(count))
	}
}

// startEndpoints returns n endpoints that start now. The caller adds them to the lists of the balancers.
func (f *slowStartCluster) startEndpoints(n int) (list []Endpoint) {
	for i := range n {
		id := fmt.Sprint("cold", i)
		f.startedAt[id] = f.now
		list = append(list, Endpoint{ID: id, Capacity: 1, Zone: "z0", StartedAt: f.now})
	}
	return list
}

func (f *slowStartCluster) updateEndpoints(list []Endpoint) {
	for _, b := range f.balancers {
		b.OnEndpoints(f.now, list, false)
	}
}

// fullestWindow returns as peak the largest number of attempts that an endpoint in slow start gets in a
// window, as a part of its bound, over the windows that begin with an attempt. The bound is N + 2*sqrt(N) +
// 2, where N is what the settings allow at the rate of a warm endpoint for the part of the slow start that
// has passed when the window begins. share is the number of attempts over the whole slow start as a part of
// N.
func (f *slowStartCluster) fullestWindow() (peak, share float64) {
	rules := f.set.Rules
	for id, times := range f.slowStartSends {
		for i, at := range times {
			age, sends := float64(at-f.startedAt[id])/float64(rules.SlowStartWindow), 0.0
			if age >= 1 {
				break
			}
			for _, other := range times[i:] {
				if other-at >= rules.OverloadWindow {
					break
				}
				sends++
			}
			budget := rules.OverloadFactor * (rules.SlowStartMinShare + (1-rules.SlowStartMinShare)*age) * f.warmRate * float64(rules.OverloadWindow) / 1e6
			peak = max(peak, sends/(budget+2*math.Sqrt(budget)+2))
		}
		n := 0.0
		for _, at := range times {
			if at < f.startedAt[id]+rules.SlowStartWindow {
				n++
			}
		}
		share += n / (rules.OverloadFactor * f.warmRate * float64(rules.SlowStartWindow) / 1e6 * (1 + rules.SlowStartMinShare) / 2) / float64(len(f.startedAt))
	}
	return peak, share
}

// slowStartScenarios are traffic patterns that may make the balancers of a cluster send at the same time.
var slowStartScenarios = []struct {
	name string
	skew float64 // 0: all balancers get the same traffic
	run  func(f *slowStartCluster)
}{
	{"steady", 0, func(f *slowStartCluster) {
		f.updateEndpoints(f.startEndpoints(1))
		f.runAtLoad(20, 1)
	}},
	{"after a lull", 0, func(f *slowStartCluster) {
		f.updateEndpoints(f.startEndpoints(1))
		f.runAtLoad(12, 1)
		f.runAtLoad(3, 0)
		f.sendFromEach(4)
		f.runAtLoad(5, 1)
	}},
	{"bursts of one request per balancer", 0, func(f *slowStartCluster) {
		f.updateEndpoints(f.startEndpoints(1))
		f.runBursts(20, 1)
	}},
	{"burst after steady traffic", 0, func(f *slowStartCluster) {
		f.updateEndpoints(f.startEndpoints(1))
		f.runAtLoad(16, 1)
		f.sendFromEach(4)
		f.runAtLoad(2, 1)
	}},
	{"balancers restart with the endpoint", 0, func(f *slowStartCluster) {
		f.pending = nil
		list := append(testEndpoints(f.warmEndpoints), f.startEndpoints(1)...)
		for i := range f.balancers {
			f.balancers[i] = f.startBalancer(f.seed+77, i, len(f.balancers), f.set, list)
		}
		f.sendFromEach(4)
		f.runAtLoad(2, 2)
		f.runAtLoad(18, 1)
	}},
	{"answers blocked for a time", 0, func(f *slowStartCluster) {
		f.updateEndpoints(f.startEndpoints(1))
		for range 5 {
			f.runAtLoad(2, 1)
			f.answersBlocked = true
			f.runAtLoad(1.2, 2)
			f.answersBlocked = false
			f.runAtLoad(0.8, 0.5)
		}
	}},
	{"one balancer with most traffic", 5, func(f *slowStartCluster) {
		f.updateEndpoints(f.startEndpoints(1))
		f.runAtLoad(10, 1)
		f.runAtLoad(2, 0)
		f.sendFromEach(4)
		f.runAtLoad(8, 1)
	}},
	{"several endpoints in slow start", 0, func(f *slowStartCluster) {
		f.updateEndpoints(f.startEndpoints(4))
		f.runAtLoad(10, 1)
		f.runAtLoad(2, 0)
		f.sendFromEach(4)
		f.runAtLoad(8, 1)
	}},
	{"lists updated at different times", 0, func(f *slowStartCluster) {
		list := f.startEndpoints(1)
		for i := range f.balancers {
			f.balancers[i].OnEndpoints(f.now, list, false)
			f.runAtLoad(2/float64(len(f.balancers)), 1)
		}
		f.sendFromEach(4)
		f.runAtLoad(18, 1)
	}},
	{"warm endpoints drain", 0, func(f *slowStartCluster) {
		f.updateEndpoints(f.startEndpoints(1))
		f.runAtLoad(12, 1)
		list := testEndpoints(f.warmEndpoints)
		for i := range list {
			list[i].Phase = Draining
		}
		f.updateEndpoints(list)
		f.sendFromEach(4)
		f.runAtLoad(5, 0.5)
	}},
	{"warm endpoints hang", 0, func(f *slowStartCluster) {
		f.updateEndpoints(f.startEndpoints(1))
		f.runAtLoad(14, 1)
		f.answersBlocked = true
		f.runAtLoad(2, 2)
	}},
}

// However many balancers share the traffic, no overload window has more than N + 2*sqrt(N) + 2 attempts,
// where N is what the settings allow when the window begins. At an overload factor of 3 all balancers
// together earn N/2 tokens in a window while warm endpoints work at capacity, and keep the tokens of one
// window. So N attempts may come in a window on average, at worst after a lull. Each balancer earns tokens at
// its own times, so the sum deviates by at most sqrt(N).
func TestFleetStaysWithinSlowStartBound(t *testing.T) {
	for _, c := range slowStartScenarios {
		for n, seeds := range map[int]int{20: 3, 30: 3, 300: 1} {
			t.Run(fmt.Sprint(c.name, ", ", n, " balancers"), func(t *testing.T) {
				for _, params := range []struct {
					servers int
					rate    float64
					keys    int
				}{{1, 5, 0}, {2, 5, 0}, {2, 15, 300}, {4, 40, 0}} {
					for seed := range uint64(seeds) {
						f := newSlowStartCluster(seed, n, params.servers, params.rate, c.skew, params.keys)
						c.run(f)
						if peak, _ := f.fullestWindow(); peak > 1 {
							t.Errorf("%d warm endpoints at %v requests per second, seed %d: an endpoint in slow start got %.2f of its bound in one window, want at most 1",
								params.servers, params.rate, seed, peak)
						}
					}
				}
			})
		}
	}
}

// Expiring tokens cost an endpoint no traffic if there is enough of it: it gets as much as from balancers
// that save tokens up (0.14 and 0.12 of N, which is three times what it can process). With little traffic it
// gets a part of that.
func TestEndpointInSlowStartGetsTraffic(t *testing.T) {
	for _, params := range []struct {
		balancers, servers int
		rate, minShare     float64
	}{{20, 4, 40, 0.14}, {30, 4, 40, 0.12}, {30, 2, 5, 0.05}} {
		sum := 0.0
		for seed := range uint64(6) {
			f := newSlowStartCluster(seed, params.balancers, params.servers, params.rate, 0, 0)
			slowStartScenarios[0].run(f)
			_, share := f.fullestWindow()
			sum += share / 6
		}
		if sum < params.minShare {
			t.Errorf("%d balancers, %d warm endpoints at %v requests per second: an endpoint in slow start got %.2f of its budget, want at least %.2f",
				params.balancers, params.servers, params.rate, sum, params.minShare)
		}
	}
}

// A token expires, at most one is held, and the next one comes at its time whatever the traffic. Here a token
// comes every 100 µs and lasts for 30 µs.
func TestSlowStartTokensExpire(t *testing.T) {
	bucket := expiringTokenBucket{tokens: 0.5}
	for _, step := range []struct {
		now  int64
		want bool
	}{{0, false}, {49, false}, {51, true}, {79, true}, {81, false}, {149, false}, {151, true}, {351, true}, {399, false}} {
		if got := bucket.take(step.now, 0.01, 30); got != step.want {
			t.Errorf("at %d us: bucket holds a token: %v, want %v", step.now, got, step.want)
		}
	}
	bucket.take(451, 0.01, 30)
	if bucket.tokens--; bucket.take(452, 0.01, 30) {
		t.Error("a token was spent twice")
	}
	if !bucket.take(551, 0.01, 30) {
		t.Error("the next token did not come 100 us after the last one")
	}
	if bucket.take(10_000_049, 0.01, 300); bucket.tokens > 2 { // the lifetime is longer than the time to earn a token
		t.Errorf("%v tokens after a lull, want at most 2", bucket.tokens)
	}
}
