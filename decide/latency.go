package decide

import (
	"math"
)

const (
	p95Quantile       = 0.95 // of the answers come before the latency mark: time-outs stand on it
	p95Step           = 0.2  // log step of the mark for an answer past it: trouble shows in a few answers
	medianStep        = 0.04 // of the median
	p90Quantile       = 0.9  // of the answers come before the calm mark, whose lowest value is kept as uncrowded
	p90Step           = 0.05 // of the calm mark: one burst of late answers must not move it far
	baselineGrowth    = 1.01 // of the uncrowded mark each second: doubled in 70 s, longer than a jam should last
	answerRateStep    = 0.3  // of the rate of answers, each second
	p15Quantile       = 0.15 // of the answers are quicker than the quick mark
	minP15Step        = 0.03 // of its steps
	maxP15Step        = 0.6  // the same
	p15StepsPerSecond = 5.0  // steps of all answers of a second together
)

// stepQuantile moves an estimate of a quantile towards a sample: far up when passed, a little down when not.
func stepQuantile(mark, sample, share, size float64) float64 {
	if sample > mark {
		return mark * math.Exp(size*share)
	}
	return max(1, mark*math.Exp(-size*(1-share)))
}

// observeLatency moves the latency marks; a time-out counts as an answer at least that late.
func (c *classState) observeLatency(latency float64) {
	c.latencyP95 = stepQuantile(c.latencyP95, latency, p95Quantile, p95Step)
	c.latencyMedian = stepQuantile(c.latencyMedian, latency, 0.5, medianStep)
	c.latencyP90 = stepQuantile(c.latencyP90, latency, p90Quantile, p90Step)
	c.baselineP90 = min(c.baselineP90, c.latencyP90)
	c.observeP15(latency)
}

// observeP15 moves the mark of the quickest answers: within about a second where there are many, by each one where there are few.
func (c *classState) observeP15(latency float64) {
	if c.samples++; c.samples == 1 {
		c.latencyP15, c.baselineP15 = latency, float64(c.LatencyObjective)
	}
	c.answersThisSecond++
	c.latencyP15 = stepP15(c.latencyP15, latency, min(maxP15Step, max(minP15Step, p15StepsPerSecond/max(1, c.answerRate), p15StepsPerSecond/c.samples)))
	c.baselineP15 = min(c.baselineP15, c.latencyP15)
}

// stepP15 moves a mark of quickest answers by a sample, and never past it: guards against an ease that no answer had.
func stepP15(mark, sample, size float64) float64 {
	if sample > mark {
		return min(sample, mark*math.Exp(size*p15Quantile))
	}
	return max(sample, mark*math.Exp(-size*(1-p15Quantile)))
}
