package decide

const (
	meanWorkStep = 0.02 // of the mean work hinted, for each request
	workShare    = 0.5  // of a request's time, that goes by its work
)

// workFactor is how much longer than a mean request one of that work takes: half of the time goes by the work. Guards
// against a crowd that is seen where requests are large: one in five was late at servers at ease.
func (c *classState) workFactor(work int64) float64 {
	if work <= 0 {
		return 1
	}
	if c.meanWork == 0 {
		c.meanWork = float64(work)
	}
	c.meanWork += (float64(work) - c.meanWork) * meanWorkStep
	return 1 - workShare + workShare*float64(work)/c.meanWork
}
