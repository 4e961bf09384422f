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
	Request  decide.Request // Left is set when the module takes it
	Message  upstream.Message
	Deadline time.Time // when the client stops waiting

	gate     upstream.Gate
	answer   chan Answer // holds the one answer of the module
	attempts []*upstream.Attempt
	out      int       // attempts without their end
	answered bool      // by the module, or ended for it by Gone
	effectAt time.Time // when the first attempt that may have run was sent
}

// answerBefore is how long before the client's deadline the last answer leaves: lag of goroutines, the way
// back, and the client's own clock.
const (
	answerBefore = 12 * time.Millisecond
	giveUpBefore = 20 * time.Millisecond // when the module's own time for a request ends
)

// finish gives the call its answer, once.
func (c *Call) finish(a Answer) bool {
	if c.answered {
		return false
	}
	c.answered = true
	c.answer <- a
	return true
}
