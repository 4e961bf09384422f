package fleet

import (
	"time"

	"damsonscale/internal/eventlog"
	"damsonscale/internal/takeover"
)

// Reasons in final responses. Clients and tests match them.
const (
	reasonNoQuorum       = "no custody"
	reasonOutcomeUnknown = "may have run: nobody can say"
)

// leasePollInterval is the interval of checks whether a lease has become valid again.
const leasePollInterval = 2 * time.Millisecond

// handleEvent acts on one decision of the node.
func (c *coordinator) handleEvent(e *takeover.Event) {
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
	case takeover.OwnershipLost: // an execution is aborted when its lease ends
		c.counts.ownershipLost++
		c.finish(r, takeover.Outcome{Kind: takeover.OutcomeCloseConnection})
	case takeover.OwnerEvicted:
		c.takeOver(e)
	}
}

// onQuorumUnavailable sends, rejects or fails a request whose record could not be stored at a quorum.
func (c *coordinator) onQuorumUnavailable(r *inFlightRequest, e *takeover.Event) {
	c.counts.unavailable++
	now := c.fleet.micros()
	if !e.NoReplicaAsked && c.readsAreFresh(now) {
		c.noQuorumUntil = now + c.fleet.quorumTimeout
	}
	switch fallbackFor(&r.request, e, c.fleet.MaxRequestAge()) {
	case takeover.RejectRequest:
		if !c.readsAreFresh(now) {
			c.finish(r, takeover.Outcome{Kind: takeover.OutcomeCloseConnection})
			return
		}
		rejected := takeover.Response{Status: takeover.Rejected, RetryAfter: c.fleet.quorumTimeout, Reason: reasonNoQuorum}
		c.finish(r, takeover.Outcome{Response: rejected})
	case takeover.FailRequest:
		reason := reasonOutcomeUnknown
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

// fallbackFor returns how to treat a request whose record could not be stored at a quorum. A request that is idempotent by key is
// treated as strict if some server may forget the key before the request's time is over: two members unaware of each other might both
// send it. A resumed request has been under way for an unknown time, up to maxRequestAge.
func fallbackFor(r *takeover.Request, e *takeover.Event, maxRequestAge time.Duration) takeover.Fallback {
	fallback := e.Fallback(r.Strict)
	longest := r.Timeout
	if r.Resume {
		longest = maxRequestAge
	}
	if fallback != takeover.SendWithoutRecord || r.Idempotency != takeover.IdempotentByKey || r.DedupWindow >= longest {
		return fallback
	}
	if fallback = e.Fallback(true); fallback == takeover.SendWithoutRecord {
		return takeover.FailRequest
	}
	return fallback
}

// priorSendAge returns how long ago another member may have sent a request. It is at least 1, since 0 means that none has.
func priorSendAge(e *takeover.Event) time.Duration {
	return max(1, time.Duration(e.Record.Age)*time.Microsecond)
}

// execute starts the execution of a request in a new goroutine.
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

// onExecuted stores the response of an execution, if the request is still in flight and its lease is valid, and returns the
// response to the waiters.
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

// awaitLease waits until a lease is valid or has ended, for two lease durations at most. An owner that remains a member must not
// drop a response because its lease is briefly invalid, since no other member may take over the request.
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

// finish removes a request from those in flight and sends its outcome to all waiters.
func (c *coordinator) finish(r *inFlightRequest, o takeover.Outcome) {
	delete(c.inFlight, r.request.ID)
	c.discard(r.finish(o))
}

func (c *coordinator) discard(live any) {
	if live != nil {
		c.fleet.hooks.DiscardResponse(live)
	}
}

// takeOver resumes, without its client, a request that an evicted member was permitted to send.
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
