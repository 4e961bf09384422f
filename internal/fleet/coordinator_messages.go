package fleet

import "damsonscale/internal/takeover"

// coordinatorMessage is work for the coordinator's goroutine. now is the time at which it is done.
type coordinatorMessage interface {
	handle(c *coordinator, now int64)
}

// beginRequest brings a client's request. waiter gets its outcome.
type beginRequest struct {
	request takeover.Request
	waiter  chan takeover.Outcome
	execute func(takeover.SendPermit) takeover.Result
}

func (m beginRequest) handle(c *coordinator, now int64) { c.begin(now, m.request, m.waiter, m.execute) }

// waiterLeft tells that a client does not wait for its outcome any more.
type waiterLeft struct {
	id     string
	waiter chan takeover.Outcome
}

func (m waiterLeft) handle(c *coordinator, _ int64) { c.removeWaiter(m.id, m.waiter) }

// executingQuery asks whether a request is executing here for a waiter.
type executingQuery struct {
	id     string
	waiter chan takeover.Outcome
	answer chan bool
}

func (m executingQuery) handle(c *coordinator, _ int64) {
	r := c.inFlight[m.id]
	m.answer <- r != nil && r.executing && r.hasWaiter(m.waiter)
}

// freshReadsQuery asks whether requests are read when they come.
type freshReadsQuery struct{ answer chan bool }

func (m freshReadsQuery) handle(c *coordinator, now int64) { m.answer <- c.readsAreFresh(now) }

// executionEnded brings the result of an execution, and the lease under which it was permitted.
type executionEnded struct {
	request *inFlightRequest
	lease   takeover.Lease
	result  takeover.Result
}

func (m executionEnded) handle(c *coordinator, now int64) {
	c.onExecuted(now, m.request, m.lease, m.result)
}

// messagesReceived brings messages of another member. done is closed once they are handled.
type messagesReceived struct {
	from     takeover.Member
	messages []takeover.Message
	done     chan struct{}
}

func (m messagesReceived) handle(c *coordinator, now int64) {
	defer close(m.done)
	for i := range m.messages {
		c.node.Handle(now, m.from, &m.messages[i])
	}
}

// viewChanged brings a newer membership.
type viewChanged struct{ view *takeover.View }

func (m viewChanged) handle(c *coordinator, now int64) { c.node.ApplyView(now, m.view) }

// rejoined tells that this process has a new incarnation.
type rejoined struct{ self takeover.Member }

func (m rejoined) handle(c *coordinator, _ int64) { c.node.Rejoin(m.self) }
