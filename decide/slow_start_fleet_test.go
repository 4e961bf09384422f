package decide

import (
	"fmt"
	"math"
	"testing"
)

// slowStartCluster counts what a whole cluster sends to endpoints in slow start.
type slowStartCluster struct {
	*cluster
	set     Settings
	seed    uint64
	servers int              // that are warm from the first
	rate    float64          // requests a second that a warm server takes
	since   map[string]int64 // start of each cold server
	sends   map[string][]int64
	owed    float64 // part of a request that the traffic is behind
}

// newSlowStartCluster makes a cluster before warm endpoints that take so much each, and lets it learn.
func newSlowStartCluster(seed uint64, balancers, warm int, rate, skew float64, keys int) *slowStartCluster {
	set := testSettings()
	set.Rules.OverloadWindow, set.Rules.SlowStartWindow = second, 20*second // the more windows a warm-up has, the more can be saved in it
	set.KeyAffinity = keys > 0
	f := &slowStartCluster{set: set, seed: seed, servers: warm, rate: rate, since: map[string]int64{}, sends: map[string][]int64{}}
	f.cluster = newSeededCluster(seed+1, balancers, set, skew, testEndpoints(warm))
	f.keys = keys
	f.onSend = func(id string) {
		if _, cold := f.since[id]; cold {
			f.sends[id] = append(f.sends[id], f.now)
		}
	}
	f.play(6, 1)
	return f
}

// play lets time pass with so many times the traffic that gives each warm endpoint its rate.
func (f *slowStartCluster) play(seconds, times float64) {
	for end := f.now + int64(seconds*1e6); f.now < end; {
		f.owed += times * f.rate * f.warm() * clusterTick / float64(second)
		n := int(f.owed)
		f.owed -= float64(n)
		f.step(n)
	}
}

func (f *slowStartCluster) warm() float64 { return float64(f.servers) }

// all gives each balancer so many requests in one moment.
func (f *slowStartCluster) all(each int) {
	for i := range f.bs {
		for range each {
			f.sendRequest(i)
		}
	}
}

// bursts gives each balancer so many requests at once, again and again, as often as makes up the traffic.
func (f *slowStartCluster) bursts(seconds, each float64) {
	gap := each * float64(len(f.bs)) / (f.rate * f.warm())
	for ; seconds > 0; seconds -= gap {
		f.play(min(gap, seconds), 0)
		f.all(int(each))
	}
}

// begin starts endpoints now and names them, for the caller to list.
func (f *slowStartCluster) begin(n int) (list []Endpoint) {
	for i := range n {
		id := fmt.Sprint("cold", i)
		f.since[id] = f.now
		list = append(list, Endpoint{ID: id, Capacity: 1, Zone: "z0", StartedAt: f.now})
	}
	return list
}

func (f *slowStartCluster) tell(list []Endpoint) {
	for _, b := range f.bs {
		b.OnEndpoints(f.now, list, false)
	}
}

// most is the fullest window of an endpoint in slow start as a part of its bound, of windows that begin with
// any send: N + 2 root of N + 2, where N is what the settings allow for what a warm endpoint takes, by the
// part of its slow start that has passed as the window begins. got is what they had of N over the whole slow
// start.
func (f *slowStartCluster) most() (most, got float64) {
	rules := f.set.Rules
	for id, times := range f.sends {
		for i, at := range times {
			age, in := float64(at-f.since[id])/float64(rules.SlowStartWindow), 0.0
			if age >= 1 {
				break
			}
			for _, other := range times[i:] {
				if other-at >= rules.OverloadWindow {
					break
				}
				in++
			}
			budget := rules.OverloadFactor * (rules.SlowStartMinShare + (1-rules.SlowStartMinShare)*age) * f.rate * float64(rules.OverloadWindow) / 1e6
			most = max(most, in/(budget+2*math.Sqrt(budget)+2))
		}
		n := 0.0
		for _, at := range times {
			if at < f.since[id]+rules.SlowStartWindow {
				n++
			}
		}
		got += n / (rules.OverloadFactor * f.rate * float64(rules.SlowStartWindow) / 1e6 * (1 + rules.SlowStartMinShare) / 2) / float64(len(f.since))
	}
	return most, got
}

// ramps are what may bring the sends of a cluster together.
var ramps = []struct {
	name string
	skew float64 // 0: all balancers have the same part of the traffic
	run  func(f *slowStartCluster)
}{
	{"steady", 0, func(f *slowStartCluster) {
		f.tell(f.begin(1))
		f.play(20, 1)
	}},
	{"after a lull", 0, func(f *slowStartCluster) {
		f.tell(f.begin(1))
		f.play(12, 1)
		f.play(3, 0)
		f.all(4)
		f.play(5, 1)
	}},
	{"bursts of one each", 0, func(f *slowStartCluster) {
		f.tell(f.begin(1))
		f.bursts(20, 1)
	}},
	{"a burst after long calm", 0, func(f *slowStartCluster) {
		f.tell(f.begin(1))
		f.play(16, 1)
		f.all(4)
		f.play(2, 1)
	}},
	{"restarted with the server", 0, func(f *slowStartCluster) {
		f.due = nil
		list := append(testEndpoints(f.servers), f.begin(1)...)
		for i := range f.bs {
			f.bs[i] = f.join(f.seed+77, i, len(f.bs), f.set, list)
		}
		f.all(4)
		f.play(2, 2)
		f.play(18, 1)
	}},
	{"a jam that ends", 0, func(f *slowStartCluster) {
		f.tell(f.begin(1))
		for range 5 {
			f.play(2, 1)
			f.stuck = true
			f.play(1.2, 2)
			f.stuck = false
			f.play(0.8, 0.5)
		}
	}},
	{"one with most traffic", 5, func(f *slowStartCluster) {
		f.tell(f.begin(1))
		f.play(10, 1)
		f.play(2, 0)
		f.all(4)
		f.play(8, 1)
	}},
	{"several cold", 0, func(f *slowStartCluster) {
		f.tell(f.begin(4))
		f.play(10, 1)
		f.play(2, 0)
		f.all(4)
		f.play(8, 1)
	}},
	{"told at other times", 0, func(f *slowStartCluster) {
		list := f.begin(1)
		for i := range f.bs {
			f.bs[i].OnEndpoints(f.now, list, false)
			f.play(2/float64(len(f.bs)), 1)
		}
		f.all(4)
		f.play(18, 1)
	}},
	{"the others drain", 0, func(f *slowStartCluster) {
		f.tell(f.begin(1))
		f.play(12, 1)
		list := testEndpoints(f.servers)
		for i := range list {
			list[i].Phase = Draining
		}
		f.tell(list)
		f.all(4)
		f.play(5, 0.5)
	}},
	{"the others hang", 0, func(f *slowStartCluster) {
		f.tell(f.begin(1))
		f.play(14, 1)
		f.stuck = true
		f.play(2, 2)
	}},
}

// However many balancers share the traffic, no window has more than N + 2 root of N + 2 sends, N being what
// the settings allow as the window begins. At an overload factor of 3 all together earn N/2 in a window where
// warm endpoints do all they can, and hold what a window earned, so N may come in one on average, after a
// lull at the worst. Each earns at times of its own, so the sum strays by root of N at the most.
func TestSlowStartHoldsForTheFleet(t *testing.T) {
	for _, c := range ramps {
		for n, seeds := range map[int]int{20: 3, 30: 3, 300: 1} {
			t.Run(fmt.Sprint(c.name, ", ", n, " balancers"), func(t *testing.T) {
				for _, of := range []struct {
					servers int
					rate    float64
					keys    int
				}{{1, 5, 0}, {2, 5, 0}, {2, 15, 300}, {4, 40, 0}} {
					for seed := range uint64(seeds) {
						f := newSlowStartCluster(seed, n, of.servers, of.rate, c.skew, of.keys)
						c.run(f)
						if most, _ := f.most(); most > 1 {
							t.Errorf("%d servers that take %v a second, seed %d: %.2f of what one in slow start may get in a window",
								of.servers, of.rate, seed, most)
						}
					}
				}
			})
		}
	}
}

// Tokens that expire are not lost to an endpoint that is asked for: with ample traffic it gets as much as
// from balancers that save up (0.14 and 0.12 of N, three times what it can do), with little a part of it.
func TestSlowStartServerWarmsUp(t *testing.T) {
	for _, of := range []struct {
		balancers, servers int
		rate, least        float64
	}{{20, 4, 40, 0.14}, {30, 4, 40, 0.12}, {30, 2, 5, 0.05}} {
		sum := 0.0
		for seed := range uint64(6) {
			f := newSlowStartCluster(seed, of.balancers, of.servers, of.rate, 0, 0)
			ramps[0].run(f)
			_, got := f.most()
			sum += got / 6
		}
		if sum < of.least {
			t.Errorf("%d balancers, %d servers that take %v a second: one in slow start got %.2f of its budget, want %.2f",
				of.balancers, of.servers, of.rate, sum, of.least)
		}
	}
}

// A token lasts for a time, is one at the most, and the next comes when it would have come without it,
// whatever the traffic: one each 100 µs, for 30.
func TestSlowStartTokensExpire(t *testing.T) {
	k := expiringTokenBucket{tokens: 0.5}
	for _, at := range []struct {
		now  int64
		want bool
	}{{0, false}, {49, false}, {51, true}, {79, true}, {81, false}, {149, false}, {151, true}, {351, true}, {399, false}} {
		if got := k.take(at.now, 0.01, 30); got != at.want {
			t.Errorf("at %d: holds one: %v, want %v", at.now, got, at.want)
		}
	}
	k.take(451, 0.01, 30)
	if k.tokens--; k.take(452, 0.01, 30) {
		t.Error("it is spent twice")
	}
	if !k.take(551, 0.01, 30) {
		t.Error("the next does not come at its time")
	}
	if k.take(10_000_049, 0.01, 300); k.tokens > 2 { // holds for longer than it takes to earn one
		t.Errorf("%v tokens after a lull, want one and a part", k.tokens)
	}
}
