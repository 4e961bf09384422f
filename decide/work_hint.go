// Work hints: clients may state how much work a request takes. Latencies are scaled to that of a
// request of mean work.

package decide

const (
	meanWorkSmoothing     = 0.02 // weight of a request in the smoothed mean of the hints
	workProportionalShare = 0.5  // share of a request's latency that is proportional to its work
)

// workFactor records a work hint and returns the expected latency of a request with that hint, as a multiple
// of the latency of a request of mean work. Without this factor, large requests would look like congestion.
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
