package decide

// repeatIsSafe is rule 2 for a send: it tells whether s cannot cause the effect a second time.
func (r *request) repeatIsSafe(now int64, s *endpointState) bool {
	first := r.firstPossiblyExecuted()
	if first == nil || r.classRules.Semantics == Idempotent {
		return true
	}
	if r.classRules.Semantics == AtMostOnce || now-first.sentAt >= r.classRules.DedupWindow {
		return false
	}
	switch r.classRules.DedupScope {
	case ScopeZone:
		return s.Zone == first.zone
	case ScopeCell:
		return s.Cell == first.cell
	}
	return true
}

// rejectIsSafe is rule 2 for a refusal: it tells whether a new try of the client is harmless.
func (r *request) rejectIsSafe(now int64) bool {
	first := r.firstPossiblyExecuted()
	return first == nil || r.classRules.Semantics == Idempotent ||
		r.classRules.Semantics == IdempotencyKeyed && r.classRules.DedupScope == ScopeAll && now-first.sentAt < r.classRules.DedupWindow
}

// firstPossiblyExecuted returns the first attempt that may have run, or nil.
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
