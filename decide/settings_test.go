package decide

import (
	"fmt"
	"math"
	"testing"
)

func TestExtremeSettingsAndReports(t *testing.T) {
	set := Settings{Classes: []Class{{Name: "bare"}}}
	if err := set.Validate(); err != nil {
		t.Fatal(err)
	}
	w := newWorkload(t, set, Endpoint{ID: "s0"}, Endpoint{ID: "s1", Capacity: math.Inf(1)})
	for i := range 100 {
		r := w.request(fmt.Sprint("r", i), 0, second)
		for len(r.attempts) > 0 && r.answered == "" && len(w.inFlight) > 0 {
			w.endAttempt(r.attempts[len(r.attempts)-1], Saturated)
		}
		if r.answered == "" {
			w.advance(2 * second)
		}
		w.b.OnHealthCheck(w.now, HealthCheckOutcome{Server: "nobody", Load: &LoadReport{InFlight: math.NaN()}})
	}
	w.sendEndpoints(true)
	if r := w.request("last", 0, second); r.answered != "reject" {
		t.Errorf("with nobody listed: %q, want reject", r.answered)
	}
}

func TestValidate(t *testing.T) {
	for name, spoil := range map[string]func(*Settings){
		"no classes":       func(s *Settings) { s.Classes = nil },
		"negative window":  func(s *Settings) { s.Classes[0].DedupWindow = -1 },
		"negative aim":     func(s *Settings) { s.Classes[0].LatencyObjective = -1 },
		"worth not number": func(s *Settings) { s.Classes[0].PriorityWeight = math.NaN() },
		"cold share":       func(s *Settings) { s.Rules.SlowStartMinShare = 2 },
		"negative rule":    func(s *Settings) { s.Rules.OverloadWindow = -1 },
		"negative limit":   func(s *Settings) { s.Limits.MaxAttempts = -1 },
		"nameless class":   func(s *Settings) { s.Classes[0].Name = "" },
		"tenant":           func(s *Settings) { s.Tenants = []Tenant{{Name: "x", Allowance: -1}} },
	} {
		set := testSettings()
		spoil(&set)
		if set.Validate() == nil {
			t.Errorf("%s: accepted", name)
		}
	}
}
