package membership

import (
	"time"

	"damsonscale/internal/takeover"
)

const (
	// clockSkew is the share of a lease by which two clocks may differ over it.
	clockSkew = 0.02
	// stallThresholdTicks without one mean that this process was stopped itself.
	stallThresholdTicks = 6
)

// leaseTable is a leader's knowledge of the leases that may be valid. It does no I/O; times are the leader's own clock.
type leaseTable struct {
	duration           time.Duration
	unknownGrantsUntil time.Time // until then an earlier leader, or this one before a stall, may have granted leases that are not known here
	lastGrant          map[takeover.Member]time.Time
	evicting           map[takeover.Member]time.Time // since when an eviction is proposed; such a member gets no lease
	lastTick           time.Time
}

// reset begins a term.
func (t *leaseTable) reset(now time.Time) {
	t.unknownGrantsUntil, t.lastGrant, t.evicting = now, map[takeover.Member]time.Time{}, map[takeover.Member]time.Time{}
}

// recordTick notes that time has passed. After a stall of this process, requests that wait for it are not yet known: leases are
// counted from then on.
func (t *leaseTable) recordTick(now time.Time, interval time.Duration) {
	if !t.lastTick.IsZero() && now.Sub(t.lastTick) > stallThresholdTicks*interval {
		t.unknownGrantsUntil = now
	}
	t.lastTick = now
}

// grant reports whether a member may have a lease now, and notes that it got one.
func (t *leaseTable) grant(now time.Time, m takeover.Member) bool {
	if !t.evicting[m].IsZero() {
		return false
	}
	t.lastGrant[m] = now
	return true
}

// expired lists the members whose last lease is over by any clock, and notes that their eviction is proposed. One whose
// eviction was not agreed within a lease is listed again.
func (t *leaseTable) expired(now time.Time, membership *Membership) (members []takeover.Member) {
	for m := range t.lastGrant {
		if !membership.Contains(m) {
			delete(t.lastGrant, m)
			delete(t.evicting, m)
		}
	}
	longest := t.duration + time.Duration(float64(t.duration)*clockSkew)
	for _, j := range membership.Members {
		if t.lastGrant[j.Member].IsZero() { // joined just now, or the term has just begun: it gets the time to ask
			t.lastGrant[j.Member] = now
		}
		from := t.unknownGrantsUntil
		if last := t.lastGrant[j.Member]; last.After(from) {
			from = last
		}
		proposed := t.evicting[j.Member]
		if now.Sub(from) >= longest && (proposed.IsZero() || now.Sub(proposed) >= t.duration) {
			t.evicting[j.Member] = now
			members = append(members, j.Member)
		}
	}
	return members
}
