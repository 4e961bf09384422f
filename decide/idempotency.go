// Rule 2: no request that is not idempotent takes effect twice.
//
// An attempt may have run unless its result proves otherwise. After such an attempt, a request is sent
// again only to an endpoint that recognizes the repeat, and is rejected only if a repeat by the client is
// harmless.

package decide

// repeatIsSafe reports whether sending r to s can't cause its effect a second time.
func (r *request) repeatIsSafe(now int64, s *endpointState) bool {
	first := r.firstPossiblyExecuted()
	if first == nil || r.classAtArrival.Semantics == Idempotent {
		return true
	}
	if r.classAtArrival.Semantics == AtMostOnce || now-first.sentAt >= r.classAtArrival.DedupWindow {
		return false
	}
	switch r.classAtArrival.DedupScope {
	case ScopeZone:
		return s.Zone == first.zone
	case ScopeCell:
		return s.Cell == first.cell
	}
	return true
}

// rejectIsSafe reports whether the client may send r again to any endpoint, as a rejection invites it to
// do.
func (r *request) rejectIsSafe(now int64) bool {
	first := r.firstPossiblyExecuted()
	if first == nil || r.classAtArrival.Semantics == Idempotent {
		return true
	}
	return r.classAtArrival.Semantics == IdempotencyKeyed && r.classAtArrival.DedupScope == ScopeAll &&
		now-first.sentAt < r.classAtArrival.DedupWindow
}

// firstPossiblyExecuted returns the first attempt that may have run, including attempts in flight, or nil.
func (r *request) firstPossiblyExecuted() *attempt {
	if r.priorAttempt != nil {
		return r.priorAttempt
	}
	for i := range r.attempts {
		if !r.attempts[i].result.NeverRan() {
			return &r.attempts[i]
		}
	}
	return nil
}
