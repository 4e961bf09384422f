package decide

import (
	"fmt"
	"maps"
	"testing"
)

// Every balancer with the same list prefers the same replica for a key, whatever its seed.
func TestBalancersAgreeOnPreferredReplica(t *testing.T) {
	set := testSettings()
	set.KeyAffinity = true
	w, other := newWorkload(t, set, testEndpoints(9)...), newWorkload(t, set, testEndpoints(9)...)
	seen := map[string]bool{}
	for i := range 200 {
		key := fmt.Sprint("key", i)
		a, b := w.b.preferredReplica(&request{affinityHash: hash(key) | 1}), other.b.preferredReplica(&request{affinityHash: hash(key) | 1})
		if a.ID != b.ID {
			t.Fatalf("%s is preferred at %s and at %s", key, a.ID, b.ID)
		}
		seen[a.ID] = true
	}
	if len(seen) != 9 {
		t.Errorf("200 keys have homes on %d of 9 servers", len(seen))
	}
}

// Of ten equal endpoints the preferred one weighs 20 beside 9, p = 0.93*20/29 + 0.07/10 = 0.648379.
func TestPreferredReplicaWeighsTwiceTheSubset(t *testing.T) {
	set := testSettings()
	set.KeyAffinity = true
	w := newWorkload(t, set, testEndpoints(10)...)
	r := newPlainRequest(w.b)
	r.affinityHash = hash("key") | 1
	preferred := w.b.preferredReplica(r)
	for range 100 {
		if s, p := w.b.drawEndpoint(w.now, r); s == preferred {
			assertNear(t, "p of the preferred replica", p, 0.93*20/29+0.07/10, 1e-9)
			return
		}
	}
	t.Error("the preferred replica was never drawn")
}

// A key with a tenth of 2,000 requests at 50 endpoints gets 1 + 2*50*200/2020 = 10 replicas; a key asked for
// twice has one, and balancers agree on them.
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
		t.Errorf("the hot key has %d homes, want 5 to 11", n)
	}
	if !maps.Equal(replicas[0], replicas[1]) {
		t.Errorf("one balancer has the hot key preferred at %v, the other at %v", replicas[0], replicas[1])
	}
	if a, b := balancers[0].affinityReplica("once"), balancers[0].affinityReplica("once"); a != b {
		t.Error("a rare key has two homes")
	}
}
