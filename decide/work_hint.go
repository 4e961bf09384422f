// Requests whose client hints how much work they are: latencies are compared as if all were of mean size.

package decide

const (
	meanWorkSmoothing     = 0.02 // of the mean hint, for each request
	workProportionalShare = 0.5  // of a request's time that is in proportion to its work
)

// workFactor takes in a hint and is how many times longer than the mean a request with that much work takes.
// Without it large requests would pass for congestion.
func (c *classState) workFactor(work int64) float64 {
	if work <= 0 {
		return 1
	}
	if c.meanWork == 0 {
		c.meanWork = float64(work)
	}
	c.meanWork += (float64(work) - c.meanWork) * meanWorkSmoothing
	return 1 - workProportionalShare + workProportionalShare*float64(work)/c.meanWork
}
