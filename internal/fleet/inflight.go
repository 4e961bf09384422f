package fleet

import (
	"slices"

	"damsonscale/internal/takeover"
)

// inFlightRequest is a request that this member owns or wants to own. The coordinator's goroutine owns it.
type inFlightRequest struct {
	request   takeover.Request
	execute   func(takeover.SendPermit) takeover.Result
	waiters   []chan takeover.Outcome // each has space for its outcome
	executing bool
	lease     takeover.Lease // as of its beginning; it has to be valid whenever the request is sent
}

func (r *inFlightRequest) hasWaiter(waiter chan takeover.Outcome) bool {
	return slices.Contains(r.waiters, waiter)
}

// removeWaiter removes one who does not wait for the outcome any more. It reports whether nobody is left.
func (r *inFlightRequest) removeWaiter(waiter chan takeover.Outcome) bool {
	if i := slices.Index(r.waiters, waiter); i >= 0 {
		r.waiters = slices.Delete(r.waiters, i, i+1)
	}
	return len(r.waiters) == 0
}

// finish sends the outcome to all waiters. The live response goes to the first; it is returned where there is none.
func (r *inFlightRequest) finish(o takeover.Outcome) (unread any) {
	for _, waiter := range r.waiters {
		waiter <- o
		o.LiveResponse = nil
	}
	return o.LiveResponse
}
