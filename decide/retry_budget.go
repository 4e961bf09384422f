// Who may retry: a retry that repeats work needs a token, and one that an attempt budget makes scarce must be
// worth it.

package decide

const (
	retryTokensPerSuccess = 0.15 // so retries add less than a sixth to the work, however many attempts fail
	maxRetryTokens        = 10.0 // saved up for the first moments of a fault

	// Retries are scarce with fewer than scarceRetryThreshold left in the attempt budget. One is then made only if
	// its priority, in parts of the mean, times its chance of success times the retries left is at least
	// scarceRetryValue.
	scarceRetryThreshold = 8.0
	minScarceRetryValue  = 0.5

	initialSuccessRate = 0.5
	successRateWindow  = 20.0 // that a rate is averaged over, about
)

// retryBudget holds the tokens for retries of attempts that may have run, and how well retries do.
type retryBudget struct {
	tokens       float64
	successRates [InvalidRequest + 1]float64 // of retries, by the result of the attempt before
}

func newRetryBudget() retryBudget {
	k := retryBudget{tokens: maxRetryTokens}
	for i := range k.successRates {
		k.successRates[i] = initialSuccessRate
	}
	return k
}

// deposit earns a part of a token for a successful attempt.
func (k *retryBudget) deposit() { k.tokens = min(k.tokens+retryTokensPerSuccess, maxRetryTokens) }

// withdraw takes a token if there is one.
func (k *retryBudget) withdraw() bool {
	if k.tokens < 1 {
		return false
	}
	k.tokens--
	return true
}

// acquireRetry reports whether r may retry after an attempt, and pays for it. A retry of an attempt that
// never ran needs no token, since it cost the endpoints next to nothing.
func (b *Balancer) acquireRetry(now int64, r *request, a *attempt) bool {
	remaining := b.attemptBudgetRemaining(now)
	value := b.retryBudget.successRates[a.result] * r.priority * remaining
	if value < minScarceRetryValue*b.meanPriority && remaining < scarceRetryThreshold {
		return false
	}
	return a.result.NeverRan() || b.retryBudget.withdraw()
}

// recordRetryResult takes in how a retry ended.
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
