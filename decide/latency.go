// Estimates of a class's latency, in µs. Each estimate is a quantile. Each response moves its logarithm by
// a step, up if the response is slower and down if it is faster. The ratio of the two steps makes the
// estimate settle at the quantile.

package decide

import "math"

const (
	p95Quantile = 0.95 // attempt timeouts derive from it
	p95Step     = 0.2  // large, so that a fault shows within a few responses

	medianStep = 0.04

	p90Quantile    = 0.9
	p90Step        = 0.05 // small, so that one burst of late responses moves it little
	baselineGrowth = 1.01 // factor per second: doubles in 70 s, longer than an overload should last

	p15Quantile       = 0.15
	minP15Step        = 0.03
	maxP15Step        = 0.6
	p15StepsPerSecond = 5.0 // sum of the steps of all responses in a second

	// responseRateSmoothing is the weight of the last second in the smoothed rate of responses.
	responseRateSmoothing = 0.3
)

// classState is a class and what has been measured of it.
type classState struct {
	Class
	priority         float64 // see priority.go
	maxFirstTimeLeft int64   // longest time left, in µs, that a client's first attempt has arrived with
	requests         float64 // recent
	onTimeResponses  float64 // recent responses within the latency objective
	meanWork         float64 // mean of the work hints; 0: none seen

	latencyP95    float64
	latencyMedian float64
	latencyP90    float64
	baselineP90   float64 // recent minimum of latencyP90: the latency of uncongested endpoints
	latencyP15    float64
	baselineP15   float64 // recent minimum of latencyP15: the latency without queueing

	samples             float64
	responseRate        float64 // per second, smoothed
	responsesThisSecond float64
}

// newClassState returns a class whose estimates start from its latency objective.
func newClassState(c Class) *classState {
	if c.Deadline == 0 {
		c.Deadline = defaultDeadline
	}
	if c.LatencyObjective == 0 {
		c.LatencyObjective = c.Deadline
	}
	objective := float64(c.LatencyObjective)
	return &classState{
		Class: c, priority: c.PriorityWeight,
		latencyP95: objective / 2, latencyMedian: objective / 4,
		latencyP90: objective / 2, baselineP90: objective / 2,
	}
}

// observeLatency records the latency of a response. A timeout counts as a response that took as long as the
// timeout.
func (c *classState) observeLatency(latency float64) {
	c.latencyP95 = stepQuantile(c.latencyP95, latency, p95Quantile, p95Step)
	c.latencyMedian = stepQuantile(c.latencyMedian, latency, 0.5, medianStep)
	c.latencyP90 = stepQuantile(c.latencyP90, latency, p90Quantile, p90Step)
	c.baselineP90 = min(c.baselineP90, c.latencyP90)
	c.observeP15(latency)
}

// observeP15 updates the p15 latency. The estimate adapts within about a second if responses are frequent,
// and with each response if they are rare.
func (c *classState) observeP15(latency float64) {
	if c.samples++; c.samples == 1 {
		c.latencyP15, c.baselineP15 = latency, float64(c.LatencyObjective)
	}
	c.responsesThisSecond++
	step := max(minP15Step, p15StepsPerSecond/max(1, c.responseRate), p15StepsPerSecond/c.samples)
	c.latencyP15 = stepP15(c.latencyP15, latency, min(maxP15Step, step))
	c.baselineP15 = min(c.baselineP15, c.latencyP15)
}

// decayClassStatistics decays the request counts and raises the baselines, once per second.
func (b *Balancer) decayClassStatistics() {
	for _, c := range b.classes {
		c.requests *= requestRetention
		c.onTimeResponses *= requestRetention
		c.baselineP90 *= baselineGrowth
		c.baselineP15 *= baselineGrowth
		c.responseRate += responseRateSmoothing * (c.responsesThisSecond - c.responseRate)
		c.responsesThisSecond = 0
	}
}

// stepQuantile moves an estimate of a quantile one step towards a sample.
func stepQuantile(estimate, sample, quantile, step float64) float64 {
	if sample > estimate {
		return estimate * math.Exp(step*quantile)
	}
	return max(1, estimate*math.Exp(-step*(1-quantile)))
}

// stepP15 moves an estimate of the p15 latency one step towards a sample, but never past it, so that a
// baseline is a latency that some response had.
func stepP15(estimate, sample, step float64) float64 {
	if sample > estimate {
		return min(sample, estimate*math.Exp(step*p15Quantile))
	}
	return max(sample, estimate*math.Exp(-step*(1-p15Quantile)))
}
