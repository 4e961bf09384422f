// Which requests are rejected on arrival, and how a request is rejected.
//
// A request passes, in this order: admit (here), canAttempt and eligible (candidates.go), saturated
// (concurrency_limit.go) and enqueue (queue.go). What fails one of them is answered by rejectOrFail.

package decide

// admit reports whether a request that has just arrived is worth work.
func (b *Balancer) admit(r *request) bool {
	if r.isKeyOutlier() && b.rng.Float64() < r.keyStats.rejectRatio {
		return false
	}
	return !r.cannotMeetObjective()
}

// cannotMeetObjective reports whether a late answer is worth nothing and the answer would be late: its client has
// waited so long on earlier attempts. Such retries would only prolong an overload.
func (r *request) cannotMeetObjective() bool {
	remaining := r.latencyObjective - r.elapsedBeforeArrival
	return r.class.LateValueShare == 0 && float64(remaining) < r.class.latencyMedian
}

// rejectOrFail answers r at once: with a rejection where a new attempt of the client is harmless, else as
// failed.
func (b *Balancer) rejectOrFail(now int64, r *request) {
	if r.ended {
		return
	}
	b.counters.rejected++
	if r.rejectIsSafe(now) {
		b.actions.Reject(r.ID, b.retryAfter(r))
	} else {
		b.actions.Fail(r.ID)
	}
	b.finish(r)
}

// retryAfter is when a rejected client may find capacity, in µs: after about the time of one answer. 0: no
// time is named.
func (b *Balancer) retryAfter(r *request) int64 {
	if !b.settings.Limits.RetryAfter {
		return 0
	}
	return min(int64(r.class.latencyMedian), b.settings.Limits.MaxRetryAfter)
}
