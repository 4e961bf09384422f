package fleet

import (
	"sync/atomic"
	"time"

	"damsonscale/internal/takeover"
)

const (
	clockSkew    = 0.02 // of a lease, by which two clocks may differ over it
	stalledTicks = 6    // ticks without one, after which this process was stopped itself
)

// Lease is one incarnation's leave to act. It is valid for a time from when it was asked for, by this process's own clock.
type Lease struct {
	start      time.Time // of the process: times are counted from here by the monotonic clock
	validUntil atomic.Int64
	ended      atomic.Bool
	done       chan struct{} // closed once the incarnation is out
	excluded   *atomic.Bool  // while this process may not act by what it knows of the fleet's plan
	fault      takeover.InjectedFault
}

// Done is closed once the incarnation is out for good.
func (l *Lease) Done() <-chan struct{} { return l.done }

func (l *Lease) end() {
	if l.ended.CompareAndSwap(false, true) && l.fault != takeover.IgnoreLease {
		close(l.done)
	}
}

// Valid tells whether this process may act now. Asked as late as can be before a byte goes out.
func (l *Lease) Valid() bool {
	if l.fault == takeover.IgnoreLease {
		return true
	}
	return !l.ended.Load() && !l.excluded.Load() && int64(time.Since(l.start)) < l.validUntil.Load()
}

// extend takes a grant for what was asked at a time.
func (l *Lease) extend(asked int64, by time.Duration) {
	l.validUntil.Store(max(l.validUntil.Load(), asked+int64(by)))
}

// leaseTable is the leader's book of leases, without I/O: whom it gave one when, and who is to be put out.
type leaseTable struct {
	duration  time.Duration
	countFrom time.Time // before it an earlier leader, or this one before a stall, may have granted unseen
	lastGrant map[takeover.Member]time.Time
	evicting  map[takeover.Member]time.Time // put out, not agreed yet: gets none
	lastTick  time.Time
}

// reset begins a term, or begins again after a stall.
func (g *leaseTable) reset(now time.Time) {
	g.countFrom, g.lastGrant, g.evicting = now, map[takeover.Member]time.Time{}, map[takeover.Member]time.Time{}
}

// noteTick notes that time has passed. Guards against a leader that was stopped, and takes all for silent whose asks wait for it.
func (g *leaseTable) noteTick(now time.Time, every time.Duration) {
	if !g.lastTick.IsZero() && now.Sub(g.lastTick) > stalledTicks*every {
		g.countFrom = now
	}
	g.lastTick = now
}

// grant tells whether a member may have a lease now, and notes that it has.
func (g *leaseTable) grant(now time.Time, m takeover.Member) bool {
	if !g.evicting[m].IsZero() {
		return false
	}
	g.lastGrant[m] = now
	return true
}

// expired lists the members whose last lease is over by any clock: they are to be put out.
func (g *leaseTable) expired(now time.Time, r *Membership) (out []takeover.Member) {
	for m := range g.lastGrant {
		if !r.Contains(m) {
			delete(g.lastGrant, m)
			delete(g.evicting, m)
		}
	}
	whole := g.duration + time.Duration(float64(g.duration)*clockSkew)
	for _, s := range r.Members {
		if g.lastGrant[s.Member].IsZero() { // it has joined just now, or this term has: guards against one that is out before it could ask
			g.lastGrant[s.Member] = now
		}
		at := g.countFrom
		if last := g.lastGrant[s.Member]; last.After(at) {
			at = last
		}
		if was := g.evicting[s.Member]; now.Sub(at) >= whole && (was.IsZero() || now.Sub(was) >= g.duration) {
			g.evicting[s.Member] = now
			out = append(out, s.Member)
		}
	}
	return out
}
