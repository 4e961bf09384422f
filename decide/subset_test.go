package decide

import (
	"slices"
	"testing"
)

// 1,000 balancers and 200 endpoints leave minSubset endpoints to each; all subsets together have an endpoint
// 15 times, so none is without and none has over three times that. With two balancers every endpoint is in
// both subsets.
func TestSubsetsCoverAllEndpointsEvenly(t *testing.T) {
	c := newCluster(1000, testSettings(), 0, testEndpoints(200))
	subsetsWith := map[string]int{}
	for _, b := range c.balancers {
		if len(b.subset) != minSubset {
			t.Fatalf("%d in the subset, want %d", len(b.subset), minSubset)
		}
		for _, s := range b.subset {
			subsetsWith[s.ID]++
		}
	}
	for _, s := range testEndpoints(200) {
		if n := subsetsWith[s.ID]; n < 1 || n > 45 {
			t.Errorf("%s is an arm of %d balancers, want 15 or so", s.ID, n)
		}
	}
	if b := newCluster(2, testSettings(), 0, testEndpoints(12)).balancers[0]; len(b.subset) != 12 {
		t.Errorf("%d endpoints in the subset of 12 servers at two balancers, want all", len(b.subset))
	}
}

// An ejected endpoint is replaced by the next of the balancer's order and comes back to its place; a change
// of the list far away in the order moves none.
func TestEjectedEndpointIsReplacedInSubset(t *testing.T) {
	b := newCluster(1000, testSettings(), 0, testEndpoints(200)).balancers[0]
	now, original := 1000*second, slices.Clone(b.subset)
	for _, s := range original[1:] {
		s.successesThisSecond, s.lastSuccessAt = 1, now
	}
	ejectFromAllClasses(b, now, original[0], TimedOut)
	if n := len(b.subset); n != len(original)+1 || !slices.Equal(b.subset[:len(original)], original) {
		t.Errorf("%d in the subset after one fell ill, want the same and one more", n)
	}
	b.restore(now, original[0], 0)
	b.OnEndpoints(now, []Endpoint{{ID: b.endpoints[100].ID, Capacity: 1, Phase: Removed}}, false)
	if !slices.Equal(b.subset, original) {
		t.Error("the subset is not the same after the return and a change elsewhere")
	}
}

// However long the list, the subset stays small with gossip, since each draw looks at what all balancers have
// in flight at each endpoint.
func TestSubsetStaysSmallWithGossip(t *testing.T) {
	set := testSettings()
	set.EndpointsPushed, set.Limits.Gossip, set.BalancerCount = true, true, 400
	b := New(set, 1, noActions{})
	for servers, want := range map[int]int{57: 2, 119: 4, 436: 8} {
		b.OnEndpoints(1000*second, testEndpoints(servers), true)
		if got := b.subsetSize(); got != want {
			t.Errorf("%d servers: subset of %d, want %d", servers, got, want)
		}
	}
}

// More traffic wants a larger subset, a smaller one where open connections have a price.
func TestSubsetSizeFollowsTrafficAndConnectionPrice(t *testing.T) {
	for _, c := range []struct {
		price, rate float64
		want        int
	}{{0, 40, 10}, {0.04, 40, 3}, {0.04, 160, 10}, {0, 1, 3}} {
		set := testSettings()
		set.ConnectionPrice, set.BalancerCount = c.price, 1000
		w := newWorkload(t, set, testEndpoints(60)...)
		if w.b.rates.requests = c.rate; w.b.subsetSize() != c.want {
			t.Errorf("price %v, %v requests a second: subset of %d, want %d", c.price, c.rate, w.b.subsetSize(), c.want)
		}
	}
}
