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
	late      = 500 * time.Millisecond // after its time a final answer still counts as given
	within    = time.Second            // a member that ran for so long within a request's time could have answered
	voidStall = 250 * time.Millisecond // less than half of a lease
	most      = 20                     // breaks of a kind that are told one by one
)

// Report is what a timeline came to, by clients' records and servers' tallies alone.
type Report struct {
	Requests    int `json:"requests"`
	AskedAgain  int `json:"asked_again"`
	Served      int `json:"served"`
	AgainServed int `json:"again_served"` // of those asked again
	Refused     int `json:"refused"`
	Failed      int `json:"failed"`
	Excused     int `json:"excused"` // without an answer, when no member ran for long enough

	Lost          int `json:"lost"`           // no final answer though a member could have given one
	Twice         int `json:"twice"`          // had its effect more than once
	FalseRefusals int `json:"false_refusals"` // ran, and a refusal said that trying again is harmless
	TwoAnswers    int `json:"two_answers"`    // two whole answers that differ
	Spoilt        int `json:"spoilt"`         // a served answer that no server made for it
	Crashes       int `json:"crashes"`        // processes that ended by themselves

	CPUUs   int64   `json:"cpu_us"`             // of all processes that ran at the end, a request
	RSSMB   float64 `json:"rss_mb"`             // of the largest of them, then
	StallMs int64   `json:"stall_ms,omitempty"` // longest time for which the rig itself did not run

	Acts       int              `json:"acts,omitempty"`        // told by the fleet's account
	Matched    int              `json:"matched,omitempty"`     // runs and answers that the account tells as they were seen
	InGaps     int              `json:"in_gaps,omitempty"`     // runs and answers in gaps that the account states
	Misstated  int              `json:"misstated,omitempty"`   // told otherwise than seen, or missing where no gap is stated
	BelowFence int              `json:"below_fence,omitempty"` // runs under a version below the fence, later than a lease after it
	OverGuard  int              `json:"over_guard,omitempty"`  // members shut out at once past the guard, at most
	Unagreed   int              `json:"unagreed,omitempty"`    // members that did not come to the target by the end
	Steps      []string         `json:"steps,omitempty"`       // of operators, with what the fleet said
	TurnMs     map[uint64]int64 `json:"turn_ms,omitempty"`     // by version: from its order to the last run under an older one
	Held       string           `json:"held,omitempty"`        // why the last target went no further
	Waits      string           `json:"waits,omitempty"`       // why a rollout had not ended

	P50Ms, P99Ms           float64  // of all that were served
	AgainP50Ms, AgainP99Ms float64  // of those asked again: from the second ask to the answer
	Breaks                 []string `json:"breaks,omitempty"` // the first of each kind, told
}

// Kept tells whether no rule was broken.
func (r *Report) Kept() bool {
	return r.Lost+r.Twice+r.FalseRefusals+r.TwoAnswers+r.Spoilt+r.Crashes+r.Misstated+r.BelowFence+r.OverGuard == 0
}

// Void tells whether the machine stood still for so long that what was broken says nothing of the program.
func (r *Report) Void() bool { return r.StallMs > voidStall.Milliseconds() }

// Why tells what was broken, empty: nothing.
func (r *Report) Why() string {
	var all []string
	for _, b := range []struct {
		name string
		n    int
	}{
		{"lost", r.Lost}, {"twice", r.Twice}, {"false refusals", r.FalseRefusals}, {"two answers", r.TwoAnswers},
		{"spoilt", r.Spoilt}, {"crashes", r.Crashes}, {"misstated", r.Misstated}, {"below the fence", r.BelowFence}, {"over the guard", r.OverGuard},
	} {
		if b.n > 0 {
			all = append(all, fmt.Sprintf("%d %s", b.n, b.name))
		}
	}
	return strings.Join(all, ", ")
}

// record is what was seen of one timeline.
type record struct {
	requests []*Request
	runs     map[string][]Execution
	ups      [][]span // by process
	deadline time.Duration
	crashes  []string
}

// judge says what became of each request.
func judge(rec *record) *Report {
	r := &Report{Requests: len(rec.requests), Crashes: len(rec.crashes), Breaks: rec.crashes}
	all, again := hdrhistogram.New(1, 3_600_000_000, 3), hdrhistogram.New(1, 3_600_000_000, 3)
	for _, q := range rec.requests {
		r.one(rec, q, all, again)
	}
	inMs := func(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	r.P50Ms, r.P99Ms, r.AgainP50Ms, r.AgainP99Ms = inMs(all, 50), inMs(all, 99), inMs(again, 50), inMs(again, 99)
	return r
}

func (r *Report) one(rec *record, q *Request, all, again *hdrhistogram.Histogram) {
	runs := rec.runs[q.ID]
	second := q.second()
	if second != nil {
		r.AskedAgain++
	}
	var end *Ask
	served := ""
	refused, differ, spoilt := false, false, false
	for i := range q.Asks {
		a := &q.Asks[i]
		if !a.final() {
			continue
		}
		if end == nil {
			end = a
		}
		refused = refused || a.refused()
		if a.Status == http.StatusOK {
			differ = differ || served != "" && served != a.Body
			spoilt = spoilt || !made(runs, a.Body)
			served = a.Body
		}
	}
	switch {
	case end == nil && !rec.reachable(q):
		r.Excused++
	case end == nil:
		r.broke(&r.Lost, "lost", q, runs)
	case end.Status == http.StatusOK:
		r.Served++
		all.RecordValue((end.After + end.Took).Microseconds())
		if second != nil {
			r.AgainServed++
			again.RecordValue(max(0, end.After+end.Took-second.After).Microseconds())
		}
	case end.refused():
		r.Refused++
	default:
		r.Failed++
	}
	if effects(q.Class, runs) > 1 {
		r.broke(&r.Twice, "twice", q, runs)
	}
	if refused && len(runs) > 0 && q.Class == "once" { // a key makes trying again harmless
		r.broke(&r.FalseRefusals, "false refusal", q, runs)
	}
	if differ {
		r.broke(&r.TwoAnswers, "two answers", q, runs)
	}
	if spoilt {
		r.broke(&r.Spoilt, "spoilt", q, runs)
	}
}

// broke counts a break and tells the first ones.
func (r *Report) broke(count *int, kind string, q *Request, runs []Execution) {
	if *count++; *count > most {
		return
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s: %s %s:", kind, q.Class, q.ID)
	for _, a := range q.Asks {
		fmt.Fprintf(&b, " [n%d after %d ms for %d ms: %d %q %s]", a.Member+1, a.After.Milliseconds(), a.Took.Milliseconds(), a.Status, a.Body[:min(len(a.Body), 80)], a.Err)
	}
	for _, run := range runs {
		fmt.Fprintf(&b, " (ran at %s after %d ms, repeat %t)", run.Server, run.At.Sub(q.At).Milliseconds(), run.Repeat)
	}
	r.Breaks = append(r.Breaks, b.String())
}

// effects counts the runs that had an effect.
func effects(class string, runs []Execution) (n int) {
	for _, run := range runs {
		if class != "look" && !run.Repeat {
			n++
		}
	}
	return n
}

func made(runs []Execution, answer string) bool {
	return slices.ContainsFunc(runs, func(run Execution) bool { return run.Answer == answer })
}

// reachable tells whether some member ran long enough within the request's time to answer it.
func (rec *record) reachable(q *Request) bool {
	from, to := q.At, q.At.Add(rec.deadline)
	for _, ups := range rec.ups {
		for _, s := range ups {
			begin, end := later(s.from, from), to
			if !s.to.IsZero() && s.to.Before(to) {
				end = s.to
			}
			if end.Sub(begin) >= within {
				return true
			}
		}
	}
	return false
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Add adds another report's counts.
func (r *Report) Add(o *Report) {
	for _, p := range []struct{ to, from *int }{
		{&r.Requests, &o.Requests}, {&r.AskedAgain, &o.AskedAgain}, {&r.Served, &o.Served}, {&r.AgainServed, &o.AgainServed},
		{&r.Refused, &o.Refused}, {&r.Failed, &o.Failed}, {&r.Excused, &o.Excused}, {&r.Lost, &o.Lost}, {&r.Twice, &o.Twice},
		{&r.FalseRefusals, &o.FalseRefusals}, {&r.TwoAnswers, &o.TwoAnswers}, {&r.Spoilt, &o.Spoilt}, {&r.Crashes, &o.Crashes},
		{&r.Acts, &o.Acts}, {&r.Matched, &o.Matched}, {&r.InGaps, &o.InGaps}, {&r.Misstated, &o.Misstated}, {&r.BelowFence, &o.BelowFence},
		{&r.OverGuard, &o.OverGuard}, {&r.Unagreed, &o.Unagreed},
	} {
		*p.to += *p.from
	}
	// Of several timelines the worst figures stand.
	r.StallMs, r.CPUUs, r.RSSMB = max(r.StallMs, o.StallMs), max(r.CPUUs, o.CPUUs), max(r.RSSMB, o.RSSMB)
	r.P50Ms, r.P99Ms = max(r.P50Ms, o.P50Ms), max(r.P99Ms, o.P99Ms)
	r.AgainP50Ms, r.AgainP99Ms = max(r.AgainP50Ms, o.AgainP50Ms), max(r.AgainP99Ms, o.AgainP99Ms)
}

// Line tells a report in one line.
func (r *Report) Line() string {
	return fmt.Sprintf("requests=%d asked_again=%d served=%d again_served=%d refused=%d failed=%d excused=%d lost=%d twice=%d false_refusals=%d "+
		"two_answers=%d spoilt=%d crashes=%d acts=%d matched=%d in_gaps=%d misstated=%d below_fence=%d over_guard=%d unagreed=%d stall_ms=%d cpu_us=%d rss_mb=%.1f p50_ms=%.1f p99_ms=%.1f again_p50_ms=%.1f again_p99_ms=%.1f",
		r.Requests, r.AskedAgain, r.Served, r.AgainServed, r.Refused, r.Failed, r.Excused, r.Lost, r.Twice, r.FalseRefusals,
		r.TwoAnswers, r.Spoilt, r.Crashes, r.Acts, r.Matched, r.InGaps, r.Misstated, r.BelowFence, r.OverGuard, r.Unagreed, r.StallMs, r.CPUUs, r.RSSMB, r.P50Ms, r.P99Ms, r.AgainP50Ms, r.AgainP99Ms)
}
