package upstream

import (
	"context"
	"time"

	"damsonscale/decide"
)

// Attempt is one send of a request to one server, or a health check. Its exported fields must not change once it is offered
// to a peer.
type Attempt struct {
	Host             string
	Message          *Message
	AuditRef         []byte // sent to the server, names the audit event of this attempt; empty: none
	Gate             *Gate
	DecidedAt        time.Time               // when the balancer decided to send it
	Deadline         time.Time               // when the attempt times out; zero: TimeoutAfterBody counts
	TimeoutAfterBody time.Duration           // from the last byte of a body that is not buffered
	LatestStart      time.Time               // when even a first byte would be too late; zero: never
	OnStream         func(*Attempt, *Stream) // called by the attempt's goroutine with a response that is not buffered; nil: all are
	OnDone           func(*Attempt, AttemptResult)

	ctx    context.Context
	cancel context.CancelCauseFunc
	timer  *time.Timer
}

// AttemptResult is how an attempt ended.
type AttemptResult struct {
	Reason        EndReason
	ObservedAt    time.Time // the end of the response or of the attempt; for a stream its beginning
	NewConnection bool      // a connection was opened for it
	Body          []byte    // with Answered, where the response was buffered
	ContentType   []byte
	Load          *decide.LoadReport // nil: none
	BodySentAt    time.Time          // when the last byte of a body that is not buffered had been written; zero: no such body
	BodyConsumed  bool               // a part of a body that is not buffered was read: it can't be sent again
}

// Cancel cancels the attempt. It never blocks.
func (a *Attempt) Cancel() { a.cancel(context.Canceled) }

// startTimer starts the attempt's clock, where it has a deadline from the start.
func (a *Attempt) startTimer() {
	a.ctx, a.cancel = context.WithCancelCause(context.Background())
	if !a.Deadline.IsZero() {
		a.expireIn(time.Until(a.Deadline))
	}
}

// expireIn has the attempt time out after a time.
func (a *Attempt) expireIn(timeout time.Duration) {
	a.timer = time.AfterFunc(timeout, func() { a.cancel(context.DeadlineExceeded) })
}

// stopTimer stops the attempt's clock; false: it has run out.
func (a *Attempt) stopTimer() bool { return a.timer == nil || a.timer.Stop() }

// release frees the timer and the context.
func (a *Attempt) release() {
	a.stopTimer()
	a.cancel(context.Canceled)
}

// isCancelled reports whether the attempt was cancelled, and not timed out.
func (a *Attempt) isCancelled() bool { return context.Cause(a.ctx) == context.Canceled }

// interruptReason returns the reason of an attempt whose context ended after the last byte was written.
func (a *Attempt) interruptReason() EndReason {
	if a.isCancelled() {
		return Cancelled
	}
	return TimedOut
}
