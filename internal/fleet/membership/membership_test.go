package membership

import (
	"testing"

	"damsonscale/internal/takeover"
)

// member returns a member with a name and an incarnation.
func member(name string, n uint64) takeover.Member {
	return takeover.Member{Name: name, Incarnation: n}
}

// Each effective change increments the epoch by one. A duplicate or late change has no effect, and no change modifies the old
// membership.
func TestMembershipAppliesEachChangeOnce(t *testing.T) {
	m, a1, a2 := &Membership{}, member("a", 1), member("a", 2)
	for i, c := range []struct {
		change   Change
		epoch    uint64
		isMember bool // whether the change's member is a member after it
	}{
		{Change{Member: a1}, 1, true},
		{Change{Member: a1}, 1, true},
		{Change{Member: a2, Address: "x:1"}, 2, true},
		{Change{Evict: true, Member: a1}, 3, false},
		{Change{Evict: true, Member: a1}, 3, false},
		{Change{Member: a1}, 3, false}, // a late join of an evicted member
		{Change{Evict: true, Member: member("b", 1)}, 3, false},
	} {
		old := *m
		next := m.Apply(&c.change, nil)
		if next.Epoch != c.epoch || next.Contains(c.change.Member) != c.isMember || m.Epoch != old.Epoch || len(m.Members) != len(old.Members) {
			t.Fatalf("change %d: got %+v from %+v", i, next, old)
		}
		m = next
	}
	v := m.View()
	if s := v.Members[a2]; len(v.Members) != 1 || s.JoinedEpoch != 2 || s.FirstIncarnation ||
		m.AddressOf("a", "configured") != "x:1" || m.AddressOf("b", "configured") != "configured" {
		t.Fatalf("got view %+v, want only %v, joined at epoch 2, not its first incarnation, at address x:1", v, a2)
	}
	for _, invalid := range []*Membership{
		{Epoch: 1, Members: []JoinedMember{{Member: a1, JoinedEpoch: 2}}},
		{Epoch: 1, Members: []JoinedMember{{}}},
		{Epoch: 1, Members: []JoinedMember{{Member: a1}, {Member: a1}}},
	} {
		if invalid.Validate() == nil {
			t.Errorf("Validate accepted the invalid membership %+v", invalid)
		}
	}
}
