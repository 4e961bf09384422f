package faultinjection

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	finalResponseGrace = 500 * time.Millisecond // a final response this long after the deadline still counts
	minUptime          = time.Second            // a member that ran this long before the deadline could have responded
	maxStall           = 250 * time.Millisecond // of this process; less than half of a lease
	maxDescribed       = 20                     // violations of a kind that are described
)

// Report is the outcome of a timeline, from the records of clients and servers alone. JSON keys are those of stored reports.
type Report struct {
	Requests      int `json:"requests"`
	Retried       int `json:"asked_again"`
	Served        int `json:"served"`
	RetriedServed int `json:"again_served"` // of the retried ones
	Rejected      int `json:"refused"`
	Failed        int `json:"failed"`
	Unreachable   int `json:"excused"` // no response, and no member ran for long enough to give one

	Lost                 int `json:"lost"`           // no final response though a member could have given one
	DuplicateEffects     int `json:"twice"`          // requests whose effect happened more than once
	FalseRejections      int `json:"false_refusals"` // executed, and a rejection promised that a retry is harmless
	ConflictingResponses int `json:"two_answers"`    // two complete responses that differ
	CorruptResponses     int `json:"spoilt"`         // a response that no server produced for it
	Crashes              int `json:"crashes"`        // processes that exited unexpectedly

	CPUUs   int64   `json:"cpu_us"`             // CPU time in µs a request, of the processes alive at the end
	RSSMB   float64 `json:"rss_mb"`             // resident memory of the largest of them
	StallMs int64   `json:"stall_ms,omitempty"` // longest stall of this process

	AuditEvents        int              `json:"acts,omitempty"`        // in the fleet's audit log
	AuditMatches       int              `json:"matched,omitempty"`     // executions and responses that the log has as observed
	AuditGaps          int              `json:"in_gaps,omitempty"`     // executions and responses in gaps that the log states
	AuditMismatches    int              `json:"misstated,omitempty"`   // logged differently, or missing where no gap is stated
	BelowFence         int              `json:"below_fence,omitempty"` // executions under a version below the fence, later than a lease after it
	OverExclusionLimit int              `json:"over_guard,omitempty"`  // most members without a lease at once beyond the allowed share
	NotConverged       int              `json:"unagreed,omitempty"`    // members that had not reached the target at the end
	Steps              []string         `json:"steps,omitempty"`       // operators' commands with their replies
	RolloutMs          map[uint64]int64 `json:"turn_ms,omitempty"`     // by version: from its command to the last execution under an older one
	PauseReason        string           `json:"held,omitempty"`        // why the last rollout was paused
	WaitingFor         string           `json:"waits,omitempty"`       // what an unfinished rollout waited for

	P50Ms, P99Ms float64  // latency of all served requests
	RetryP50Ms   float64  `json:"AgainP50Ms"` // of retried requests: from the first retry to the response
	RetryP99Ms   float64  `json:"AgainP99Ms"`
	Violations   []string `json:"breaks,omitempty"` // the first of each kind, described
}

// Passed reports whether no rule was violated.
func (r *Report) Passed() bool {
	return r.Lost+r.DuplicateEffects+r.FalseRejections+r.ConflictingResponses+r.CorruptResponses+r.Crashes+r.AuditMismatches+r.BelowFence+r.OverExclusionLimit == 0
}

// Inconclusive reports whether the machine stalled for so long that violations say nothing about the program.
func (r *Report) Inconclusive() bool { return r.StallMs > maxStall.Milliseconds() }

// Summary counts the violations by kind; empty where there are none.
func (r *Report) Summary() string {
	var all []string
	for _, b := range []struct {
		name string
		n    int
	}{
		{"lost", r.Lost}, {"twice", r.DuplicateEffects}, {"false refusals", r.FalseRejections}, {"two answers", r.ConflictingResponses},
		{"spoilt", r.CorruptResponses}, {"crashes", r.Crashes}, {"misstated", r.AuditMismatches}, {"below the fence", r.BelowFence}, {"over the guard", r.OverExclusionLimit},
	} {
		if b.n > 0 {
			all = append(all, fmt.Sprintf("%d %s", b.n, b.name))
		}
	}
	return strings.Join(all, ", ")
}

// observations is what clients and servers recorded during one timeline.
type observations struct {
	requests   []*Request
	executions map[string][]Execution
	uptimes    [][]interval // by process
	deadline   time.Duration
	crashes    []string
}

// evaluate classifies each request and counts violations.
func evaluate(rec *observations) *Report {
	r := &Report{Requests: len(rec.requests), Crashes: len(rec.crashes), Violations: rec.crashes}
	latency, retryLatency := hdrhistogram.New(1, 3_600_000_000, 3), hdrhistogram.New(1, 3_600_000_000, 3)
	for _, q := range rec.requests {
		r.evaluateRequest(rec, q, latency, retryLatency)
	}
	inMs := func(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	r.P50Ms, r.P99Ms, r.RetryP50Ms, r.RetryP99Ms = inMs(latency, 50), inMs(latency, 99), inMs(retryLatency, 50), inMs(retryLatency, 99)
	return r
}

func (r *Report) evaluateRequest(rec *observations, q *Request, latency, retryLatency *hdrhistogram.Histogram) {
	executions := rec.executions[q.ID]
	firstRetry := q.firstRetry()
	if firstRetry != nil {
		r.Retried++
	}
	var final *Attempt
	served := ""
	rejected, conflicting, corrupt := false, false, false
	for i := range q.Attempts {
		a := &q.Attempts[i]
		if !a.final() {
			continue
		}
		if final == nil {
			final = a
		}
		rejected = rejected || a.rejected()
		if a.Status == http.StatusOK {
			conflicting = conflicting || served != "" && served != a.Body
			corrupt = corrupt || !producedBy(executions, a.Body)
			served = a.Body
		}
	}
	switch {
	case final == nil && !rec.reachable(q):
		r.Unreachable++
	case final == nil:
		r.addViolation(&r.Lost, "lost", q, executions)
	case final.Status == http.StatusOK:
		r.Served++
		latency.RecordValue((final.Offset + final.Duration).Microseconds())
		if firstRetry != nil {
			r.RetriedServed++
			retryLatency.RecordValue(max(0, final.Offset+final.Duration-firstRetry.Offset).Microseconds())
		}
	case final.rejected():
		r.Rejected++
	default:
		r.Failed++
	}
	if effects(q.Class, executions) > 1 {
		r.addViolation(&r.DuplicateEffects, "twice", q, executions)
	}
	if rejected && len(executions) > 0 && q.Class == "once" { // with an idempotency key a retry is harmless all the same
		r.addViolation(&r.FalseRejections, "false refusal", q, executions)
	}
	if conflicting {
		r.addViolation(&r.ConflictingResponses, "two answers", q, executions)
	}
	if corrupt {
		r.addViolation(&r.CorruptResponses, "spoilt", q, executions)
	}
}

// addViolation counts a violation and describes the first ones.
func (r *Report) addViolation(count *int, kind string, q *Request, runs []Execution) {
	if *count++; *count > maxDescribed {
		return
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s: %s %s:", kind, q.Class, q.ID)
	for _, a := range q.Attempts {
		fmt.Fprintf(&b, " [n%d after %d ms for %d ms: %d %q %s]", a.Member+1, a.Offset.Milliseconds(), a.Duration.Milliseconds(), a.Status, a.Body[:min(len(a.Body), 80)], a.Err)
	}
	for _, run := range runs {
		fmt.Fprintf(&b, " (ran at %s after %d ms, repeat %t)", run.Server, run.At.Sub(q.StartedAt).Milliseconds(), run.Repeat)
	}
	r.Violations = append(r.Violations, b.String())
}

// effects counts the executions that had an effect.
func effects(class string, runs []Execution) (n int) {
	for _, run := range runs {
		if class != "look" && !run.Repeat {
			n++
		}
	}
	return n
}

func producedBy(runs []Execution, answer string) bool {
	return slices.ContainsFunc(runs, func(run Execution) bool { return run.Response == answer })
}

// reachable reports whether some member ran long enough before the request's deadline to answer it.
func (rec *observations) reachable(q *Request) bool {
	from, to := q.StartedAt, q.StartedAt.Add(rec.deadline)
	for _, ups := range rec.uptimes {
		for _, s := range ups {
			begin, end := laterOf(s.from, from), to
			if !s.to.IsZero() && s.to.Before(to) {
				end = s.to
			}
			if end.Sub(begin) >= minUptime {
				return true
			}
		}
	}
	return false
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Add merges another report: counts are added, latencies and stalls take the worse.
func (r *Report) Add(o *Report) {
	for _, p := range []struct{ to, from *int }{
		{&r.Requests, &o.Requests}, {&r.Retried, &o.Retried}, {&r.Served, &o.Served}, {&r.RetriedServed, &o.RetriedServed},
		{&r.Rejected, &o.Rejected}, {&r.Failed, &o.Failed}, {&r.Unreachable, &o.Unreachable}, {&r.Lost, &o.Lost}, {&r.DuplicateEffects, &o.DuplicateEffects},
		{&r.FalseRejections, &o.FalseRejections}, {&r.ConflictingResponses, &o.ConflictingResponses}, {&r.CorruptResponses, &o.CorruptResponses}, {&r.Crashes, &o.Crashes},
		{&r.AuditEvents, &o.AuditEvents}, {&r.AuditMatches, &o.AuditMatches}, {&r.AuditGaps, &o.AuditGaps}, {&r.AuditMismatches, &o.AuditMismatches}, {&r.BelowFence, &o.BelowFence},
		{&r.OverExclusionLimit, &o.OverExclusionLimit}, {&r.NotConverged, &o.NotConverged},
	} {
		*p.to += *p.from
	}
	r.StallMs, r.CPUUs, r.RSSMB = max(r.StallMs, o.StallMs), max(r.CPUUs, o.CPUUs), max(r.RSSMB, o.RSSMB)
	r.P50Ms, r.P99Ms = max(r.P50Ms, o.P50Ms), max(r.P99Ms, o.P99Ms)
	r.RetryP50Ms, r.RetryP99Ms = max(r.RetryP50Ms, o.RetryP50Ms), max(r.RetryP99Ms, o.RetryP99Ms)
}

// Line formats a report in one line.
func (r *Report) Line() string {
	return fmt.Sprintf("requests=%d asked_again=%d served=%d again_served=%d refused=%d failed=%d excused=%d lost=%d twice=%d false_refusals=%d "+
		"two_answers=%d spoilt=%d crashes=%d acts=%d matched=%d in_gaps=%d misstated=%d below_fence=%d over_guard=%d unagreed=%d stall_ms=%d cpu_us=%d rss_mb=%.1f p50_ms=%.1f p99_ms=%.1f again_p50_ms=%.1f again_p99_ms=%.1f",
		r.Requests, r.Retried, r.Served, r.RetriedServed, r.Rejected, r.Failed, r.Unreachable, r.Lost, r.DuplicateEffects, r.FalseRejections,
		r.ConflictingResponses, r.CorruptResponses, r.Crashes, r.AuditEvents, r.AuditMatches, r.AuditGaps, r.AuditMismatches, r.BelowFence, r.OverExclusionLimit, r.NotConverged, r.StallMs, r.CPUUs, r.RSSMB, r.P50Ms, r.P99Ms, r.RetryP50Ms, r.RetryP99Ms)
}
