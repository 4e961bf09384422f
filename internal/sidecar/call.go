package sidecar

import (
	"time"

	"damsonscale/decide"
	"damsonscale/internal/auditevent"
	"damsonscale/internal/upstream"
)

// Verdict is the kind of a final answer.
type Verdict uint8

const (
	Served    Verdict = iota
	Refused           // no, and a new try is harmless
	Failed            // failed, nothing promised
	Duplicate         // another request of this id is not answered yet
	Late              // the time was up before the module said anything
)

// Answer is a request's final answer.
type Answer struct {
	Verdict     Verdict
	Body        []byte
	Stream      *upstream.Stream // with Served, where the body is not held; it must be closed
	ContentType []byte
	RetryAfter  time.Duration              // with Refused; 0: no advice
	Under       auditevent.ConfigVersionID // the version that it was decided by, where an account is kept
}

// Call is one request of the client, taken and owed one final answer.
type Call struct {
	Request decide.Request // Left is set when the module takes it
	Message upstream.Message

	// Whole is called once a body that is not held has come to its end, and returns what is closed when the client leaves.
	Whole func() <-chan struct{}

	settings *decide.Settings // that it was admitted under
	class    *decide.Class    // as it was then
	left     time.Duration    // from its last byte on
	giveUp   time.Time        // when the module's time for it ends; zero: its last byte has not come yet
	last     time.Time        // when it is answered, whatever the module does
	gate     upstream.Gate
	needs    bool          // it is answered at once where the gate has no leave; else it waits for that
	answer   chan Answer   // holds the one answer of the module
	gone     chan struct{} // closed by the actor when an attempt has found that the client left
	attempts []*upstream.Attempt
	out      int       // attempts without their end
	answered bool      // by the module, or ended for it by Gone
	effectAt time.Time // when the first attempt that may have run was sent
}

// How long before the client's deadline the module's time for a request ends, and the last answer leaves
// whatever the module does: goroutines lag and the way back takes time. Short deadlines give up a part.
const (
	giveUpBefore, giveUpPart = 20 * time.Millisecond, 8
	answerBefore, answerPart = 12 * time.Millisecond, 14
)

// longestBody is how long a body that is not held may keep coming, however steadily.
const longestBody = 15 * time.Minute

// NewCall makes a call of a request that had come by a time, under settings, and is to be answered within left. Where
// a part of its body is not held its time counts from the last byte of that.
func NewCall(set *decide.Settings, r decide.Request, m upstream.Message, came time.Time, left time.Duration) *Call {
	c := &Call{
		Request: r, Message: m, settings: set, class: &set.Classes[r.Class], answer: make(chan Answer, 1),
		gone: make(chan struct{}), left: left,
	}
	if m.Rest != nil {
		c.Request.BodyUnbuffered, c.last = true, came.Add(longestBody)
		return c
	}
	c.giveUp, c.last = came.Add(c.wait()), c.lastAfter(came)
	return c
}

// Needs has the call taken and sent only while leave says so, and answered at once where it does not.
func (c *Call) Needs(leave func() bool) { c.gate.Leave, c.needs = leave, true }

// Abandon has the call given up, with nothing sent, where hungUp says right before an attempt that the client has left. It
// must not block.
func (c *Call) Abandon(hungUp func() bool) { c.gate.HungUp = hungUp }

// may tells whether this process has the leave that the call needs.
func (c *Call) may() bool { return !c.needs || c.gate.May() }

// Under has the call sent only while leave says so. former is the time since another sidecar may have sent it; 0: none has.
func (c *Call) Under(leave func() bool, former time.Duration) {
	c.gate.Leave = leave
	if former > 0 {
		c.Request.PriorAttemptAge = max(1, former.Microseconds())
		c.effectAt = time.Now().Add(-former)
	}
}

// wait is the module's time for it.
func (c *Call) wait() time.Duration { return c.left - min(giveUpBefore, c.left/giveUpPart) }

func (c *Call) lastAfter(came time.Time) time.Time {
	return came.Add(c.left - min(answerBefore, c.left/answerPart))
}

// Left is the time from now until it is answered whatever the module does.
func (c *Call) Left(now time.Time) time.Duration { return c.last.Sub(now) }

// finish gives the call its answer, once.
func (c *Call) finish(a Answer) bool {
	if c.answered {
		return false
	}
	c.answered = true
	c.answer <- a
	return true
}

// dropAnswer ends an answer that nobody takes any more. Guards against a stream that waits for its reader for good.
func (c *Call) dropAnswer() {
	select {
	case a := <-c.answer:
		if a.Stream != nil {
			a.Stream.Close()
		}
	default:
	}
}
