package callchain

import (
	"math"
	"time"
)

// drainTime is the time after the last client request during which balancers may still send attempts.
const drainTime = 5 * time.Second

// worstBound returns the maximum number of attempts at the deepest level in one second, per client request in that second, under the attempt
// budgets: at each level the attempts of the level above, plus the retries of a full window at once. The bound is approximate, because attempts of one
// second at a level may reach the next level in the following second.
func (c *Config) worstBound() float64 {
	inSecond, inWindow := c.RequestsPerSecond, c.RequestsPerSecond*c.BudgetWindow.Seconds() // requests accepted in the second, and in the window that ends with the second
	for level := 1; level <= c.Depth; level++ {
		attempts := inSecond * float64(c.maxAttempts(level))
		if c.BudgetWindow > 0 {
			retries := c.BudgetRatio*inWindow + c.BudgetMin*float64(c.Width)
			attempts, inWindow = min(attempts, inSecond+retries), inWindow+retries
		}
		inSecond = attempts
	}
	return inSecond / c.RequestsPerSecond
}

// amplificationBound returns the maximum number of attempts at the deepest level, per client request over the run, under the attempt budgets. The
// maximum number of attempts of a level is the number of requests that the next level accepts.
func (c *Config) amplificationBound(requests int) float64 {
	accepted, windows := float64(requests), 0.0
	if c.BudgetWindow > 0 {
		windows = math.Ceil(float64(c.Duration+drainTime) / float64(c.BudgetWindow))
	}
	for level := 1; level <= c.Depth; level++ {
		attempts := accepted * float64(c.maxAttempts(level))
		if c.BudgetWindow > 0 {
			attempts = min(attempts, accepted*(1+c.BudgetRatio)+windows*c.BudgetMin*float64(c.Width))
		}
		accepted = attempts
	}
	return accepted / float64(requests)
}
