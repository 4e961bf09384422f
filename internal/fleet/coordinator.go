package fleet

import (
	"context"
	"time"

	"damsonscale/internal/eventlog"
	"damsonscale/internal/fleet/protocol"
	"damsonscale/internal/takeover"
)

const (
	coordinatorMailboxSize = 4096
	countsInterval         = 10 * time.Second // interval of the log lines with the counts
	minTick                = time.Millisecond
	maxBatchMessages       = 256     // takeover messages in one frame
	maxBatchBytes          = 1 << 20 // bytes of requests and responses in one frame

	// stallThresholdMicros is the time in µs without an iteration of the coordinator's loop after which the process is taken to
	// have been suspended.
	stallThresholdMicros = 100_000
	// staleReadMicros is how long after a stall, in µs, the process may still read requests that arrived during the stall.
	staleReadMicros = 1_000_000
)

// coordinator runs the takeover protocol of this member. The goroutine of run owns the node and all requests in flight. Times
// are in µs since the start of the process.
type coordinator struct {
	fleet    *Fleet
	mailbox  chan coordinatorMessage
	node     *takeover.Node
	inFlight map[string]*inFlightRequest // by request id

	noQuorumUntil   int64 // until then strict requests are rejected without contacting the replicas
	lastIterationAt int64
	stallDetectedAt int64 // end of the latest stall of the process; 0: none
	counts          takeoverCounts
}

// takeoverCounts are numbers of requests since the start of the process, for the log.
type takeoverCounts struct{ begun, resumed, returned, unavailable, ownershipLost, takenOver, duplicates int64 }

func newCoordinator(f *Fleet) *coordinator {
	return &coordinator{
		fleet: f, mailbox: make(chan coordinatorMessage, coordinatorMailboxSize), node: takeover.New(f.takeoverConfig()),
		inFlight: map[string]*inFlightRequest{},
	}
}

// post sends a message to run's goroutine, or drops it if the mailbox is full.
func (c *coordinator) post(m coordinatorMessage) {
	select {
	case c.mailbox <- m:
	default:
	}
}

// run processes messages, ticks and the node's decisions until ctx ends.
func (c *coordinator) run(ctx context.Context) {
	ticker := time.NewTicker(max(time.Duration(c.fleet.resendInterval)*time.Microsecond/2, minTick))
	defer ticker.Stop()
	countsTicker := time.NewTicker(countsInterval)
	defer countsTicker.Stop()
	var logged takeoverCounts
	for c.lastIterationAt = c.fleet.micros(); ; c.flush() {
		select {
		case <-ctx.Done():
			return
		case m := <-c.mailbox:
			c.detectStall()
			m.handle(c, c.fleet.micros())
			c.drainMailbox()
		case <-ticker.C:
			c.detectStall()
			c.node.Tick(c.fleet.micros())
		case <-countsTicker.C:
			if c.counts != logged {
				logged = c.counts
				c.logCounts()
			}
		}
	}
}

// drainMailbox handles all queued messages, so that the replies to them share frames.
func (c *coordinator) drainMailbox() {
	for {
		select {
		case m := <-c.mailbox:
			m.handle(c, c.fleet.micros())
		default:
			return
		}
	}
}

func (c *coordinator) logCounts() {
	records, bytes := c.node.Usage()
	eventlog.Info(eventTakeoverCounts, "begun", c.counts.begun, "resumed", c.counts.resumed, "returned", c.counts.returned,
		"unavailable", c.counts.unavailable, "ownership_lost", c.counts.ownershipLost, "taken_over", c.counts.takenOver,
		"duplicates", c.counts.duplicates, "records", records, "bytes", bytes, "in_flight", len(c.inFlight))
}

// detectStall records the time of this iteration, and a stall if too much time has passed since the previous one.
func (c *coordinator) detectStall() {
	now := c.fleet.micros()
	if now-c.lastIterationAt > stallThresholdMicros {
		c.stallDetectedAt = now
	}
	c.lastIterationAt = now
}

// readsAreFresh reports whether requests are read without delay. Just after a stall a request may have waited unread, and its
// client may have resumed it at another member, so it must not be rejected.
func (c *coordinator) readsAreFresh(now int64) bool {
	return c.stallDetectedAt == 0 || now-c.stallDetectedAt > staleReadMicros
}

// flush processes the node's events and sends its messages.
func (c *coordinator) flush() {
	for events := c.node.TakeEvents(); len(events) > 0; events = c.node.TakeEvents() {
		for i := range events {
			c.handleEvent(&events[i])
		}
	}
	messages := c.node.TakeMessages()
	if len(messages) == 0 {
		return
	}
	batches := map[string][]takeover.Message{}
	for i := range messages {
		batches[messages[i].To] = append(batches[messages[i].To], messages[i].Message)
	}
	for name, batch := range batches {
		c.sendBatch(name, batch)
	}
}

// sendBatch sends messages to a member in as few frames as the bounds on a frame allow.
func (c *coordinator) sendBatch(name string, messages []takeover.Message) {
	for len(messages) > 0 {
		n, bytes := 0, 0
		for n < len(messages) && n < maxBatchMessages && bytes < maxBatchBytes {
			if rec := messages[n].Record; rec != nil {
				bytes += len(rec.Request) + len(rec.Response.Body)
			}
			n++
		}
		payload, err := c.fleet.codec.Marshal(messages[:n])
		if err != nil {
			eventlog.Warn(eventEncodeFailed, err, "to", name)
		} else {
			c.fleet.send(name, protocol.KindTakeover, payload)
		}
		messages = messages[n:]
	}
}

// begin accepts a client's request. Its outcome is sent to waiter.
func (c *coordinator) begin(now int64, r takeover.Request, waiter chan takeover.Outcome, execute func(takeover.SendPermit) takeover.Result) {
	if existing := c.inFlight[r.ID]; existing != nil {
		switch {
		case existing.request.Digest != r.Digest:
			waiter <- takeover.Outcome{Kind: takeover.OutcomeIDConflict}
		case !r.Resume:
			waiter <- takeover.Outcome{Kind: takeover.OutcomeInFlight}
		default:
			existing.waiters = append(existing.waiters, waiter)
		}
		return
	}
	c.inFlight[r.ID] = &inFlightRequest{request: r, execute: execute, waiters: []chan takeover.Outcome{waiter}, lease: c.fleet.lease.Load()}
	rec := takeover.Record{ID: r.ID, Class: r.Class, Idempotency: r.Idempotency, Digest: r.Digest, DeadlineAge: r.Timeout.Microseconds()}
	if len(r.Stored.Head) > 0 {
		encoded, err := c.fleet.codec.Marshal(r.Stored)
		if err != nil { // without the stored request, only the client can have it sent again
			eventlog.Warn(eventRequestNotStored, err, "id", r.ID)
		}
		rec.Request = encoded
	}
	switch {
	case r.Resume:
		c.counts.resumed++
		c.node.Resume(now, rec)
	case r.Strict && now < c.noQuorumUntil && c.readsAreFresh(now):
		c.handleEvent(&takeover.Event{Decision: takeover.QuorumUnavailable, ID: r.ID, Record: rec, NeverSent: true, NoReplicaAsked: true})
	default:
		c.counts.begun++
		c.node.Begin(now, rec)
	}
}

// removeWaiter removes a client that has disconnected. A request without further waiters is dropped unless it is executing.
func (c *coordinator) removeWaiter(id string, waiter chan takeover.Outcome) {
	r := c.inFlight[id]
	if r == nil {
		return
	}
	if r.removeWaiter(waiter) && !r.executing && c.node.IsPreparing(id) {
		c.node.Drop(id)
		delete(c.inFlight, id)
	}
}

// isExecuting reports whether a request is executing here for a waiter. It queries run's goroutine.
func (c *coordinator) isExecuting(id string, waiter chan takeover.Outcome) bool {
	answer := make(chan bool, 1)
	c.mailbox <- executingQuery{id, waiter, answer}
	return <-answer
}
