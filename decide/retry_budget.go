package decide

const (
	retryTokensPerSuccess = 0.15 // retries earned by an answer: a storm of retries adds under a sixth more work
	scarceRetryValue      = 0.5  // of a mean request's value by odds by further attempts left: less is not sent
	scarceRetries         = 8.0  // left, with which any is: they would go unused
	maxRetryTokens        = 10.0 // retries that may be saved up, for the first moments of trouble
	retrySuccessRetries   = 20.0 // further attempts, about, that the odds of one are taken over
)

// acquireRetry pays for a further attempt; one that never ran cost the servers next to nothing. Where they are
// rationed it must be worth one: by its value, and by the odds that an attempt after such an end has had of
// late. Guards against the last ones spent on what fails everywhere.
func (b *Balancer) acquireRetry(now int64, r *request, a *attempt) bool {
	left := b.attemptBudgetRemaining(now)
	if b.retrySuccessRates[a.result]*r.priority*left < scarceRetryValue*b.meanPriority && left < scarceRetries {
		return false
	}
	if a.result.NeverRan() || b.retryTokens < 1 {
		return a.result.NeverRan()
	}
	b.retryTokens--
	return true
}

// initialRetrySuccessRates are those of further attempts before any was tried.
func initialRetrySuccessRates() (odds [InvalidRequest + 1]float64) {
	for i := range odds {
		odds[i] = 0.5
	}
	return odds
}

// recordRetryResult counts how an attempt went, by how the one before it ended.
func (b *Balancer) recordRetryResult(r *request, o Outcome) {
	if o.Attempt == 0 {
		return
	}
	served, odds := 0.0, &b.retrySuccessRates[r.attempts[o.Attempt-1].result]
	if o.Result == Succeeded {
		served = 1
	}
	*odds += (served - *odds) / retrySuccessRetries
}
