package fleet

import (
	"sync/atomic"
	"time"

	"damsonscale/internal/takeover"
)

const (
	skew   = 0.02 // of a lease, by which two clocks may differ over it
	stalls = 6    // ticks without one, after which this process was stopped itself
)

// Lease is one incarnation's leave to act. It is valid for a time from when it was asked for, by this process's own clock.
type Lease struct {
	start time.Time // of the process: times are counted from here by the monotonic clock
	until atomic.Int64
	ended atomic.Bool
	over  chan struct{} // closed once the incarnation is out
	shut  *atomic.Bool  // while this process may not act by what it knows of the fleet's plan
	plant takeover.InjectedFault
}

// Done is closed once the incarnation is out for good.
func (l *Lease) Done() <-chan struct{} { return l.over }

func (l *Lease) end() {
	if l.ended.CompareAndSwap(false, true) && l.plant != takeover.IgnoreLease {
		close(l.over)
	}
}

// Valid tells whether this process may act now. Asked as late as can be before a byte goes out.
func (l *Lease) Valid() bool {
	if l.plant == takeover.IgnoreLease {
		return true
	}
	return !l.ended.Load() && !l.shut.Load() && int64(time.Since(l.start)) < l.until.Load()
}

// extend takes a grant for what was asked at a time.
func (l *Lease) extend(asked int64, by time.Duration) {
	l.until.Store(max(l.until.Load(), asked+int64(by)))
}

// grants is the leader's book of leases, without I/O: whom it gave one when, and who is to be put out.
type grants struct {
	lease  time.Duration
	since  time.Time // before it an earlier leader, or this one before a stall, may have granted unseen
	last   map[takeover.Member]time.Time
	outing map[takeover.Member]time.Time // put out, not agreed yet: gets none
	ticked time.Time
}

// reset begins a term, or begins again after a stall.
func (g *grants) reset(now time.Time) {
	g.since, g.last, g.outing = now, map[takeover.Member]time.Time{}, map[takeover.Member]time.Time{}
}

// tick notes that time has passed. Guards against a leader that was stopped, and takes all for silent whose asks wait for it.
func (g *grants) tick(now time.Time, every time.Duration) {
	if !g.ticked.IsZero() && now.Sub(g.ticked) > stalls*every {
		g.since = now
	}
	g.ticked = now
}

// grant tells whether a member may have a lease now, and notes that it has.
func (g *grants) grant(now time.Time, m takeover.Member) bool {
	if !g.outing[m].IsZero() {
		return false
	}
	g.last[m] = now
	return true
}

// due lists the members whose last lease is over by any clock: they are to be put out.
func (g *grants) due(now time.Time, r *roster) (out []takeover.Member) {
	for m := range g.last {
		if !r.lives(m) {
			delete(g.last, m)
			delete(g.outing, m)
		}
	}
	whole := g.lease + time.Duration(float64(g.lease)*skew)
	for _, s := range r.Seats {
		if g.last[s.Member].IsZero() { // it has joined just now, or this term has: guards against one that is out before it could ask
			g.last[s.Member] = now
		}
		at := g.since
		if last := g.last[s.Member]; last.After(at) {
			at = last
		}
		if was := g.outing[s.Member]; now.Sub(at) >= whole && (was.IsZero() || now.Sub(was) >= g.lease) {
			g.outing[s.Member] = now
			out = append(out, s.Member)
		}
	}
	return out
}
