package decide

const (
	timeoutP95Factor    = 2.0    // marks that an attempt may take: slow answers seldom come after that
	minAttemptTimeout   = 20_000 // µs; below it ticks and network jitter would pass for silence
	outlierTimeoutShare = 0.5    // of the aim that an answer to a blamed key may take where answers are held for clients
)

// attemptTimeout is how long an attempt may take: a multiple of the latency mark while a next try could still be
// answered within the aim, else all the time that is left. Guards against time-outs that feed a jam: late
// work goes on at many servers, and its retry only adds to it.
func (b *Balancer) attemptTimeout(now int64, r *request) int64 {
	left := r.deadline - now
	if r.isKeyOutlier() && b.settings.Limits.MaxBufferedResponses > 0 { // a client that reads on would hold all other answers up
		left = min(left, max(minAttemptTimeout, int64(outlierTimeoutShare*float64(r.latencyObjective))))
	}
	t := max(int64(timeoutP95Factor*r.class.latencyP95), minAttemptTimeout)
	last := len(r.attempts) >= r.maxAttempts || r.classRules.Stream || r.BodyUnbuffered || r.classRules.Semantics == AtMostOnce
	if last || t >= left || now-r.arrivedAt+t+int64(r.class.latencyMedian) > r.latencyObjective {
		return left
	}
	return t
}
