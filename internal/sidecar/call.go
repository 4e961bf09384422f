package sidecar

import (
	"time"

	"damsonscale/decide"
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
	ContentType []byte
	RetryAfter  time.Duration // with Refused; 0: no advice
}

// Call is one request of the client, taken and owed one final answer.
type Call struct {
	Request decide.Request // Left is set when the module takes it
	Message upstream.Message

	settings *decide.Settings // that it was admitted under
	class    *decide.Class    // as it was then
	giveUp   time.Time        // when the module's time for it ends
	last     time.Time        // when it is answered, whatever the module does
	gate     upstream.Gate
	answer   chan Answer // holds the one answer of the module
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

// NewCall makes a call of a request that had come by a time, under settings, and is to be answered within left.
func NewCall(set *decide.Settings, r decide.Request, m upstream.Message, came time.Time, left time.Duration) *Call {
	return &Call{
		Request: r, Message: m, settings: set, class: &set.Classes[r.Class], answer: make(chan Answer, 1),
		giveUp: came.Add(left - min(giveUpBefore, left/giveUpPart)),
		last:   came.Add(left - min(answerBefore, left/answerPart)),
	}
}

// finish gives the call its answer, once.
func (c *Call) finish(a Answer) bool {
	if c.answered {
		return false
	}
	c.answered = true
	c.answer <- a
	return true
}
