package decide

import (
	"fmt"
	"math"
	"testing"
)

// slowStartCluster counts what a whole cluster sends to endpoints in slow start.
type slowStartCluster struct {
	*cluster
	set            Settings
	seed           uint64
	warmEndpoints  int              // that are warm from the first
	warmRate       float64          // requests a second that a warm server takes
	startedAt      map[string]int64 // start of each cold server
	slowStartSends map[string][]int64
	requestDebt    float64 // part of a request that the traffic is behind
}

// newSlowStartCluster makes a cluster before warm endpoints that take so much each, and lets it learn.
func newSlowStartCluster(seed uint64, balancers, warm int, warmRate, skew float64, keys int) *slowStartCluster {
	set := testSettings()
	set.Rules.OverloadWindow, set.Rules.SlowStartWindow = second, 20*second // the more windows a warm-up has, the more can be saved in it
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

// play lets time pass with so many times the traffic that gives each warm endpoint its rate.
func (f *slowStartCluster) runAtLoad(seconds, load float64) {
	for end := f.now + int64(seconds*1e6); f.now < end; {
		f.requestDebt += load * f.warmRate * f.warmCount() * clusterTick / float64(second)
		n := int(f.requestDebt)
		f.requestDebt -= float64(n)
		f.step(n)
	}
}

func (f *slowStartCluster) warmCount() float64 { return float64(f.warmEndpoints) }

// all gives each balancer so many requests in one moment.
func (f *slowStartCluster) sendFromEach(count int) {
	for i := range f.balancers {
		for range count {
			f.sendRequest(i)
		}
	}
}

// bursts gives each balancer so many requests at once, again and again, as often as makes up the traffic.
func (f *slowStartCluster) runBursts(seconds, count float64) {
	gap := count * float64(len(f.balancers)) / (f.warmRate * f.warmCount())
	for ; seconds > 0; seconds -= gap {
		f.runAtLoad(min(gap, seconds), 0)
		f.sendFromEach(int(count))
	}
}

// begin starts endpoints now and names them, for the caller to list.
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

// most is the fullest window of an endpoint in slow start as a part of its bound, of windows that begin with
// any send: N + 2 root of N + 2, where N is what the settings allow for what a warm endpoint takes, by the
// part of its slow start that has passed as the window begins. got is what they had of N over the whole slow
// start.
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

// ramps are what may bring the sends of a cluster together.
var slowStartScenarios = []struct {
	name string
	skew float64 // 0: all balancers have the same part of the traffic
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
	{"bursts of one each", 0, func(f *slowStartCluster) {
		f.updateEndpoints(f.startEndpoints(1))
		f.runBursts(20, 1)
	}},
	{"a burst after long calm", 0, func(f *slowStartCluster) {
		f.updateEndpoints(f.startEndpoints(1))
		f.runAtLoad(16, 1)
		f.sendFromEach(4)
		f.runAtLoad(2, 1)
	}},
	{"restarted with the server", 0, func(f *slowStartCluster) {
		f.pending = nil
		list := append(testEndpoints(f.warmEndpoints), f.startEndpoints(1)...)
		for i := range f.balancers {
			f.balancers[i] = f.startBalancer(f.seed+77, i, len(f.balancers), f.set, list)
		}
		f.sendFromEach(4)
		f.runAtLoad(2, 2)
		f.runAtLoad(18, 1)
	}},
	{"a jam that ends", 0, func(f *slowStartCluster) {
		f.updateEndpoints(f.startEndpoints(1))
		for range 5 {
			f.runAtLoad(2, 1)
			f.answersBlocked = true
			f.runAtLoad(1.2, 2)
			f.answersBlocked = false
			f.runAtLoad(0.8, 0.5)
		}
	}},
	{"one with most traffic", 5, func(f *slowStartCluster) {
		f.updateEndpoints(f.startEndpoints(1))
		f.runAtLoad(10, 1)
		f.runAtLoad(2, 0)
		f.sendFromEach(4)
		f.runAtLoad(8, 1)
	}},
	{"several cold", 0, func(f *slowStartCluster) {
		f.updateEndpoints(f.startEndpoints(4))
		f.runAtLoad(10, 1)
		f.runAtLoad(2, 0)
		f.sendFromEach(4)
		f.runAtLoad(8, 1)
	}},
	{"told at other times", 0, func(f *slowStartCluster) {
		list := f.startEndpoints(1)
		for i := range f.balancers {
			f.balancers[i].OnEndpoints(f.now, list, false)
			f.runAtLoad(2/float64(len(f.balancers)), 1)
		}
		f.sendFromEach(4)
		f.runAtLoad(18, 1)
	}},
	{"the others drain", 0, func(f *slowStartCluster) {
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
	{"the others hang", 0, func(f *slowStartCluster) {
		f.updateEndpoints(f.startEndpoints(1))
		f.runAtLoad(14, 1)
		f.answersBlocked = true
		f.runAtLoad(2, 2)
	}},
}

// However many balancers share the traffic, no window has more than N + 2 root of N + 2 sends, N being what
// the settings allow as the window begins. At an overload factor of 3 all together earn N/2 in a window where
// warm endpoints do all they can, and hold what a window earned, so N may come in one on average, after a
// lull at the worst. Each earns at times of its own, so the sum strays by root of N at the most.
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
							t.Errorf("%d servers that take %v a second, seed %d: %.2f of what one in slow start may get in a window",
								params.servers, params.rate, seed, peak)
						}
					}
				}
			})
		}
	}
}

// Tokens that expire are not lost to an endpoint that is asked for: with ample traffic it gets as much as
// from balancers that save up (0.14 and 0.12 of N, three times what it can do), with little a part of it.
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
			t.Errorf("%d balancers, %d servers that take %v a second: one in slow start got %.2f of its budget, want %.2f",
				params.balancers, params.servers, params.rate, sum, params.minShare)
		}
	}
}

// A token lasts for a time, is one at the most, and the next comes when it would have come without it,
// whatever the traffic: one each 100 µs, for 30.
func TestSlowStartTokensExpire(t *testing.T) {
	bucket := expiringTokenBucket{tokens: 0.5}
	for _, step := range []struct {
		now  int64
		want bool
	}{{0, false}, {49, false}, {51, true}, {79, true}, {81, false}, {149, false}, {151, true}, {351, true}, {399, false}} {
		if got := bucket.take(step.now, 0.01, 30); got != step.want {
			t.Errorf("at %d: holds one: %v, want %v", step.now, got, step.want)
		}
	}
	bucket.take(451, 0.01, 30)
	if bucket.tokens--; bucket.take(452, 0.01, 30) {
		t.Error("it is spent twice")
	}
	if !bucket.take(551, 0.01, 30) {
		t.Error("the next does not come at its time")
	}
	if bucket.take(10_000_049, 0.01, 300); bucket.tokens > 2 { // holds for longer than it takes to earn one
		t.Errorf("%v tokens after a lull, want one and a part", bucket.tokens)
	}
}
