package sidecar

import (
	"time"

	"damsonscale/decide"
	"damsonscale/internal/auditevent"
	"damsonscale/internal/upstream"
)

// Status is the kind of a response.
type Status uint8

// The kinds of a response. Package frontend maps them to HTTP.
const (
	Served           Status = iota // a server's response
	Rejected                       // no effect: a retry is harmless
	Failed                         // an attempt may have had an effect
	DuplicateID                    // another request of this id is in flight
	DeadlineExceeded               // the client left, the deadline passed or the process exits before there was a response; it may have been executed
)

// Response is the final response to a request.
type Response struct {
	Status        Status
	Body          []byte
	Stream        *upstream.Stream // with Served, where the body is passed on as it comes; the receiver must close it
	ContentType   []byte
	RetryAfter    time.Duration              // with Rejected; 0: no advice
	ConfigVersion auditevent.ConfigVersionID // the configuration that it was decided under, where there is an audit trail
}

// Call is a request of a client, which gets exactly one response. Unexported fields without another remark belong to the
// actor once the call is given to Do.
type Call struct {
	Request decide.Request // its TimeLeft is set by the actor
	Message upstream.Message

	// OnBodyComplete is called once a body that is not buffered has been read to its end. The channel that it returns is
	// closed when the client disconnects.
	OnBodyComplete func() <-chan struct{}

	settings         *decide.Settings // that Request's class and tenant are indices into
	class            *decide.Class    // as of those settings
	timeout          time.Duration    // from the request's last byte on
	decisionDeadline time.Time        // when the balancer's time for it ends; zero: its last byte has not come yet
	responseDeadline time.Time        // when Do returns, whatever the balancer does
	gate             upstream.Gate
	leaseRequired    bool          // without the lease it is answered at once; otherwise it waits for the lease
	response         chan Response // holds the one response of the actor
	disconnected     chan struct{} // closed by the actor when an attempt has found that the client left
	attempts         []*upstream.Attempt
	inFlight         int       // attempts without their end
	responded        bool      // by the actor, or ended by the client
	firstEffectAt    time.Time // when the first attempt that may have run was sent; zero: none may have
}

// Margins before the client's deadline, for scheduling delays and the way back; short deadlines give up a part instead.
const (
	decisionMargin, decisionMarginPart = 20 * time.Millisecond, 8  // the balancer's time ends: 20 ms, or 1/8 of the timeout
	responseMargin, responseMarginPart = 12 * time.Millisecond, 14 // Do returns: 12 ms, or 1/14 of the timeout
)

// maxBodyDuration is how long a body that is not buffered may keep coming, however steadily.
const maxBodyDuration = 15 * time.Minute

// NewCall returns a call for a request that was received at a time under settings, and is to be answered within timeout.
// Where a part of its body is not buffered the timeout counts from the last byte of that.
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

// RequireLease has the call admitted and sent only while valid reports that this process holds its lease, and answered at
// once where it does not.
func (c *Call) RequireLease(valid func() bool) { c.gate.LeaseValid, c.leaseRequired = valid, true }

// UseLease has the call sent only while valid reports that this process holds its lease. priorAttemptAge is the time since
// another sidecar may have sent it; 0: none has.
func (c *Call) UseLease(valid func() bool, priorAttemptAge time.Duration) {
	c.gate.LeaseValid = valid
	if priorAttemptAge > 0 {
		c.Request.PriorAttemptAge = max(1, priorAttemptAge.Microseconds())
		c.firstEffectAt = time.Now().Add(-priorAttemptAge)
	}
}

// SetDisconnectCheck has the call end without another attempt where isDisconnected reports, right before an attempt's
// first byte, that the client has left. It must not block.
func (c *Call) SetDisconnectCheck(isDisconnected func() bool) { c.gate.IsDisconnected = isDisconnected }

// leaseHeld reports whether this process holds the lease that the call requires, if any.
func (c *Call) leaseHeld() bool { return !c.leaseRequired || c.gate.LeaseHeld() }

// decisionTimeout is the balancer's time for the call.
func (c *Call) decisionTimeout() time.Duration {
	return c.timeout - min(decisionMargin, c.timeout/decisionMarginPart)
}

// responseDeadlineFrom is when Do returns at the latest for a request whose last byte came at a time.
func (c *Call) responseDeadlineFrom(receivedAt time.Time) time.Time {
	return receivedAt.Add(c.timeout - min(responseMargin, c.timeout/responseMarginPart))
}

// attemptDeadline is when an attempt with a timeout in µs ends: never past the balancer's time for the call.
func (c *Call) attemptDeadline(now time.Time, timeout int64) time.Time {
	if t := now.Add(time.Duration(timeout) * time.Microsecond); timeout > 0 && t.Before(c.decisionDeadline) {
		return t
	}
	return c.decisionDeadline
}

// TimeToResponseDeadline returns the time from now until Do returns at the latest.
func (c *Call) TimeToResponseDeadline(now time.Time) time.Duration {
	return c.responseDeadline.Sub(now)
}

// respond gives the call its response; false: it had one.
func (c *Call) respond(r Response) bool {
	if c.responded {
		return false
	}
	c.responded = true
	c.response <- r
	return true
}

// discardResponse closes the stream of a response that nobody takes any more: its attempt would wait for the reader.
func (c *Call) discardResponse() {
	select {
	case r := <-c.response:
		if r.Stream != nil {
			r.Stream.Close()
		}
	default:
	}
}
