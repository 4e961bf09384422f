package callchain

import (
	"encoding/json"
	"os"
	"testing"
	"time"
)

// The JSON keys of reports and the format of their printed lines do not change: other tools read both.
func TestReportFormatIsStable(t *testing.T) {
	c := testConfig(2)
	c.FaultShare, c.FaultDuration, c.MaxAttemptsAbove = 0.5, 3*time.Second, 2
	report := Report{
		Config: c, Requests: 1, DuplicateAnswers: 2, SentAfterAnswer: 3, Unanswered: 4, OverBudget: 5,
		Levels:        []Level{{Accepted: 1, NeverSent: 2, Attempts: 3, Retries: 4, NotDelivered: 5, Served: 6, Rejected: 7, Failed: 8}},
		Amplification: 1.1, SteadyAmplification: 1.2, WorstAmplification: 1.3, SteadyServedShare: 0.4, AmplificationBound: 1.5, WorstBound: 1.6, SettledMs: 7, ServingMs: 8,
	}
	added := AddedLatency{
		Hops: 1, HopP50: 2, HopP99: 3, IndependentP50: 4, IndependentP99: 5, IndependentOver: 0.6, DependentP50: 7, DependentP99: 8, DependentOver: 0.9,
		AnyHopOver: 0.11, IndependentOverOneSlow: 0.12,
	}
	got, err := json.MarshalIndent(map[string]any{"report": report, "report line": report.String(), "added": added, "added line": added.String()}, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	want, err := os.ReadFile("testdata/report.json")
	if err != nil {
		t.Fatal(err)
	}
	if string(got)+"\n" != string(want) {
		t.Errorf("got reports %s\nwant %s", got, want)
	}
}
