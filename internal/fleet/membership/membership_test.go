package membership

import (
	"testing"

	"damsonscale/internal/takeover"
)

// member is a member of that name and incarnation.
func member(name string, n uint64) takeover.Member {
	return takeover.Member{Name: name, Incarnation: n}
}

// The epoch counts changes, and neither a duplicate nor a late change has an effect.
func TestMembershipAppliesEachChangeOnce(t *testing.T) {
	m, a1, a2 := &Membership{}, member("a", 1), member("a", 2)
	for i, c := range []struct {
		change   Change
		epoch    uint64
		isMember bool // after it
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
			t.Fatalf("change %d: %+v of %+v", i, next, old)
		}
		m = next
	}
	v := m.View()
	if s := v.Members[a2]; len(v.Members) != 1 || s.JoinedEpoch != 2 || s.FirstIncarnation ||
		m.AddressOf("a", "configured") != "x:1" || m.AddressOf("b", "configured") != "configured" {
		t.Fatalf("%+v", v)
	}
	for _, invalid := range []*Membership{
		{Epoch: 1, Members: []JoinedMember{{Member: a1, JoinedEpoch: 2}}},
		{Epoch: 1, Members: []JoinedMember{{}}},
		{Epoch: 1, Members: []JoinedMember{{Member: a1}, {Member: a1}}},
	} {
		if invalid.Validate() == nil {
			t.Errorf("accepted: %+v", invalid)
		}
	}
}
