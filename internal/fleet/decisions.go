package fleet

import (
	"time"

	"damsonscale/internal/eventlog"
	"damsonscale/internal/takeover"
)

// Reasons in final responses. Clients and tests read them.
const (
	reasonNoQuorum = "no custody"
	reasonUnknown  = "may have run: nobody can say"
)

// leasePollInterval is between looks at a lease that is not valid at the moment.
const leasePollInterval = 2 * time.Millisecond

// carryOut carries out one decision of the node.
func (c *coordinator) carryOut(e *takeover.Event) {
	r := c.inFlight[e.ID]
	if r == nil && e.Decision != takeover.OwnerEvicted {
		return
	}
	switch e.Decision {
	case takeover.Execute:
		c.noQuorumUntil = 0
		permit := takeover.SendPermit{Lease: r.lease}
		if e.TakenOver {
			permit.PriorSendAge = priorSendAge(e)
			eventlog.Info(eventTakeoverStarted, "id", e.ID, "class", e.Record.Class, "idempotency", uint8(e.Record.Idempotency),
				"age_us", e.Record.Age, "client_waiting", len(r.waiters) > 0)
		}
		c.execute(r, permit)
	case takeover.ReturnStored:
		c.counts.returned++
		c.finish(r, takeover.Outcome{Response: e.Record.Response, Lease: c.fleet.lease.Load()})
	case takeover.QuorumUnavailable:
		c.onQuorumUnavailable(r, e)
	case takeover.DuplicateID:
		c.counts.duplicates++
		c.finish(r, takeover.Outcome{Kind: takeover.OutcomeIDConflict})
	case takeover.OwnershipLost: // an execution ends by the end of its lease
		c.counts.ownershipLost++
		c.finish(r, takeover.Outcome{Kind: takeover.OutcomeCloseConnection})
	case takeover.OwnerEvicted:
		c.takeOver(e)
	}
}

// onQuorumUnavailable sends, rejects or fails a request for which there is no quorum.
func (c *coordinator) onQuorumUnavailable(r *inFlightRequest, e *takeover.Event) {
	c.counts.unavailable++
	now := c.fleet.micros()
	if !e.Immediate && c.readsAreFresh(now) {
		c.noQuorumUntil = now + c.fleet.quorumTimeout
	}
	switch fallbackFor(&r.request, e) {
	case takeover.RejectRequest:
		if !c.readsAreFresh(now) {
			c.finish(r, takeover.Outcome{Kind: takeover.OutcomeCloseConnection})
			return
		}
		rejected := takeover.Response{Status: takeover.Rejected, RetryAfter: c.fleet.quorumTimeout, Reason: reasonNoQuorum}
		c.finish(r, takeover.Outcome{Response: rejected})
	case takeover.FailRequest:
		reason := reasonUnknown
		if e.NeverSent {
			reason = reasonNoQuorum
		}
		c.node.Drop(e.ID)
		failed := takeover.Response{Status: takeover.Failed, Reason: reason}
		c.finish(r, takeover.Outcome{Response: failed, Lease: c.fleet.lease.Load()})
	default:
		c.node.Drop(e.ID)
		var permit takeover.SendPermit
		if !e.NeverSent {
			permit.PriorSendAge = priorSendAge(e)
		}
		c.execute(r, permit)
	}
}

// fallbackFor tells what to do with a request for which there is no quorum. One that is idempotent by key, but not for as long as
// its timeout at every server, is treated as strict: two members that don't know of each other might both send it.
func fallbackFor(r *takeover.Request, e *takeover.Event) takeover.Fallback {
	fallback := e.Fallback(r.Strict)
	if fallback != takeover.SendWithoutRecord || r.Idempotency != takeover.IdempotentByKey || r.DedupWindow >= r.Timeout {
		return fallback
	}
	if fallback = e.Fallback(true); fallback == takeover.SendWithoutRecord {
		return takeover.FailRequest
	}
	return fallback
}

// priorSendAge is how long ago another member may have sent a request; never 0, which means that none has.
func priorSendAge(e *takeover.Event) time.Duration {
	return max(1, time.Duration(e.Record.Age)*time.Microsecond)
}

// execute starts the execution of a request, in a goroutine of its own.
func (c *coordinator) execute(r *inFlightRequest, permit takeover.SendPermit) {
	if r.executing {
		return
	}
	r.executing = true
	go func() {
		result := r.execute(permit)
		if permit.Lease != nil {
			c.awaitLease(permit.Lease)
		}
		c.mailbox <- executionEnded{r, permit.Lease, result}
	}()
}

// onExecuted stores the response of an execution, if this member still owns the request, and returns it to those who wait.
func (c *coordinator) onExecuted(now int64, r *inFlightRequest, lease takeover.Lease, result takeover.Result) {
	id := r.request.ID
	if c.inFlight[id] != r {
		c.discard(result.LiveResponse)
		return
	}
	if lease == nil || lease.Valid() {
		c.node.Complete(now, id, result.Response)
	}
	c.finish(r, takeover.Outcome{Response: result.Response, LiveResponse: result.LiveResponse, Lease: lease})
}

// awaitLease waits for a lease that is not valid at the moment until it is, or has ended. An owner that remains a member must not
// drop a response for want of a lease, since nobody else may take the request over.
func (c *coordinator) awaitLease(lease takeover.Lease) {
	end := time.Now().Add(2 * c.fleet.options.Fleet.LeaseDuration)
	for !lease.Valid() && time.Now().Before(end) {
		select {
		case <-lease.Done():
			return
		case <-time.After(leasePollInterval):
		}
	}
}

// finish ends a request that is in flight with an outcome for all that wait for it.
func (c *coordinator) finish(r *inFlightRequest, o takeover.Outcome) {
	delete(c.inFlight, r.request.ID)
	c.discard(r.finish(o))
}

func (c *coordinator) discard(live any) {
	if live != nil {
		c.fleet.hooks.DiscardResponse(live)
	}
}

// takeOver resumes a request that an evicted member was permitted to send, without its client.
func (c *coordinator) takeOver(e *takeover.Event) {
	if c.inFlight[e.ID] != nil {
		return
	}
	rec := e.Record
	var stored takeover.StoredRequest
	var execute func(takeover.SendPermit) takeover.Result
	err := c.fleet.codec.Unmarshal(rec.Request, &stored)
	if err == nil {
		execute, err = c.fleet.hooks.ResumeOrphan(&rec, &stored)
	}
	if err != nil {
		eventlog.Warn(eventTakeoverFailed, err, "id", rec.ID)
		return
	}
	c.counts.takenOver++
	request := takeover.Request{ID: rec.ID, Class: rec.Class, Idempotency: rec.Idempotency, Digest: rec.Digest, Resume: true}
	c.inFlight[e.ID] = &inFlightRequest{request: request, execute: execute, lease: c.fleet.lease.Load()}
	c.node.Resume(c.fleet.micros(), rec)
}
