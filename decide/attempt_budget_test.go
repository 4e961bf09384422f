package decide

import (
	"fmt"
	"testing"
)

// withAttemptBudget returns test settings with an attempt budget.
func withAttemptBudget(minimum, ratio float64, window int64) Settings {
	set := testSettings()
	set.Rules.AttemptBudgetMin, set.Rules.AttemptBudgetRatio, set.Rules.AttemptBudgetWindow = minimum, ratio, window
	return set
}

// However an attempt ends, a retry needs room in the attempt budget, which the workload counts exactly. A
// request that may not be retried is answered at once. Most retries here follow saturated endpoints and need
// no retry token.
func TestRetriesStayWithinAttemptBudget(t *testing.T) {
	for _, failure := range []Result{Saturated, ConnectFailed, Errored, Reset, TimedOut, NotSent} {
		for _, set := range []Settings{withAttemptBudget(3, 0.15, 10*second), withAttemptBudget(0, 0.05, 5*second), withAttemptBudget(2, 0, 10*second),
			withAttemptBudget(0, 0, 10*second), withAttemptBudget(1, 0.3, 333_333)} {
			w := newWorkload(t, set, testEndpoints(9)...)
			for i := range 600 {
				w.sendRequest(fmt.Sprint("r", i), i%4, 2*second)
				for len(w.inFlight) > 0 {
					a, result := w.inFlight[0], failure
					if i%8 > 4 {
						result = Succeeded
					}
					w.endAttempt(a, result)
					if left := w.b.attemptBudgetRemaining(w.now); left < 1 && a.request.answer == "" && a.request.attempts[len(a.request.attempts)-1].ended {
						t.Fatalf("request %s has no answer and no attempt in flight with %v retries left in the budget", a.request.ID, left)
					}
				}
				w.advance(20_000)
			}
			if rules := set.Rules; len(w.retryTimes) == 0 && rules.AttemptBudgetMin+rules.AttemptBudgetRatio > 0 {
				t.Errorf("attempts ending with %v: no retries with rules %+v", failure, rules)
			}
		}
	}
}

// A new budget window, whether longer or the first one, allows no additional attempts (the workload counts
// all of them), and an update to the same window takes no attempts away.
func TestSettingsUpdateNeverIncreasesAttemptBudget(t *testing.T) {
	w := newWorkload(t, withAttemptBudget(4, 0.2, 2*second), testEndpoints(6)...)
	for i := range 400 {
		w.sendRequest(fmt.Sprint("r", i), 0, second)
		for range 3 {
			if len(w.inFlight) > 0 {
				w.endAttempt(w.inFlight[0], Saturated)
			}
		}
		w.advance(50_000)
		switch i % 100 {
		case 20:
			w.updateSettings(withAttemptBudget(4, 0.2, 15*second))
		case 40:
			w.updateSettings(testSettings())
		case 60:
			w.updateSettings(withAttemptBudget(1, 0.1, second))
		case 80:
			w.updateSettings(withAttemptBudget(4, 0.2, 2*second))
		}
		before := w.b.attemptBudgetRemaining(w.now)
		if w.updateSettings(w.set); w.b.attemptBudgetRemaining(w.now) != before {
			t.Fatalf("attempts left after an update to the same settings: got %v, want %v", w.b.attemptBudgetRemaining(w.now), before)
		}
	}
}

// During an upgrade the fixed part of the budget belongs to the old process. The new process has the part for
// its own requests alone until the attempts of the old one have left the window.
func TestProcessesOfAnUpgradeShareOneBudgetFloor(t *testing.T) {
	w := newWorkload(t, withAttemptBudget(3, 0.1, 10*second), testEndpoints(4)...)
	w.b.SetPeerProcessActive(w.now, true)
	for i := range 5 {
		w.sendRequest(fmt.Sprint("r", i), 0, second)
		if len(w.inFlight) > 0 {
			w.endAttempt(w.inFlight[0], Saturated)
		}
	}
	if len(w.retryTimes) > 0 {
		t.Fatalf("%d retries for 5 requests while another process is active, want 0", len(w.retryTimes))
	}
	w.advance(9 * second)
	w.b.SetPeerProcessActive(w.now, false)
	if w.advance(9 * second); w.b.attemptBudgetRemaining(w.now) > 0 {
		t.Fatalf("%v attempts left while attempts of the other process are in the window, want 0", w.b.attemptBudgetRemaining(w.now))
	}
	if w.advance(second); w.b.attemptBudgetRemaining(w.now) < 3 {
		t.Fatalf("%v attempts left after attempts of the other process have left the window, want at least 3", w.b.attemptBudgetRemaining(w.now))
	}
}

// A clock that steps back neither drops retries nor adds attempts, and the size of the counts stays fixed.
func TestBackwardClockKeepsAttemptBudgetCounts(t *testing.T) {
	var n attemptBudget
	n.setWindow(10 * second)
	for i := range int64(100_000) {
		n.slot(1000*second+i*37%(5*second)).retries++
	}
	if _, retries := n.counts(990 * second); retries != 100_000 {
		t.Fatalf("%d retries counted at a clock that stepped back, want 100000", retries)
	}
	if _, retries := n.counts(1016 * second); retries != 0 {
		t.Fatalf("%d retries counted after the window, want 0", retries)
	}
}
