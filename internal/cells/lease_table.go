package cells

import (
	"maps"
	"slices"

	"damsonscale/internal/takeover"
)

// maxLeaseSpan returns the longest time, by the leader's clock, that a lease may be valid by a member's clock. Clock rates may differ by 2%.
func maxLeaseSpan(lease int64) int64 { return lease + lease/50 }

// LeaseTable is the leader's record of the leases that it has granted to members of its cell. Each term starts with a new table. Times are µs
// by the leader's clock.
type LeaseTable struct {
	LeaseMicros  int64
	lastGrant    map[takeover.Member]int64 // time of the last grant, or of the first check if this leader has granted none
	relinquished map[takeover.Member]bool
	fault        InjectedFault
}

// NewLeaseTable returns an empty table for a new term.
func NewLeaseTable(leaseMicros int64, f InjectedFault) *LeaseTable {
	return &LeaseTable{LeaseMicros: leaseMicros, lastGrant: map[takeover.Member]int64{}, relinquished: map[takeover.Member]bool{}, fault: f}
}

// Clone returns a copy.
func (t *LeaseTable) Clone() *LeaseTable {
	c := *t
	c.lastGrant, c.relinquished = maps.Clone(t.lastGrant), maps.Clone(t.relinquished)
	return &c
}

// Grant reports whether a member gets a lease, and records the grant. activeSettings is the number of the settings that the member acts on. The
// caller must first get a quorum's confirmation, after the request arrived, that it is the leader, and l must have all entries committed
// before that confirmation.
func (t *LeaseTable) Grant(now int64, l *Log, m takeover.Member, activeSettings uint64) bool {
	s := l.record().Slot(m.Name)
	if !l.IsMember(m) || l.Sealed || s == nil || t.relinquished[m] || activeSettings < l.LastUpdate.Global.Fence {
		return false
	}
	if l.record().leaving(s) && (t.fault != LeaseWhileSealing || len(l.record().Successors) == 0) {
		return false
	}
	t.lastGrant[m] = now
	return true
}

// MarkRelinquished records that an incarnation of a member has given up its leases.
func (t *LeaseTable) MarkRelinquished(m takeover.Member) { t.relinquished[m] = true }

// expired reports whether no lease of a member can be valid by any clock. If this leader has not granted the member a lease, an earlier leader
// may have granted one up to the first call, so the time counts from that call.
func (t *LeaseTable) expired(now int64, m takeover.Member) bool {
	if t.relinquished[m] {
		return true
	}
	granted, ok := t.lastGrant[m]
	if !ok {
		t.lastGrant[m] = now
		return false
	}
	return now-granted >= maxLeaseSpan(t.LeaseMicros)
}

// DueEntries returns the evictions and departures, or the seal, that the leader must propose now.
func (t *LeaseTable) DueEntries(now int64, l *Log) (due []Entry) {
	if l.Sealed {
		return nil
	}
	t.forgetNonMembers(l)
	expired, allExpired := map[takeover.Member]bool{}, true
	for _, m := range l.membersOf("") {
		expired[m] = t.expired(now, m)
		allExpired = allExpired && expired[m]
	}
	p := l.record()
	if len(p.Successors) > 0 {
		if allExpired || t.fault == LeaseWhileSealing {
			return []Entry{{Kind: Seal}}
		}
		return nil
	}
	leaving := map[string]bool{}
	for i := range p.Slots {
		s := &p.Slots[i]
		if !p.leaving(s) || l.Departures[s.Name].MoveIndex == s.ToMoveIndex {
			continue
		}
		leaving[s.Name] = true
		if t.fault == EarlyDeparture || !slices.ContainsFunc(l.membersOf(s.Name), func(m takeover.Member) bool { return !expired[m] }) {
			due = append(due, Entry{Kind: Depart, Member: takeover.Member{Name: s.Name}, MoveIndex: s.ToMoveIndex})
		}
	}
	for _, m := range l.membersOf("") {
		if expired[m] && !leaving[m.Name] {
			due = append(due, Entry{Kind: Evict, Member: m})
		}
	}
	return due
}

// forgetNonMembers drops the state of evicted processes.
func (t *LeaseTable) forgetNonMembers(l *Log) {
	for m := range t.lastGrant {
		if !l.IsMember(m) {
			delete(t.lastGrant, m)
			delete(t.relinquished, m)
		}
	}
}

// EncodedBytes returns the approximate size of the encoded table in bytes.
func (t *LeaseTable) EncodedBytes() (n int) {
	for m := range t.lastGrant {
		n += len(m.Name) + 16
	}
	return n + 16
}
