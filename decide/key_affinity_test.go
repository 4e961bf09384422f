package decide

import (
	"fmt"
	"maps"
	"testing"
)

// Every balancer with the same list sends a key to the same home, each with its own seed.
func TestPreferredReplicasAgree(t *testing.T) {
	set := testSettings()
	set.KeyAffinity = true
	w, other := newWorkload(t, set, testEndpoints(9)...), newWorkload(t, set, testEndpoints(9)...)
	seen := map[string]bool{}
	for i := range 200 {
		key := fmt.Sprint("key", i)
		a, b := w.b.preferredReplica(&request{affinityHash: hash(key) | 1}), other.b.preferredReplica(&request{affinityHash: hash(key) | 1})
		if a.ID != b.ID {
			t.Fatalf("%s is at home at %s and at %s", key, a.ID, b.ID)
		}
		seen[a.ID] = true
	}
	if len(seen) != 9 {
		t.Errorf("200 keys have homes on %d of 9 servers", len(seen))
	}
}

// The failure: a home weighed 300 times a server, which three arms never outweighed: a slow home kept its keys at every
// balancer. By hand, ten equal arms of which one is home: it weighs 20 beside 9, p = 0.93*20/29 + 0.07/10 = 0.648379.
func TestPreferredReplicaWeighsTwiceTheSubset(t *testing.T) {
	set := testSettings()
	set.KeyAffinity = true
	w := newWorkload(t, set, testEndpoints(10)...)
	r := newPlainRequest(w.b)
	r.affinityHash = hash("key") | 1
	home := w.b.preferredReplica(r)
	for range 100 {
		if s, p := w.b.drawEndpoint(w.now, r); s == home {
			assertNear(t, "p of the home", p, 0.93*20/29+0.07/10, 1e-9)
			return
		}
	}
	t.Error("the home was never drawn")
}

// The failure: at 687 balancers a key asked for in a tenth of all requests had one home, which all of them flooded.
// By hand: with a tenth of 2,000 requests at 50 servers it gets 1 + 2*50*200/2020 = 10 homes; a key asked for twice
// keeps one, and balancers agree on them.
func TestHotKeyHasSeveralReplicas(t *testing.T) {
	set := testSettings()
	set.KeyAffinity = true
	bs := newCluster(2, set, 0, testEndpoints(50)).bs // each with its own seed
	homes := [2]map[string]bool{{}, {}}
	for j, b := range bs {
		for i := range 2000 {
			key := fmt.Sprint("k", i/2)
			if i%10 == 0 {
				key = "hot"
			}
			if s := b.preferredReplica(&request{affinityHash: b.affinityReplica(key)}); key == "hot" && i >= 1000 {
				homes[j][s.ID] = true
			}
		}
	}
	if n := len(homes[0]); n < 5 || n > 11 {
		t.Errorf("the hot key has %d homes, want 5 to 11", n)
	}
	if !maps.Equal(homes[0], homes[1]) {
		t.Errorf("one balancer has the hot key at home at %v, the other at %v", homes[0], homes[1])
	}
	if a, b := bs[0].affinityReplica("once"), bs[0].affinityReplica("once"); a != b {
		t.Error("a rare key has two homes")
	}
}
