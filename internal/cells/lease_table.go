package cells

import (
	"maps"
	"slices"

	"damsonscale/internal/takeover"
)

// maxLeaseSpan returns how long a lease may last by any member's clock, counted by the leader's: clocks may differ by 2% in speed.
func maxLeaseSpan(lease int64) int64 { return lease + lease/50 }

// LeaseTable is what a cell's leader knows of the leases that it granted. It is made anew for each term. Times are µs by the leader's clock.
type LeaseTable struct {
	LeaseMicros  int64
	lastGrant    map[takeover.Member]int64
	relinquished map[takeover.Member]bool
	fault        InjectedFault
}

// NewLeaseTable returns the table of a term.
func NewLeaseTable(leaseMicros int64, f InjectedFault) *LeaseTable {
	return &LeaseTable{LeaseMicros: leaseMicros, lastGrant: map[takeover.Member]int64{}, relinquished: map[takeover.Member]bool{}, fault: f}
}

// Clone returns a copy.
func (t *LeaseTable) Clone() *LeaseTable {
	c := *t
	c.lastGrant, c.relinquished = maps.Clone(t.lastGrant), maps.Clone(t.relinquished)
	return &c
}

// Grant reports whether a member that acts on a version of the settings gets a lease, and notes it. The log must have all that was agreed before a
// quorum confirmed, after the request came, that this is the leader.
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

// MarkRelinquished notes that a member has said that it acts no more as this incarnation.
func (t *LeaseTable) MarkRelinquished(m takeover.Member) { t.relinquished[m] = true }

// expired reports whether no lease of a member can be valid by any clock. Of a member without a grant in this term an earlier leader may have
// granted one until now.
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

// DueEntries returns the entries that the leader is to propose now: evictions, departures, and the seal.
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

// forgetNonMembers drops what is known of processes that were evicted.
func (t *LeaseTable) forgetNonMembers(l *Log) {
	for m := range t.lastGrant {
		if !l.IsMember(m) {
			delete(t.lastGrant, m)
			delete(t.relinquished, m)
		}
	}
}

// EncodedBytes returns the length of the table, encoded.
func (t *LeaseTable) EncodedBytes() (n int) {
	for m := range t.lastGrant {
		n += len(m.Name) + 16
	}
	return n + 16
}
