package decide

import (
	"fmt"
	"math"
	"testing"
)

// With the least settings that are valid, an infinite capacity and invalid load reports, requests are still
// answered.
func TestMinimalSettingsAndInvalidReports(t *testing.T) {
	set := Settings{Classes: []Class{{Name: "bare"}}}
	if err := set.Validate(); err != nil {
		t.Fatal(err)
	}
	w := newWorkload(t, set, Endpoint{ID: "s0"}, Endpoint{ID: "s1", Capacity: math.Inf(1)})
	for i := range 100 {
		r := w.sendRequest(fmt.Sprint("r", i), 0, second)
		for len(r.attempts) > 0 && r.answer == "" && len(w.inFlight) > 0 {
			w.endAttempt(r.attempts[len(r.attempts)-1], Saturated)
		}
		if r.answer == "" {
			w.advance(2 * second)
		}
		w.b.OnHealthCheck(w.now, HealthCheckOutcome{Server: "nobody", Load: &LoadReport{InFlight: math.NaN()}})
	}
	w.updateEndpoints(true)
	if r := w.sendRequest("last", 0, second); r.answer != "reject" {
		t.Errorf("without endpoints: answer %q, want reject", r.answer)
	}
}

func TestValidateRejectsInvalidSettings(t *testing.T) {
	for name, invalidate := range map[string]func(*Settings){
		"no classes":                   func(s *Settings) { s.Classes = nil },
		"negative window":              func(s *Settings) { s.Classes[0].DedupWindow = -1 },
		"negative latency objective":   func(s *Settings) { s.Classes[0].LatencyObjective = -1 },
		"priority weight not a number": func(s *Settings) { s.Classes[0].PriorityWeight = math.NaN() },
		"slow start share above one":   func(s *Settings) { s.Rules.SlowStartMinShare = 2 },
		"negative overload window":     func(s *Settings) { s.Rules.OverloadWindow = -1 },
		"negative attempt limit":       func(s *Settings) { s.Limits.MaxAttempts = -1 },
		"class without a name":         func(s *Settings) { s.Classes[0].Name = "" },
		"tenant":                       func(s *Settings) { s.Tenants = []Tenant{{Name: "x", Allowance: -1}} },
	} {
		set := testSettings()
		invalidate(&set)
		if set.Validate() == nil {
			t.Errorf("%s: Validate returned no error", name)
		}
	}
}
