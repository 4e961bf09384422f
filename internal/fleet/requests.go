package fleet

import (
	"time"

	"damsonscale/internal/options"
	"damsonscale/internal/takeover"
)

// Execute replicates a request, executes it with execute if this member is its owner, and returns the outcome for its client.
// clientGone is closed when the client disconnects. Execute blocks until there is an outcome. If the client disconnects,
// the request times out or the member stops before that, Execute returns OutcomeClientGone.
func (f *Fleet) Execute(r takeover.Request, clientGone <-chan struct{}, execute func(takeover.SendPermit) takeover.Result) takeover.Outcome {
	waiter := make(chan takeover.Outcome, 1)
	timeout := time.NewTimer(r.Timeout)
	defer timeout.Stop()
	select {
	case f.coordinator.mailbox <- beginRequest{r, waiter, execute}:
	case <-timeout.C:
		return takeover.Outcome{Kind: takeover.OutcomeClientGone}
	}
	for waiting := true; waiting; {
		select {
		case o := <-waiter:
			return o
		case <-clientGone:
			waiting = false
		case <-timeout.C: // a request that is executing may take up to MaxDuration, since its body may still be arriving
			if waiting = r.MaxDuration > r.Timeout && f.coordinator.isExecuting(r.ID, waiter); waiting {
				timeout.Reset(r.MaxDuration - r.Timeout)
				r.MaxDuration = 0
			}
		case <-f.ctx.Done():
			waiting = false
		}
	}
	f.coordinator.post(waiterLeft{r.ID, waiter})
	select { // the outcome may have arrived at the same time
	case o := <-waiter:
		return o
	default:
		return takeover.Outcome{Kind: takeover.OutcomeClientGone}
	}
}

// ReplicationPolicy returns whether and how requests of a class are replicated before they are sent. The options decide if they
// name the class, otherwise the class's idempotency does.
func (f *Fleet) ReplicationPolicy(class string, i takeover.Idempotency) options.ReplicationPolicy {
	if policy, ok := f.options.Takeover.PolicyByClass[class]; ok {
		return policy
	}
	switch i {
	case takeover.NotIdempotent:
		return options.StrictReplication
	case takeover.IdempotentByKey:
		return options.BestEffortReplication
	}
	return options.NoReplication
}

// RequiredLease returns the lease that must be valid for any request to be accepted or sent, or nil if no lease is required.
func (f *Fleet) RequiredLease() takeover.Lease {
	if f.replicator == nil {
		return nil
	}
	return f.lease.Load()
}

// MayReject reports whether a request that was read just now may be rejected. After a stall of this process a request may have
// waited unread, and its client may have resumed it at another member, so a rejection would be wrong.
func (f *Fleet) MayReject() bool {
	answer := make(chan bool, 1)
	select {
	case f.coordinator.mailbox <- freshReadsQuery{answer}:
		return <-answer
	case <-f.ctx.Done():
		return false
	}
}

// MaxRequestAge returns the longest time for which a request's record may be needed. The default is the longest deadline of a
// class.
func (f *Fleet) MaxRequestAge() time.Duration { return f.maxRequestAge }
