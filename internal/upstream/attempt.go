package upstream

import (
	"context"
	"time"

	"damsonscale/decide"
	"damsonscale/internal/memory"
)

// Attempt is one transmission of a request to one server, or a health check. Its exported fields must not change once it
// is offered to an endpoint.
type Attempt struct {
	Host             string // the server's name in the endpoint list
	Message          *Message
	AuditRef         []byte // reference to the audit event of this attempt, sent to the server; may be empty
	Gate             *Gate
	DecidedAt        time.Time     // time of the balancer's decision to send the attempt
	Deadline         time.Time     // time at which the attempt times out; if zero, TimeoutAfterBody applies
	TimeoutAfterBody time.Duration // timeout that starts after the last byte of a streamed request body
	LatestStart      time.Time     // time from which the first byte may no longer be written; zero means no limit
	CountsMemory     bool          // whether the attempt reserves its AttemptBytes itself; otherwise its request has reserved them

	// OnStream receives a response that is streamed. The attempt's goroutine calls it. If it is nil, all responses are
	// buffered.
	OnStream func(*Attempt, *Stream)

	// OnDone receives the result. The endpoint's goroutine calls it once.
	OnDone func(*Attempt, AttemptResult)

	ctx    context.Context
	cancel context.CancelCauseFunc
	timer  *time.Timer
}

// AttemptResult is the result of an attempt.
type AttemptResult struct {
	Reason        EndReason
	ObservedAt    time.Time           // time at which the response or the attempt ended; for a streamed response, when OnStream was called
	NewConnection bool                // whether the attempt needed a new connection
	Body          []byte              // body of a complete buffered response
	Memory        *memory.Reservation // what Body takes; the receiver releases it; may be nil
	ContentType   []byte              // value of the response's Content-Type header; nil unless the status is 200
	Load          *decide.LoadReport  // nil if the response has no load report
	BodySentAt    time.Time           // time after the last byte of a streamed request body was written; zero if no body was streamed
	BodyConsumed  bool                // whether part of a streamed request body was read, so that the body can't be sent again
}

// Cancel cancels the attempt. It never blocks.
func (a *Attempt) Cancel() { a.cancel(context.Canceled) }

// startTimer creates the attempt's context and, if the attempt has a deadline, starts its timer.
func (a *Attempt) startTimer() {
	a.ctx, a.cancel = context.WithCancelCause(context.Background())
	if !a.Deadline.IsZero() {
		a.expireIn(time.Until(a.Deadline))
	}
}

// expireIn makes the attempt time out after the given duration.
func (a *Attempt) expireIn(timeout time.Duration) {
	a.timer = time.AfterFunc(timeout, func() { a.cancel(context.DeadlineExceeded) })
}

// stopTimer stops the attempt's timer. It returns false if the timer has fired.
func (a *Attempt) stopTimer() bool { return a.timer == nil || a.timer.Stop() }

// release frees the timer and the context.
func (a *Attempt) release() {
	a.stopTimer()
	a.cancel(context.Canceled)
}

// isCancelled reports whether the attempt was cancelled rather than timed out.
func (a *Attempt) isCancelled() bool { return context.Cause(a.ctx) == context.Canceled }

// interruptReason returns the end reason of an attempt whose context ended after the last byte of the request was written.
func (a *Attempt) interruptReason() EndReason {
	if a.isCancelled() {
		return Cancelled
	}
	return TimedOut
}
