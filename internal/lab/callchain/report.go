package callchain

import (
	"fmt"
	"time"
)

const (
	slotsPerSecond       = 10   // number of counter slots per second
	settledAmplification = 1.05 // a chain is settled while its amplification is below this value
	settledServedShare   = 0.99 // a chain is serving while at least this share of requests is served
)

// Level counts the requests and attempts at one level of balancers over a run.
type Level struct {
	Accepted     int `json:"Taken"`    // accepted requests
	NeverSent    int `json:"Unsent"`   // requests that were answered without an attempt
	Attempts     int `json:"Attempts"` // attempts, including the first of each request
	Retries      int `json:"Further"`  // attempts after the first of a request
	NotDelivered int `json:"Lost"`     // attempts that timed out before they reached a server
	Served       int `json:"Served"`   // requests that were answered with success
	Rejected     int `json:"Refused"`  // requests that were rejected
	Failed       int `json:"Failed"`   // requests that failed
}

// Report is the result of a run. Shares are 0 to 1; amplification is the number of attempts at the deepest level per client request.
type Report struct {
	Config           Config  `json:"Config"`
	Requests         int     `json:"Requests"`   // client requests
	DuplicateAnswers int     `json:"Twice"`      // answers to already answered requests, at all levels
	SentAfterAnswer  int     `json:"After"`      // attempts for already answered requests, at all levels
	Unanswered       int     `json:"Unanswered"` // client requests without an answer within the deadline plus the answer slack
	OverBudget       int     `json:"OverBudget"` // retries that exceeded the attempt budget of their balancer
	Levels           []Level `json:"Levels"`     // from the clients' level to the deepest

	Amplification       float64 `json:"Amplification"` // over the run
	SteadyAmplification float64 `json:"Steady"`        // over the second half of the fault
	WorstAmplification  float64 `json:"Worst"`         // in the worst window of one second
	SteadyServedShare   float64 `json:"Served"`        // share of client requests that were served, over the second half of the fault
	AmplificationBound  float64 `json:"Product"`       // upper bound of Amplification that follows from the maximum number of attempts and the attempt budgets
	WorstBound          float64 `json:"WorstBound"`    // approximate upper bound of WorstAmplification that follows from the same limits
	SettledMs           int64   `json:"SettledMs"`     // ms from the end of the fault until amplification stays below settledAmplification; -1: never, or the fault does not end
	ServingMs           int64   `json:"ServingMs"`     // ms from the end of the fault until the served share stays at or above settledServedShare; -1: never, or the fault does not end
}

// GuaranteesMet reports whether the balancers answered each client request in time and no request twice, sent no attempt after an answer, and
// stayed within their attempt budgets.
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

// summarize computes the figures of the report from the counters.
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

// amplification returns the number of attempts at the deepest level per client request, over a range of slots.
func (s *simulation) amplification(from, to int) float64 {
	return ratio(sum(s.deepestAttemptsBySlot[from:to]), sum(s.requestsBySlot[from:to]))
}

// servedShare returns the share of served requests among the client requests that were sent in a range of slots.
func (s *simulation) servedShare(from, to int) float64 {
	return ratio(sum(s.servedBySlot[from:to]), sum(s.requestsBySlot[from:to]))
}

// firstSlotOfTail returns the first slot from which on every window of one second before end meets a condition, or end if the last window
// does not.
func firstSlotOfTail(end int, met func(from, to int) bool) int {
	first := end
	for at := end - slotsPerSecond; at >= 0 && met(at, at+slotsPerSecond); at-- {
		first = at
	}
	return first
}

func sum(counts []int) (n int) {
	for _, c := range counts {
		n += c
	}
	return n
}

// ratio returns n/of, or 0 if of is 0.
func ratio(n, of int) float64 {
	if of == 0 {
		return 0
	}
	return float64(n) / float64(of)
}
