package decide

const (
	timeoutP95Factor  = 2.0 // slow answers seldom come after that
	minAttemptTimeout = 20 * millisecond

	// outlierTimeoutShare of the latency objective is the timeout of an attempt for a key outlier, where
	// buffered responses are limited: a client that reads slowly would hold up all other answers.
	outlierTimeoutShare = 0.5
)

// attemptTimeout is how long an attempt may take, in µs: a multiple of the class's p95 latency while a retry
// could still be answered within the latency objective, else all the time that is left. A timeout whose retry
// would be late only adds work, since endpoints go on with what was given up.
func (b *Balancer) attemptTimeout(now int64, r *request) int64 {
	remaining := r.deadline - now
	if r.isKeyOutlier() && b.settings.Limits.MaxBufferedResponses > 0 {
		remaining = min(remaining, max(minAttemptTimeout, int64(outlierTimeoutShare*float64(r.latencyObjective))))
	}
	timeout := max(int64(timeoutP95Factor*r.class.latencyP95), minAttemptTimeout)
	last := len(r.attempts) >= r.maxAttempts || r.classAtArrival.Stream || r.BodyUnbuffered ||
		r.classAtArrival.Semantics == AtMostOnce
	retryWouldBeLate := now-r.arrivedAt+timeout+int64(r.class.latencyMedian) > r.latencyObjective
	if last || timeout >= remaining || retryWouldBeLate {
		return remaining
	}
	return timeout
}
