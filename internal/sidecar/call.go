package sidecar

import (
	"time"

	"damsonscale/decide"
	"damsonscale/internal/auditevent"
	"damsonscale/internal/memory"
	"damsonscale/internal/upstream"
)

// Status is the outcome that a response reports.
type Status uint8

// The outcomes of a request. Package frontend maps them to HTTP.
const (
	Served           Status = iota // a server's response
	Rejected                       // the request had no effect: a retry is safe
	Failed                         // an attempt may have had an effect
	DuplicateID                    // another request with this id is in flight
	DeadlineExceeded               // no response before the deadline, disconnection or process exit; the request may have been executed
)

// Response is the final response to a request.
type Response struct {
	Status        Status
	Body          []byte
	Stream        *upstream.Stream // with Served, if the body is streamed: the receiver must close it; nil: the body is in Body
	ContentType   []byte
	Memory        *memory.Reservation        // what Body takes; the receiver releases it once the body is written; may be nil
	RetryAfter    time.Duration              // with Rejected: how long the client should wait before a retry; 0: not specified
	ConfigVersion auditevent.ConfigVersionID // the configuration under which the response was decided; 0 without an audit log
}

// Call is a request of a client, which gets exactly one response. After the call to Do the goroutine of Sidecar.Run owns
// the unexported fields, unless their comments say otherwise.
type Call struct {
	Request decide.Request // the Sidecar sets its TimeLeft
	Message upstream.Message

	// OnBodyComplete is called after an unbuffered body has been read to its end. It returns a channel that is closed when
	// the client disconnects.
	OnBodyComplete func() <-chan struct{}

	settings         *decide.Settings // the settings that the class and tenant indices of Request refer to
	class            *decide.Class    // the class of Request in settings
	timeout          time.Duration    // the client's timeout, counted from the last byte of the request
	decisionDeadline time.Time        // when the balancer's time for the call ends; zero: the body is not complete yet
	responseDeadline time.Time        // when Do returns at the latest, even if the balancer has not decided
	gate             upstream.Gate
	leaseRequired    bool          // true: without the lease the call is answered at once; false: the call waits for the lease
	response         chan Response // receives the one response
	disconnected     chan struct{} // closed when an attempt finds that the client has disconnected
	attempts         []*upstream.Attempt
	inFlight         int       // attempts that have not ended
	served           bool      // the response is a server's
	responded        bool      // the response has been decided, or the client has disconnected
	firstEffectAt    time.Time // when the first attempt that may have been executed was sent; zero: no attempt may have been executed
}

// Margins before the client's deadline, for scheduling delays and for the response's transfer to the client. A margin is at
// most the given fraction of the timeout: 1/8 and 1/14.
const (
	decisionMargin, decisionMarginPart = 20 * time.Millisecond, 8  // before the end of the balancer's time
	responseMargin, responseMarginPart = 12 * time.Millisecond, 14 // before the return of Do
)

// maxBodyDuration limits the time to receive an unbuffered body, even if its data arrives steadily.
const maxBodyDuration = 15 * time.Minute

// NewCall returns a call for a request that was received at receivedAt under settings. Its response is due within timeout,
// counted from receivedAt or, if the body is not completely buffered, from the last byte of the body.
func NewCall(settings *decide.Settings, r decide.Request, m upstream.Message, receivedAt time.Time, timeout time.Duration) *Call {
	c := &Call{
		Request: r, Message: m, settings: settings, class: &settings.Classes[r.Class], response: make(chan Response, 1),
		disconnected: make(chan struct{}), timeout: timeout,
	}
	if m.Remainder != nil {
		c.Request.BodyUnbuffered, c.responseDeadline = true, receivedAt.Add(maxBodyDuration)
		return c
	}
	c.decisionDeadline, c.responseDeadline = receivedAt.Add(c.decisionTimeout()), c.responseDeadlineFrom(receivedAt)
	return c
}

// RequireLease makes the call depend on a lease: it is admitted and sent only while valid reports that this process holds
// the lease. Without the lease it is answered at once.
func (c *Call) RequireLease(valid func() bool) { c.gate.LeaseValid, c.leaseRequired = valid, true }

// UseLease makes attempts depend on a lease: they are sent only while valid reports that this process holds the lease.
// priorAttemptAge is the time since another sidecar may have sent the request; 0: no other sidecar has sent it.
func (c *Call) UseLease(valid func() bool, priorAttemptAge time.Duration) {
	c.gate.LeaseValid = valid
	if priorAttemptAge > 0 {
		c.Request.PriorAttemptAge = max(1, priorAttemptAge.Microseconds())
		c.firstEffectAt = time.Now().Add(-priorAttemptAge)
	}
}

// SetDisconnectCheck sets a check for the client's disconnection that runs right before the first byte of an attempt. If it
// returns true the call ends and no further attempt is sent. isDisconnected must not block.
func (c *Call) SetDisconnectCheck(isDisconnected func() bool) { c.gate.IsDisconnected = isDisconnected }

// leaseHeld reports whether the call requires no lease or this process holds the required lease.
func (c *Call) leaseHeld() bool { return !c.leaseRequired || c.gate.LeaseHeld() }

// decisionTimeout returns the balancer's time for the call: timeout less the margin.
func (c *Call) decisionTimeout() time.Duration {
	return c.timeout - min(decisionMargin, c.timeout/decisionMarginPart)
}

// responseDeadlineFrom returns when Do returns at the latest, for a request whose last byte was received at receivedAt.
func (c *Call) responseDeadlineFrom(receivedAt time.Time) time.Time {
	return receivedAt.Add(c.timeout - min(responseMargin, c.timeout/responseMarginPart))
}

// attemptDeadline returns the deadline of an attempt with a timeout in µs, or decisionDeadline if that is earlier or
// timeout is 0.
func (c *Call) attemptDeadline(now time.Time, timeout int64) time.Time {
	if t := now.Add(time.Duration(timeout) * time.Microsecond); timeout > 0 && t.Before(c.decisionDeadline) {
		return t
	}
	return c.decisionDeadline
}

// TimeToResponseDeadline returns the time from now until Do must return.
func (c *Call) TimeToResponseDeadline(now time.Time) time.Duration {
	return c.responseDeadline.Sub(now)
}

// respond delivers the response of the call. It returns false if the call has a response already.
func (c *Call) respond(r Response) bool {
	if c.responded {
		return false
	}
	c.responded, c.served = true, r.Status == Served
	c.response <- r
	return true
}

// discardResponse closes the stream of a response that the client does not receive: its attempt would wait for a reader.
func (c *Call) discardResponse() {
	select {
	case r := <-c.response:
		r.Memory.Release()
		if r.Stream != nil {
			r.Stream.Close()
		}
	default:
	}
}
