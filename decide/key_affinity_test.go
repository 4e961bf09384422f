package decide

import (
	"fmt"
	"maps"
	"testing"
)

// Two balancers with the same endpoint list prefer the same replica for a key.
func TestBalancersAgreeOnPreferredReplica(t *testing.T) {
	set := testSettings()
	set.KeyAffinity = true
	w, other := newWorkload(t, set, testEndpoints(9)...), newWorkload(t, set, testEndpoints(9)...)
	seen := map[string]bool{}
	for i := range 200 {
		key := fmt.Sprint("key", i)
		a, b := w.b.preferredReplica(&request{affinityHash: hash(key) | 1}), other.b.preferredReplica(&request{affinityHash: hash(key) | 1})
		if a.ID != b.ID {
			t.Fatalf("preferred replica of %s: %s at one balancer and %s at the other, want the same", key, a.ID, b.ID)
		}
		seen[a.ID] = true
	}
	if len(seen) != 9 {
		t.Errorf("200 keys have preferred replicas on %d endpoints, want all 9", len(seen))
	}
}

// Of ten equal endpoints the preferred one has the weight 20 and the others together 9, so its draw
// probability is 0.93*20/29 + 0.07/10 = 0.648379.
func TestPreferredReplicaWeighsTwiceTheSubset(t *testing.T) {
	set := testSettings()
	set.KeyAffinity = true
	w := newWorkload(t, set, testEndpoints(10)...)
	r := newPlainRequest(w.b)
	r.affinityHash = hash("key") | 1
	preferred := w.b.preferredReplica(r)
	for range 100 {
		if s, p := w.b.drawEndpoint(w.now, r); s == preferred {
			assertNear(t, "draw probability of the preferred replica", p, 0.93*20/29+0.07/10, 1e-9)
			return
		}
	}
	t.Error("the preferred replica was not drawn in 100 draws")
}

// With 50 endpoints, a key with a tenth of 2,000 requests gets 1 + 2*50*200/2020 = 10 replicas, a key with
// two requests has one replica, and balancers with different seeds agree on the replicas.
func TestHotKeyHasSeveralReplicas(t *testing.T) {
	set := testSettings()
	set.KeyAffinity = true
	balancers := newCluster(2, set, 0, testEndpoints(50)).balancers // each with its own seed
	replicas := [2]map[string]bool{{}, {}}
	for j, b := range balancers {
		for i := range 2000 {
			key := fmt.Sprint("k", i/2)
			if i%10 == 0 {
				key = "hot"
			}
			if s := b.preferredReplica(&request{affinityHash: b.affinityReplica(key)}); key == "hot" && i >= 1000 {
				replicas[j][s.ID] = true
			}
		}
	}
	if n := len(replicas[0]); n < 5 || n > 11 {
		t.Errorf("the hot key has %d replicas, want 5 to 11", n)
	}
	if !maps.Equal(replicas[0], replicas[1]) {
		t.Errorf("replicas of the hot key: %v at one balancer and %v at the other, want the same", replicas[0], replicas[1])
	}
	if a, b := balancers[0].affinityReplica("once"), balancers[0].affinityReplica("once"); a != b {
		t.Error("a key with two requests has two replicas, want one")
	}
}
