// Estimates of a class's latency, all in microseconds. Each is a quantile that moves by a step of its
// logarithm with each answer: up for an answer above it, down for one below, in the proportion that makes it
// rest at the quantile.

package decide

import "math"

const (
	p95Quantile = 0.95
	p95Step     = 0.2 // so that a fault shows in a few answers

	medianStep = 0.04

	p90Quantile    = 0.9
	p90Step        = 0.05 // so that one burst of late answers doesn't move it far
	baselineGrowth = 1.01 // each second: a baseline doubles in 70 s, longer than an overload should last

	p15Quantile       = 0.15
	minP15Step        = 0.03
	maxP15Step        = 0.6
	p15StepsPerSecond = 5.0 // sum of the steps of all answers of a second

	responseRateSmoothing = 0.3 // of the rate of answers, each second
)

// classState is a class with what was learned of it.
type classState struct {
	Class
	priority         float64 // see priority.go
	maxFirstTimeLeft int64   // the longest time left that a first attempt of a client came with
	requests         float64 // recent
	onTimeResponses  float64 // recent ones within the latency objective
	meanWork         float64 // of the work hints; 0: none came

	latencyP95    float64
	latencyMedian float64
	latencyP90    float64
	baselineP90   float64 // the lowest latencyP90 of late: that of endpoints that are not congested
	latencyP15    float64
	baselineP15   float64 // the lowest latencyP15 of late: that of an answer that waited for nothing

	samples             float64
	responseRate        float64 // per second
	responsesThisSecond float64
}

// newClassState starts the estimates of a class from its latency objective.
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

// observeLatency takes in the latency of an answer. A timeout counts as an answer that took that long.
func (c *classState) observeLatency(latency float64) {
	c.latencyP95 = stepQuantile(c.latencyP95, latency, p95Quantile, p95Step)
	c.latencyMedian = stepQuantile(c.latencyMedian, latency, 0.5, medianStep)
	c.latencyP90 = stepQuantile(c.latencyP90, latency, p90Quantile, p90Step)
	c.baselineP90 = min(c.baselineP90, c.latencyP90)
	c.observeP15(latency)
}

// observeP15 moves the estimate of the quickest answers: within about a second where there are many, by each
// answer where there are few.
func (c *classState) observeP15(latency float64) {
	if c.samples++; c.samples == 1 {
		c.latencyP15, c.baselineP15 = latency, float64(c.LatencyObjective)
	}
	c.responsesThisSecond++
	step := max(minP15Step, p15StepsPerSecond/max(1, c.responseRate), p15StepsPerSecond/c.samples)
	c.latencyP15 = stepP15(c.latencyP15, latency, min(maxP15Step, step))
	c.baselineP15 = min(c.baselineP15, c.latencyP15)
}

// decayClassStatistics lets counts of requests fade and baselines rise, once a second.
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

// stepQuantile moves an estimate of a quantile towards a sample.
func stepQuantile(estimate, sample, quantile, step float64) float64 {
	if sample > estimate {
		return estimate * math.Exp(step*quantile)
	}
	return max(1, estimate*math.Exp(-step*(1-quantile)))
}

// stepP15 moves an estimate of the quickest answers towards a sample, and never past it, so that a baseline
// is a latency that some answer had.
func stepP15(estimate, sample, step float64) float64 {
	if sample > estimate {
		return min(sample, estimate*math.Exp(step*p15Quantile))
	}
	return max(sample, estimate*math.Exp(-step*(1-p15Quantile)))
}
