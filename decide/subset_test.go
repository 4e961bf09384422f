package decide

import (
	"slices"
	"testing"
)

// With 1,000 balancers and 200 endpoints each balancer has minSubset endpoints. An endpoint is in 15 subsets
// on average, in one at least, and in at most three times the average. With two balancers every endpoint is
// in both subsets.
func TestSubsetsCoverAllEndpointsEvenly(t *testing.T) {
	c := newCluster(1000, testSettings(), 0, testEndpoints(200))
	subsetsWith := map[string]int{}
	for _, b := range c.balancers {
		if len(b.subset) != minSubset {
			t.Fatalf("subset of %d endpoints, want %d", len(b.subset), minSubset)
		}
		for _, s := range b.subset {
			subsetsWith[s.ID]++
		}
	}
	for _, s := range testEndpoints(200) {
		if n := subsetsWith[s.ID]; n < 1 || n > 45 {
			t.Errorf("endpoint %s is in the subsets of %d balancers, want about 15 (1 to 45)", s.ID, n)
		}
	}
	if b := newCluster(2, testSettings(), 0, testEndpoints(12)).balancers[0]; len(b.subset) != 12 {
		t.Errorf("subset of %d of 12 endpoints with two balancers, want all", len(b.subset))
	}
}

// An ejected endpoint is replaced by the next one in the balancer's order and returns to its place when it is
// restored. A change of the list elsewhere in the order moves no endpoint of the subset.
func TestEjectedEndpointIsReplacedInSubset(t *testing.T) {
	b := newCluster(1000, testSettings(), 0, testEndpoints(200)).balancers[0]
	now, original := 1000*second, slices.Clone(b.subset)
	for _, s := range original[1:] {
		s.successesThisSecond, s.lastSuccessAt = 1, now
	}
	ejectFromAllClasses(b, now, original[0], TimedOut)
	if n := len(b.subset); n != len(original)+1 || !slices.Equal(b.subset[:len(original)], original) {
		t.Errorf("subset of %d endpoints after an ejection, want the previous endpoints and one more", n)
	}
	b.restore(now, original[0], 0)
	b.OnEndpoints(now, []Endpoint{{ID: b.endpoints[100].ID, Capacity: 1, Phase: Removed}}, false)
	if !slices.Equal(b.subset, original) {
		t.Error("the subset differs after the endpoint was restored and the list changed elsewhere")
	}
}

// With gossip the subset stays small for any length of the list, since each draw reads what all balancers
// have in flight at each endpoint.
func TestSubsetStaysSmallWithGossip(t *testing.T) {
	set := testSettings()
	set.EndpointsPushed, set.Limits.Gossip, set.BalancerCount = true, true, 400
	b := New(set, 1, noActions{})
	for servers, want := range map[int]int{57: 2, 119: 4, 436: 8} {
		b.OnEndpoints(1000*second, testEndpoints(servers), true)
		if got := b.subsetSize(); got != want {
			t.Errorf("%d endpoints: subset of %d, want %d", servers, got, want)
		}
	}
}

// More traffic needs a larger subset. A price of open connections makes it smaller.
func TestSubsetSizeFollowsTrafficAndConnectionPrice(t *testing.T) {
	for _, c := range []struct {
		price, rate float64
		want        int
	}{{0, 40, 10}, {0.04, 40, 3}, {0.04, 160, 10}, {0, 1, 3}} {
		set := testSettings()
		set.ConnectionPrice, set.BalancerCount = c.price, 1000
		w := newWorkload(t, set, testEndpoints(60)...)
		if w.b.rates.requests = c.rate; w.b.subsetSize() != c.want {
			t.Errorf("price %v and %v requests per second: subset of %d, want %d", c.price, c.rate, w.b.subsetSize(), c.want)
		}
	}
}
