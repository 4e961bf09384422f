// Admission of new requests, and how a request is rejected.
//
// Each request passes these checks in order: admit (this file), canAttempt and eligible (candidates.go),
// saturated (concurrency_limit.go) and enqueue (queue.go). rejectOrFail answers a request that fails a
// check and can't be queued.

package decide

// admit reports whether a request that has just arrived should be processed.
func (b *Balancer) admit(r *request) bool {
	if r.isKeyOutlier() && b.rng.Float64() < r.keyStats.rejectRatio {
		return false
	}
	return !r.cannotMeetObjective()
}

// cannotMeetObjective reports whether the client has already waited so long on earlier attempts that the
// response would miss the latency objective, in a class whose late responses have no value. Retries of such
// requests would only prolong an overload.
func (r *request) cannotMeetObjective() bool {
	remaining := r.latencyObjective - r.elapsedBeforeArrival
	return r.class.LateValueShare == 0 && float64(remaining) < r.class.latencyMedian
}

// rejectOrFail answers r immediately. It rejects r if the client can safely send it again, and otherwise
// fails it.
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

// retryAfter returns the delay after which a rejected client may find capacity, in µs: the class's median
// latency, up to Limits.MaxRetryAfter. 0 means that the rejection carries no delay.
func (b *Balancer) retryAfter(r *request) int64 {
	if !b.settings.Limits.RetryAfter {
		return 0
	}
	return min(int64(r.class.latencyMedian), b.settings.Limits.MaxRetryAfter)
}
