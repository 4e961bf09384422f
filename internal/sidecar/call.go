package sidecar

import (
	"time"

	"damsonscale/decide"
	"damsonscale/internal/auditevent"
	"damsonscale/internal/upstream"
)

// Status is the kind of a final answer.
type Status uint8

const (
	Served           Status = iota
	Rejected                // no, and a new try is harmless
	Failed                  // failed, nothing promised
	DuplicateID             // another request of this id is not answered yet
	DeadlineExceeded        // the time was up before the module said anything
)

// Response is a request's final answer.
type Response struct {
	Status        Status
	Body          []byte
	Stream        *upstream.Stream // with Served, where the body is not held; it must be closed
	ContentType   []byte
	RetryAfter    time.Duration              // with Refused; 0: no advice
	ConfigVersion auditevent.ConfigVersionID // the version that it was decided by, where an account is kept
}

// Call is one request of the client, taken and owed one final answer.
type Call struct {
	Request decide.Request // Left is set when the module takes it
	Message upstream.Message

	// Whole is called once a body that is not held has come to its end, and returns what is closed when the client leaves.
	OnBodyComplete func() <-chan struct{}

	settings         *decide.Settings // that it was admitted under
	class            *decide.Class    // as it was then
	timeout          time.Duration    // from its last byte on
	decisionDeadline time.Time        // when the module's time for it ends; zero: its last byte has not come yet
	responseDeadline time.Time        // when it is answered, whatever the module does
	gate             upstream.Gate
	leaseRequired    bool          // it is answered at once where the gate has no leave; else it waits for that
	response         chan Response // holds the one answer of the module
	disconnected     chan struct{} // closed by the actor when an attempt has found that the client left
	attempts         []*upstream.Attempt
	inFlight         int       // attempts without their end
	answered         bool      // by the module, or ended for it by Gone
	firstEffectAt    time.Time // when the first attempt that may have run was sent
}

// How long before the client's deadline the module's time for a request ends, and the last answer leaves
// whatever the module does: goroutines lag and the way back takes time. Short deadlines give up a part.
const (
	decisionMargin, decisionMarginPart = 20 * time.Millisecond, 8
	responseMargin, responseMarginPart = 12 * time.Millisecond, 14
)

// maxBodyDuration is how long a body that is not held may keep coming, however steadily.
const maxBodyDuration = 15 * time.Minute

// NewCall makes a call of a request that had come by a time, under settings, and is to be answered within left. Where
// a part of its body is not held its time counts from the last byte of that.
func NewCall(set *decide.Settings, r decide.Request, m upstream.Message, came time.Time, left time.Duration) *Call {
	c := &Call{
		Request: r, Message: m, settings: set, class: &set.Classes[r.Class], response: make(chan Response, 1),
		disconnected: make(chan struct{}), timeout: left,
	}
	if m.Remainder != nil {
		c.Request.BodyUnbuffered, c.responseDeadline = true, came.Add(maxBodyDuration)
		return c
	}
	c.decisionDeadline, c.responseDeadline = came.Add(c.decisionTime()), c.responseDeadlineFrom(came)
	return c
}

// RequireLease has the call taken and sent only while leave says so, and answered at once where it does not.
func (c *Call) RequireLease(leave func() bool) { c.gate.LeaseValid, c.leaseRequired = leave, true }

// SetDisconnectCheck has the call given up, with nothing sent, where hungUp says right before an attempt that the client has left. It
// must not block.
func (c *Call) SetDisconnectCheck(hungUp func() bool) { c.gate.IsDisconnected = hungUp }

// leaseHeld tells whether this process has the leave that the call needs.
func (c *Call) leaseHeld() bool { return !c.leaseRequired || c.gate.MaySend() }

// UseLease has the call sent only while leave says so. former is the time since another sidecar may have sent it; 0: none has.
func (c *Call) UseLease(leave func() bool, former time.Duration) {
	c.gate.LeaseValid = leave
	if former > 0 {
		c.Request.PriorAttemptAge = max(1, former.Microseconds())
		c.firstEffectAt = time.Now().Add(-former)
	}
}

// decisionTime is the module's time for it.
func (c *Call) decisionTime() time.Duration {
	return c.timeout - min(decisionMargin, c.timeout/decisionMarginPart)
}

func (c *Call) responseDeadlineFrom(came time.Time) time.Time {
	return came.Add(c.timeout - min(responseMargin, c.timeout/responseMarginPart))
}

// TimeLeft is the time from now until it is answered whatever the module does.
func (c *Call) TimeLeft(now time.Time) time.Duration { return c.responseDeadline.Sub(now) }

// respond gives the call its answer, once.
func (c *Call) respond(a Response) bool {
	if c.answered {
		return false
	}
	c.answered = true
	c.response <- a
	return true
}

// discardResponse ends an answer that nobody takes any more. Guards against a stream that waits for its reader for good.
func (c *Call) discardResponse() {
	select {
	case a := <-c.response:
		if a.Stream != nil {
			a.Stream.Close()
		}
	default:
	}
}
