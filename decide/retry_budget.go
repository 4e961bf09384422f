// The retry budget. A retry that may repeat work needs a token. If the attempt budget is nearly used up, a
// retry must also be worth its place.

package decide

const (
	retryTokensPerSuccess = 0.15 // so retries add less than a sixth to the load, however many attempts fail
	maxRetryTokens        = 10.0 // saved up for the start of a fault

	// Retries are scarce if fewer than scarceRetryThreshold remain in the attempt budget. A retry is then
	// made only if its priority relative to the mean, times its success rate, times the remaining retries
	// is at least minScarceRetryValue. With more remaining, every retry is made, since the budget would
	// otherwise go unused.
	scarceRetryThreshold = 8.0
	minScarceRetryValue  = 0.5

	initialSuccessRate = 0.5
	successRateWindow  = 20.0 // retries that a success rate is averaged over, approximately
)

// retryBudget holds the tokens for retries of attempts that may have run, and the success rates of retries.
type retryBudget struct {
	tokens       float64
	successRates [InvalidRequest + 1]float64 // success rate of retries, by the result of the previous attempt
}

func newRetryBudget() retryBudget {
	k := retryBudget{tokens: maxRetryTokens}
	for i := range k.successRates {
		k.successRates[i] = initialSuccessRate
	}
	return k
}

// deposit adds the share of a token that a successful attempt earns.
func (k *retryBudget) deposit() { k.tokens = min(k.tokens+retryTokensPerSuccess, maxRetryTokens) }

// withdraw takes a token and reports whether there was one.
func (k *retryBudget) withdraw() bool {
	if k.tokens < 1 {
		return false
	}
	k.tokens--
	return true
}

// acquireRetry reports whether r may retry after an attempt, and takes a token if it needs one. A retry of
// an attempt that never ran needs none, since that attempt cost the endpoints almost nothing.
func (b *Balancer) acquireRetry(now int64, r *request, a *attempt) bool {
	remaining := b.attemptBudgetRemaining(now)
	value := b.retryBudget.successRates[a.result] * r.priority * remaining
	if value < minScarceRetryValue*b.meanPriority && remaining < scarceRetryThreshold {
		return false
	}
	return a.result.NeverRan() || b.retryBudget.withdraw()
}

// recordRetryResult updates the success rate if the attempt was a retry.
func (b *Balancer) recordRetryResult(r *request, o Outcome) {
	if o.Attempt == 0 {
		return
	}
	success := 0.0
	if o.Result == Succeeded {
		success = 1
	}
	rate := &b.retryBudget.successRates[r.attempts[o.Attempt-1].result]
	*rate += (success - *rate) / successRateWindow
}
