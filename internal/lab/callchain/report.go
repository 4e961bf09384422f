package callchain

import (
	"fmt"
	"time"
)

const (
	slotsPerSecond       = 10   // that counts are kept by
	settledAmplification = 1.05 // below it a chain counts as settled
	settledServedShare   = 0.99 // from it on a chain counts as serving
)

// Level counts what happened at one level of balancers, over the whole run.
type Level struct {
	Accepted     int `json:"Taken"`  // requests
	NeverSent    int `json:"Unsent"` // requests answered without an attempt
	Attempts     int `json:"Attempts"`
	Retries      int `json:"Further"` // attempts beyond a request's first
	NotDelivered int `json:"Lost"`    // attempts that ended before they reached the service
	Served       int `json:"Served"`  // requests, by their one answer
	Rejected     int `json:"Refused"`
	Failed       int `json:"Failed"`
}

// Report is the result of a run. Shares are 0 to 1; amplifications are attempts at the deepest level for each client's request.
type Report struct {
	Config           Config  `json:"Config"`
	Requests         int     `json:"Requests"`   // of clients
	DuplicateAnswers int     `json:"Twice"`      // to requests that had one, at any level
	SentAfterAnswer  int     `json:"After"`      // attempts for requests that had their answer, at any level
	Unanswered       int     `json:"Unanswered"` // clients' requests without an answer by the deadline and its slack
	OverBudget       int     `json:"OverBudget"` // retries past the attempt budget of their balancer
	Levels           []Level `json:"Levels"`

	Amplification       float64 `json:"Amplification"` // over the whole run
	SteadyAmplification float64 `json:"Steady"`        // over the latter half of the fault
	WorstAmplification  float64 `json:"Worst"`         // in the worst window of a second
	SteadyServedShare   float64 `json:"Served"`        // of clients' requests, over the latter half of the fault
	AmplificationBound  float64 `json:"Product"`       // of Amplification, by the levels' budgets
	WorstBound          float64 `json:"WorstBound"`    // of WorstAmplification, approximately
	SettledMs           int64   `json:"SettledMs"`     // from the fault's end until it stays under settledAmplification; -1: never, or no end
	ServingMs           int64   `json:"ServingMs"`     // the same until the share served stays at settledServedShare
}

// GuaranteesMet reports whether the balancers gave one answer in time and stayed within their attempt budgets.
func (r *Report) GuaranteesMet() bool {
	return r.DuplicateAnswers == 0 && r.SentAfterAnswer == 0 && r.Unanswered == 0 && r.OverBudget == 0
}

// String returns the report on one line.
func (r *Report) String() string {
	retries := make([]int, len(r.Levels))
	for i, l := range r.Levels {
		retries[i] = l.Retries
	}
	c := &r.Config
	return fmt.Sprintf("simulated depth=%d fault=%s share=%g budget=%t pass=%s requests=%d steady=%.3f worst=%.2f worst_bound=%.2f whole=%.3f product=%.2f "+
		"served=%.3f settled_ms=%d serving_ms=%d further=%v twice=%d after=%d unanswered=%d over_budget=%d",
		c.Depth, c.Fault, c.FaultShare, c.BudgetWindow > 0, c.Pass, r.Requests, r.SteadyAmplification, r.WorstAmplification, r.WorstBound, r.Amplification,
		r.AmplificationBound, r.SteadyServedShare, r.SettledMs, r.ServingMs, retries, r.DuplicateAnswers, r.SentAfterAnswer, r.Unanswered, r.OverBudget)
}

// summarize fills in the figures of the report from the counts.
func (s *simulation) summarize() {
	c, r := &s.conf, s.report
	end := int(c.Duration/time.Second) * slotsPerSecond
	faultStart := int(c.FaultStart * slotsPerSecond / time.Second)
	faultEnd := end
	if c.FaultDuration > 0 {
		faultEnd = int((c.FaultStart + c.FaultDuration) * slotsPerSecond / time.Second)
	}
	half := (faultStart + faultEnd) / 2
	r.Amplification = ratio(sum(s.deepestAttemptsBySlot), sum(s.requestsBySlot))
	r.SteadyAmplification = s.amplification(half, faultEnd)
	r.SteadyServedShare = s.servedShare(half, faultEnd)
	for at := end - slotsPerSecond; at >= 0; at-- {
		r.WorstAmplification = max(r.WorstAmplification, s.amplification(at, at+slotsPerSecond))
	}
	settled := firstSlotOfTail(end, func(from, to int) bool { return s.amplification(from, to) < settledAmplification })
	serving := firstSlotOfTail(end, func(from, to int) bool { return s.servedShare(from, to) >= settledServedShare })
	sinceFaultEnd := func(slot int) int64 {
		if c.FaultDuration == 0 || slot > end-slotsPerSecond {
			return -1
		}
		return int64(max(0, slot-faultEnd)) * 1000 / slotsPerSecond
	}
	r.SettledMs, r.ServingMs = sinceFaultEnd(settled), sinceFaultEnd(serving)
	r.AmplificationBound, r.WorstBound = c.amplificationBound(r.Requests), c.worstBound()
}

// amplification returns the attempts at the deepest level for each client's request, over some slots.
func (s *simulation) amplification(from, to int) float64 {
	return ratio(sum(s.deepestAttemptsBySlot[from:to]), sum(s.requestsBySlot[from:to]))
}

// servedShare returns the share of clients' requests that were served, over the slots in which they were sent.
func (s *simulation) servedShare(from, to int) float64 {
	return ratio(sum(s.servedBySlot[from:to]), sum(s.requestsBySlot[from:to]))
}

// firstSlotOfTail returns the first slot from which on each window of a second is good; end: not even the last one is.
func firstSlotOfTail(end int, good func(from, to int) bool) int {
	first := end
	for at := end - slotsPerSecond; at >= 0 && good(at, at+slotsPerSecond); at-- {
		first = at
	}
	return first
}

// sum returns the sum of counts.
func sum(counts []int) (n int) {
	for _, c := range counts {
		n += c
	}
	return n
}

// ratio returns n/of; 0 if of is 0.
func ratio(n, of int) float64 {
	if of == 0 {
		return 0
	}
	return float64(n) / float64(of)
}
