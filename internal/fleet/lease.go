package fleet

import (
	"sync/atomic"
	"time"

	"damsonscale/internal/takeover"
)

// Lease is one incarnation's permission to act. It lasts from the moment at which it was requested, by this process's own
// clock. Its methods may be called from any goroutine.
type Lease struct {
	start      time.Time    // of the process: times are counted from here by the monotonic clock
	validUntil atomic.Int64 // ns since start; 0: never granted
	ended      atomic.Bool
	done       chan struct{} // closed once the incarnation was evicted
	excluded   *atomic.Bool  // while the rollout plan, as far as it is known here, does not let this process act
	fault      takeover.InjectedFault
}

// Done is closed once the lease has ended for good.
func (l *Lease) Done() <-chan struct{} { return l.done }

func (l *Lease) end() {
	if l.ended.CompareAndSwap(false, true) && l.fault != takeover.IgnoreLease {
		close(l.done)
	}
}

// Valid reports whether this process may act now. It is called immediately before bytes are written.
func (l *Lease) Valid() bool {
	if l.fault == takeover.IgnoreLease {
		return true
	}
	return !l.ended.Load() && !l.excluded.Load() && int64(time.Since(l.start)) < l.validUntil.Load()
}

// extend takes a grant for a request of that time, in ns since start. An older grant that comes late changes nothing.
func (l *Lease) extend(requestedAt int64, duration time.Duration) {
	l.validUntil.Store(max(l.validUntil.Load(), requestedAt+int64(duration)))
}
