// Work hints: clients may state how much work a request is. Latencies are scaled to those of a request of
// mean size.

package decide

const (
	meanWorkSmoothing     = 0.02 // weight of a request in the smoothed mean of the hints
	workProportionalShare = 0.5  // share of a request's latency that is proportional to its work
)

// workFactor records a work hint and returns how many times longer than the mean such a request takes.
// Without it, large requests would look like congestion.
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
