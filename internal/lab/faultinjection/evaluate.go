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
	finalResponseGrace = 500 * time.Millisecond // a final response that arrives up to this long after the deadline still counts
	minUptime          = time.Second            // a member that runs this long between the start and the deadline of a request can respond to it
	maxStall           = 250 * time.Millisecond // longest stall of this process, which runs the clients and servers, in a conclusive run; less than half of the default lease
	maxDescribed       = 20                     // violations of each kind that a report describes; further ones are only counted
)

// Report is the outcome of a timeline, derived from the records of clients and servers alone. Its JSON keys are part of the format of
// stored reports.
type Report struct {
	Requests      int `json:"requests"`
	Retried       int `json:"asked_again"`  // requests with a retry
	Served        int `json:"served"`       // requests whose first final response has status 200
	RetriedServed int `json:"again_served"` // served requests among the retried ones
	Rejected      int `json:"refused"`      // requests whose first final response is a rejection
	Failed        int `json:"failed"`       // requests whose first final response has another status
	Unreachable   int `json:"excused"`      // requests without a final response during which no member ran long enough to respond

	Lost                 int `json:"lost"`           // requests without a final response although a member ran long enough to respond
	DuplicateEffects     int `json:"twice"`          // requests of which more than one execution had an effect
	FalseRejections      int `json:"false_refusals"` // requests of class once that were executed although a rejection promised that they were not
	ConflictingResponses int `json:"two_answers"`    // requests with two responses of status 200 that differ
	CorruptResponses     int `json:"spoilt"`         // requests with a response of status 200 that no server produced for them
	Crashes              int `json:"crashes"`        // processes that exited unexpectedly

	CPUUs   int64   `json:"cpu_us"`             // CPU time per request in µs, of the processes alive at the end
	RSSMB   float64 `json:"rss_mb"`             // largest resident memory of a process alive at the end, in MiB
	StallMs int64   `json:"stall_ms,omitempty"` // longest time for which this process, which runs the clients and servers, was not scheduled
	LateMs  int64   `json:"late_ms,omitempty"`  // longest time from the start of a request to its first attempt, which is due at once; long on a starved machine

	AuditEvents        int              `json:"acts,omitempty"`        // events in the audit logs of all members
	AuditMatches       int              `json:"matched,omitempty"`     // executions and responses that agree with their audit event
	AuditGaps          int              `json:"in_gaps,omitempty"`     // executions and responses whose audit event is in a known gap of the log
	AuditMismatches    int              `json:"misstated,omitempty"`   // disagreements between audit log and observations, and events missing outside of known gaps
	BelowFence         int              `json:"below_fence,omitempty"` // executions under a settings version below the fence, more than a lease after a member first reported the fence
	OverExclusionLimit int              `json:"over_guard,omitempty"`  // largest number of members that got no lease at the same time, less the number that may be without one
	NotConverged       int              `json:"unagreed,omitempty"`    // members that had not adopted the target version at the end
	Steps              []string         `json:"steps,omitempty"`       // commands of operators with their replies
	RolloutMs          map[uint64]int64 `json:"turn_ms,omitempty"`     // by version: time from the command to roll it out to the last execution under an older version, ms
	PauseReason        string           `json:"held,omitempty"`        // why the last rollout was paused
	WaitingFor         string           `json:"waits,omitempty"`       // what an unfinished rollout was waiting for

	P50Ms, P99Ms float64  // median and 99th percentile of the latency of served requests
	RetryP50Ms   float64  `json:"AgainP50Ms"`       // median time from the first retry to the response, of retried requests that were served
	RetryP99Ms   float64  `json:"AgainP99Ms"`       // 99th percentile of the time from the first retry to the response
	Violations   []string `json:"breaks,omitempty"` // descriptions of the first maxDescribed violations of each kind
}

// Passed reports whether there was no violation. Members that did not converge are no violation.
func (r *Report) Passed() bool {
	return r.Lost+r.DuplicateEffects+r.FalseRejections+r.ConflictingResponses+r.CorruptResponses+r.Crashes+r.AuditMismatches+r.BelowFence+r.OverExclusionLimit == 0
}

// Inconclusive reports whether this process stalled for so long that a violation may be due to the machine rather than to the program.
func (r *Report) Inconclusive() bool { return max(r.StallMs, r.LateMs) > maxStall.Milliseconds() }

// PassedButForTime reports whether all violations depend on time: lost requests, and rejections of requests that the client cancelled late
// at another member. In an inconclusive run they may be due to the machine.
func (r *Report) PassedButForTime() bool {
	rest := *r
	rest.Lost, rest.FalseRejections = 0, 0
	return rest.Passed()
}

// Summary returns the number of violations of each kind, under the keys that Line uses, or an empty text if there are none.
func (r *Report) Summary() string {
	var counts []string
	for _, v := range []struct {
		key   string
		count int
	}{
		{"lost", r.Lost}, {"twice", r.DuplicateEffects}, {"false_refusals", r.FalseRejections}, {"two_answers", r.ConflictingResponses},
		{"spoilt", r.CorruptResponses}, {"crashes", r.Crashes}, {"misstated", r.AuditMismatches}, {"below_fence", r.BelowFence}, {"over_guard", r.OverExclusionLimit},
	} {
		if v.count > 0 {
			counts = append(counts, fmt.Sprintf("%s=%d", v.key, v.count))
		}
	}
	return strings.Join(counts, " ")
}

// observations holds the records of clients and servers during one timeline.
type observations struct {
	requests   []*Request
	executions map[string][]Execution // by request ID
	uptimes    [][]interval           // by process index
	deadline   time.Duration          // from the start of each request to its deadline
	crashes    []string               // a description of each crash
}

// evaluate classifies each request by its outcome, and counts the violations by requests and the crashes.
func evaluate(observed *observations) *Report {
	r := &Report{Requests: len(observed.requests), Crashes: len(observed.crashes), Violations: observed.crashes}
	latency, retryLatency := hdrhistogram.New(1, 3_600_000_000, 3), hdrhistogram.New(1, 3_600_000_000, 3)
	for _, q := range observed.requests {
		r.evaluateRequest(observed, q, latency, retryLatency)
	}
	inMs := func(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	r.P50Ms, r.P99Ms, r.RetryP50Ms, r.RetryP99Ms = inMs(latency, 50), inMs(latency, 99), inMs(retryLatency, 50), inMs(retryLatency, 99)
	return r
}

func (r *Report) evaluateRequest(observed *observations, q *Request, latency, retryLatency *hdrhistogram.Histogram) {
	executions := observed.executions[q.ID]
	firstRetry := q.firstRetry()
	if firstRetry != nil {
		r.Retried++
	}
	var final *Attempt
	served := ""
	rejected, conflicting, corrupt := false, false, false
	for i := range q.Attempts {
		a := &q.Attempts[i]
		if a.index == 0 && !a.Extra {
			r.LateMs = max(r.LateMs, a.Offset.Milliseconds())
		}
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
	case final == nil && !observed.reachable(q):
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
	if rejected && len(executions) > 0 && q.Class == "once" { // with an idempotency key, a retry is harmless even after an execution
		r.addViolation(&r.FalseRejections, "false_refusals", q, executions)
	}
	if conflicting {
		r.addViolation(&r.ConflictingResponses, "two_answers", q, executions)
	}
	if corrupt {
		r.addViolation(&r.CorruptResponses, "spoilt", q, executions)
	}
}

// violatedRules describes each kind of violation by a request, by the key of the kind in the report.
var violatedRules = map[string]string{
	"lost":           "no final response, although a member ran long enough to respond",
	"twice":          "more than one execution had an effect",
	"false_refusals": "the request was rejected although it was executed",
	"two_answers":    "two responses with status 200 differ",
	"spoilt":         "no server produced the response with status 200",
}

// addViolation counts a violation, and describes it in the report if it is among the first maxDescribed of its kind.
func (r *Report) addViolation(count *int, kind string, q *Request, runs []Execution) {
	if *count++; *count > maxDescribed {
		return
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s: %s; request %s of class %s, attempts:", kind, violatedRules[kind], q.ID, q.Class)
	for _, a := range q.Attempts {
		fmt.Fprintf(&b, " [to n%d after %d ms, took %d ms: status %d, body %q, error %q]", a.Member+1, a.Offset.Milliseconds(), a.Duration.Milliseconds(), a.Status, a.Body[:min(len(a.Body), 80)], a.Err)
	}
	for _, run := range runs {
		fmt.Fprintf(&b, " (executed by %s after %d ms, repeat %t)", run.Server, run.At.Sub(q.StartedAt).Milliseconds(), run.Repeat)
	}
	r.Violations = append(r.Violations, b.String())
}

// effects returns how many of the executions had an effect. Executions of a safe request (class look) have none, nor have executions whose
// idempotency key the server already knew.
func effects(class string, runs []Execution) (n int) {
	for _, run := range runs {
		if class != "look" && !run.Repeat {
			n++
		}
	}
	return n
}

// producedBy reports whether one of the executions produced the response.
func producedBy(runs []Execution, response string) bool {
	return slices.ContainsFunc(runs, func(run Execution) bool { return run.Response == response })
}

// reachable reports whether a member ran for at least minUptime without interruption between the start and the deadline of the request.
func (observed *observations) reachable(q *Request) bool {
	from, to := q.StartedAt, q.StartedAt.Add(observed.deadline)
	for _, uptimes := range observed.uptimes {
		for _, s := range uptimes {
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

// Add adds the counts of another report, and takes the larger value of latencies, stalls, CPU time and memory. It does not take over the
// other report's texts and rollout times.
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
	r.StallMs, r.LateMs, r.CPUUs, r.RSSMB = max(r.StallMs, o.StallMs), max(r.LateMs, o.LateMs), max(r.CPUUs, o.CPUUs), max(r.RSSMB, o.RSSMB)
	r.P50Ms, r.P99Ms = max(r.P50Ms, o.P50Ms), max(r.P99Ms, o.P99Ms)
	r.RetryP50Ms, r.RetryP99Ms = max(r.RetryP50Ms, o.RetryP50Ms), max(r.RetryP99Ms, o.RetryP99Ms)
}

// Line formats the report as one line of key=value pairs.
func (r *Report) Line() string {
	return fmt.Sprintf("requests=%d asked_again=%d served=%d again_served=%d refused=%d failed=%d excused=%d lost=%d twice=%d false_refusals=%d "+
		"two_answers=%d spoilt=%d crashes=%d acts=%d matched=%d in_gaps=%d misstated=%d below_fence=%d over_guard=%d unagreed=%d stall_ms=%d late_ms=%d cpu_us=%d rss_mb=%.1f p50_ms=%.1f p99_ms=%.1f again_p50_ms=%.1f again_p99_ms=%.1f",
		r.Requests, r.Retried, r.Served, r.RetriedServed, r.Rejected, r.Failed, r.Unreachable, r.Lost, r.DuplicateEffects, r.FalseRejections,
		r.ConflictingResponses, r.CorruptResponses, r.Crashes, r.AuditEvents, r.AuditMatches, r.AuditGaps, r.AuditMismatches, r.BelowFence, r.OverExclusionLimit, r.NotConverged, r.StallMs, r.LateMs, r.CPUUs, r.RSSMB, r.P50Ms, r.P99Ms, r.RetryP50Ms, r.RetryP99Ms)
}
