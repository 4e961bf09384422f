package decide

const (
	timeoutP95Factor = 2.0 // responses slower than this multiple of the p95 latency are rare
	// A shorter timeout would mistake timer granularity and network jitter for an unresponsive endpoint.
	minAttemptTimeout = 20 * millisecond

	// outlierTimeoutShare is the timeout of an attempt for an outlier key, as a share of the latency
	// objective. It applies if buffered responses are limited, since a client that reads slowly would block
	// all other responses.
	outlierTimeoutShare = 0.5
)

// attemptTimeout returns how long an attempt may take, in µs. That is a multiple of the class's p95 latency
// if a retry after it could still meet the latency objective, and otherwise all the time until the
// deadline. A timeout whose retry would be late only adds load, since endpoints keep working on abandoned
// attempts.
func (b *Balancer) attemptTimeout(now int64, r *request) int64 {
	remaining := r.deadline - now
	if r.isKeyOutlier() && b.settings.Limits.MaxBufferedResponses > 0 {
		remaining = min(remaining,
			max(minAttemptTimeout, int64(outlierTimeoutShare*float64(r.latencyObjective))))
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
