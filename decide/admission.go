package decide

// rejectOrFail answers at once: refused where that is true, else failed.
func (b *Balancer) rejectOrFail(now int64, r *request) {
	if r.ended {
		return
	}
	b.counters.shed++
	if r.rejectIsSafe(now) {
		b.actions.Reject(r.ID, b.retryAfter(r))
	} else {
		b.actions.Fail(r.ID)
	}
	b.finish(r)
}

// retryAfter is when a refused client may find room: after about one answer's time, where clients are told.
func (b *Balancer) retryAfter(r *request) int64 {
	if !b.settings.Limits.RetryAfter {
		return 0
	}
	return min(int64(r.class.latencyMedian), b.settings.Limits.MaxRetryAfter)
}
