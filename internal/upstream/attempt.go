package upstream

import (
	"context"
	"net"
	"strconv"
	"sync"
	"time"

	"damsonscale/decide"
	"damsonscale/internal/auditevent"
)

// Message is a request as it goes on: its bytes as they came, but for the fields that the sidecar owns.
type Message struct {
	Head      []byte // request line and headers without the closing empty line and without DeadlineHeader
	Body      []byte
	Remainder *BodyRemainder // of the body, which is not held; nil: Body is all of it
}

// isChunked tells whether the body goes on in chunks.
func (m *Message) isChunked() bool { return m.Remainder != nil && m.Remainder.BodyLength < 0 }

// DeadlineHeader tells a server how long the sidecar will wait.
const DeadlineHeader = "Req-Deadline-Ms"

// render makes the bytes of one attempt and tells how many they are. The body is not copied.
func (m *Message) render(left time.Duration, actor []byte) (parts net.Buffers, size int64) {
	head := make([]byte, 0, len(m.Head)+len(actor)+64)
	head = append(append(head, m.Head...), DeadlineHeader+": "...)
	head = strconv.AppendInt(head, max(1, left.Milliseconds()), 10)
	if len(actor) > 0 {
		head = append(append(head, "\r\n"+auditevent.RefHeader+": "...), actor...)
	}
	head = append(head, "\r\n\r\n"...)
	if m.isChunked() && len(m.Body) > 0 {
		head = append(strconv.AppendInt(head, int64(len(m.Body)), 16), "\r\n"...)
		return net.Buffers{head, m.Body, []byte("\r\n")}, int64(len(head) + len(m.Body) + 2)
	}
	return net.Buffers{head, m.Body}, int64(len(head) + len(m.Body))
}

// Gate stands between a request's attempts and its final answer: once closed, nothing more is written for it.
// Guards against an attempt that is written after the final answer because goroutines lag.
type Gate struct {
	LeaseValid     func() bool // asked before each write, where this process may lose its leave to send; nil: it may not
	IsDisconnected func() bool // asked right before an attempt's first byte: the client has left. It must not block; nil: nobody asks

	mu           sync.Mutex
	closed       bool
	disconnected bool // IsDisconnected has said so
}

// MaySend tells whether this process has leave to send.
func (g *Gate) MaySend() bool { return g.LeaseValid == nil || g.LeaseValid() }

// Close waits for a write under way and lets no other begin.
func (g *Gate) Close() {
	g.mu.Lock()
	g.closed = true
	g.mu.Unlock()
}

// Closed tells whether nothing more is written.
func (g *Gate) Closed() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.closed
}

// Disconnected tells that an attempt was not begun, and none will be, because the client had left.
func (g *Gate) Disconnected() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.disconnected
}

// closeIfDisconnected closes the gate where the client has left. Only a write that has passed may ask. Guards against an attempt that
// begins although its client has gone, because the goroutine that watches it lags, or its leaving stands behind bytes that
// nobody reads yet.
func (g *Gate) closeIfDisconnected() bool {
	if g.IsDisconnected != nil && g.IsDisconnected() {
		g.closed, g.disconnected = true, true
	}
	return g.disconnected
}

// ifOpen runs write unless the gate is closed or the leave is over.
func (g *Gate) ifOpen(write func()) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed || !g.MaySend() {
		return false
	}
	write()
	return true
}

// Attempt is one send to one server, or a probe.
type Attempt struct {
	Host             string
	Message          *Message
	AuditRef         []byte // tells the server whose act it is; empty: nothing
	Gate             *Gate
	DecidedAt        time.Time // when the decision was made
	Deadline         time.Time // when the wait ends; zero: Wait after the last byte of the body has gone
	TimeoutAfterBody time.Duration
	LatestStart      time.Time               // when even a first byte would be too late; zero: never
	OnStream         func(*Attempt, *Stream) // an answer begins that is not held; nil: all are
	OnDone           func(*Attempt, AttemptResult)

	ctx    context.Context
	cancel context.CancelCauseFunc
	timer  *time.Timer
}

// AttemptResult is what came of an attempt.
type AttemptResult struct {
	Reason        EndReason
	ObservedAt    time.Time
	NewConnection bool // a new connection was opened for it
	Body          []byte
	ContentType   []byte
	Load          *decide.LoadReport
	BodySentAt    time.Time // when the last byte of a body that was not held had gone; zero: at once
	BodyConsumed  bool      // a part of the body has gone that is not held: it can't be sent again
}

// Cancel calls an attempt back. It never blocks.
func (a *Attempt) Cancel() { a.cancel(context.Canceled) }

// startTimer starts the attempt's clock.
func (a *Attempt) startTimer() {
	a.ctx, a.cancel = context.WithCancelCause(context.Background())
	if !a.Deadline.IsZero() {
		a.expireIn(time.Until(a.Deadline))
	}
}

// expireIn ends the wait after a time.
func (a *Attempt) expireIn(in time.Duration) {
	a.timer = time.AfterFunc(in, func() { a.cancel(context.DeadlineExceeded) })
}

// stopTimer stops the attempt's clock; false: it has ended the wait.
func (a *Attempt) stopTimer() bool { return a.timer == nil || a.timer.Stop() }

// release frees what the clock holds.
func (a *Attempt) release() {
	a.stopTimer()
	a.cancel(context.Canceled)
}

// isCancelled tells that the attempt was called back.
func (a *Attempt) isCancelled() bool { return context.Cause(a.ctx) == context.Canceled }

// interruptReason tells why the context cut a wait, after the last byte was written.
func (a *Attempt) interruptReason() EndReason {
	if a.isCancelled() {
		return Cancelled
	}
	return TimedOut
}
