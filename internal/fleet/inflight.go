package fleet

import (
	"slices"

	"damsonscale/internal/takeover"
)

// inFlightRequest is a request that this member owns or tries to own. Only the coordinator's goroutine accesses it.
type inFlightRequest struct {
	request   takeover.Request
	execute   func(takeover.SendPermit) takeover.Result
	waiters   []chan takeover.Outcome // each is buffered for its outcome
	executing bool
	lease     takeover.Lease // at the start of the request; it must be valid whenever the request is sent
}

func (r *inFlightRequest) hasWaiter(waiter chan takeover.Outcome) bool {
	return slices.Contains(r.waiters, waiter)
}

// removeWaiter removes a waiter, and reports whether no waiters are left.
func (r *inFlightRequest) removeWaiter(waiter chan takeover.Outcome) bool {
	if i := slices.Index(r.waiters, waiter); i >= 0 {
		r.waiters = slices.Delete(r.waiters, i, i+1)
	}
	return len(r.waiters) == 0
}

// finish sends the outcome to all waiters. The first waiter gets the live response; without waiters it is returned as unread.
func (r *inFlightRequest) finish(o takeover.Outcome) (unread any) {
	for _, waiter := range r.waiters {
		waiter <- o
		o.LiveResponse = nil
	}
	return o.LiveResponse
}
