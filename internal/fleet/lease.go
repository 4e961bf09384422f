package fleet

import (
	"sync/atomic"
	"time"

	"damsonscale/internal/takeover"
)

// Lease is an incarnation's permission to act. Its duration counts from the time of the request, by this process's own clock.
// Its methods may be called from any goroutine.
type Lease struct {
	start      time.Time    // start of the process; the origin of times, by the monotonic clock
	validUntil atomic.Int64 // ns since start; 0: never granted
	ended      atomic.Bool
	done       chan struct{} // closed when the lease ends
	excluded   *atomic.Bool  // the latest known rollout plan does not let this process act
	fault      takeover.InjectedFault
}

// Done returns a channel that is closed when the lease ends permanently.
func (l *Lease) Done() <-chan struct{} { return l.done }

func (l *Lease) end() {
	if l.ended.CompareAndSwap(false, true) && l.fault != takeover.IgnoreLease {
		close(l.done)
	}
}

// Valid reports whether this process may act now. Callers check it immediately before they write bytes.
func (l *Lease) Valid() bool {
	if l.fault == takeover.IgnoreLease {
		return true
	}
	return !l.ended.Load() && !l.excluded.Load() && int64(time.Since(l.start)) < l.validUntil.Load()
}

// extend applies a grant for a request made at requestedAt, in ns since start. A late grant of an older request has no effect.
func (l *Lease) extend(requestedAt int64, duration time.Duration) {
	l.validUntil.Store(max(l.validUntil.Load(), requestedAt+int64(duration)))
}
