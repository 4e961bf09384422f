package membership

import (
	"time"

	"damsonscale/internal/takeover"
)

const (
	// clockSkew is the fraction of a lease's duration by which two clocks may drift apart during a lease.
	clockSkew = 0.02
	// stallThresholdTicks is the number of missed tick intervals after which this process is taken to have been suspended.
	stallThresholdTicks = 6
)

// leaseTable is a leader's record of the leases that may be valid. It does no I/O; times are by the leader's own clock.
type leaseTable struct {
	duration           time.Duration
	unknownGrantsUntil time.Time // an earlier leader, or this one before a stall, may have granted unrecorded leases until then
	lastGrant          map[takeover.Member]time.Time
	evicting           map[takeover.Member]time.Time // when the eviction was proposed; such a member gets no lease
	lastTick           time.Time
}

// reset clears the table at the start of a leader's term.
func (t *leaseTable) reset(now time.Time) {
	t.unknownGrantsUntil, t.lastGrant, t.evicting = now, map[takeover.Member]time.Time{}, map[takeover.Member]time.Time{}
}

// recordTick records the time of a tick. After a stall of this process lease requests may still wait unread, so no member is
// evicted before a full lease has passed since the stall.
func (t *leaseTable) recordTick(now time.Time, interval time.Duration) {
	if !t.lastTick.IsZero() && now.Sub(t.lastTick) > stallThresholdTicks*interval {
		t.unknownGrantsUntil = now
	}
	t.lastTick = now
}

// grant reports whether a member may get a lease now, and if so records the grant.
func (t *leaseTable) grant(now time.Time, m takeover.Member) bool {
	if !t.evicting[m].IsZero() {
		return false
	}
	t.lastGrant[m] = now
	return true
}

// expired returns the members whose last lease has expired by any clock, and records that their eviction is proposed. A member
// whose eviction was not committed within a lease's duration is returned again.
func (t *leaseTable) expired(now time.Time, membership *Membership) (members []takeover.Member) {
	for m := range t.lastGrant {
		if !membership.Contains(m) {
			delete(t.lastGrant, m)
			delete(t.evicting, m)
		}
	}
	longest := t.duration + time.Duration(float64(t.duration)*clockSkew)
	for _, j := range membership.Members {
		if t.lastGrant[j.Member].IsZero() { // just joined, or the term has just begun: allow a full lease to send a request
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
