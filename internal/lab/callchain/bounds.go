package callchain

import (
	"math"
	"time"
)

// drainTime is how long after the clients' last request attempts may be made.
const drainTime = 5 * time.Second

// worstBound returns what the attempt budgets let reach the deepest level in one second, for each client's request of that second: at each level what
// the one above sends in it, and the retries of a whole window at once. It is approximate: a second at one level is not quite the same at the next.
func (c *Config) worstBound() float64 {
	inSecond, inWindow := c.RequestsPerSecond, c.RequestsPerSecond*c.BudgetWindow.Seconds() // accepted in the second, and in a window that ends with it
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

// amplificationBound returns the most attempts at the deepest level for each client's request that the levels' budgets allow over the run. What one
// level may send is what the next accepts.
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
