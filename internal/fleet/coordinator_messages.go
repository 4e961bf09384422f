package fleet

import "damsonscale/internal/takeover"

// coordinatorMessage is work for the coordinator's goroutine. now is the time of processing.
type coordinatorMessage interface {
	handle(c *coordinator, now int64)
}

// beginRequest carries a client's request. Its outcome is sent to waiter.
type beginRequest struct {
	request takeover.Request
	waiter  chan takeover.Outcome
	execute func(takeover.SendPermit) takeover.Result
}

func (m beginRequest) handle(c *coordinator, now int64) { c.begin(now, m.request, m.waiter, m.execute) }

// waiterLeft reports that a client no longer waits for the outcome of its request.
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

// freshReadsQuery asks whether requests are read without delay; see readsAreFresh.
type freshReadsQuery struct{ answer chan bool }

func (m freshReadsQuery) handle(c *coordinator, now int64) { m.answer <- c.readsAreFresh(now) }

// executionEnded carries the result of an execution, and the lease that permitted it.
type executionEnded struct {
	request *inFlightRequest
	lease   takeover.Lease
	result  takeover.Result
}

func (m executionEnded) handle(c *coordinator, now int64) {
	c.onExecuted(now, m.request, m.lease, m.result)
}

// messagesReceived carries messages of another member. done is closed once they are handled.
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

// viewChanged carries a newer membership.
type viewChanged struct{ view *takeover.View }

func (m viewChanged) handle(c *coordinator, now int64) { c.node.ApplyView(now, m.view) }

// rejoined reports that this process has a new incarnation.
type rejoined struct{ self takeover.Member }

func (m rejoined) handle(c *coordinator, _ int64) { c.node.Rejoin(m.self) }
