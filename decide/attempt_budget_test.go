package decide

import (
	"fmt"
	"testing"
)

// withAttemptBudget are test settings with an attempt budget.
func withAttemptBudget(minimum, ratio float64, window int64) Settings {
	set := testSettings()
	set.Rules.AttemptBudgetMin, set.Rules.AttemptBudgetRatio, set.Rules.AttemptBudgetWindow = minimum, ratio, window
	return set
}

// However an attempt ends, a retry needs a place in the attempt budget, which the workload counts exactly. A
// request that may not be sent again has its answer at once. Most retries here follow saturated endpoints,
// which need no retry token.
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
						t.Fatalf("%s is held, though %v retries are left", a.request.ID, left)
					}
				}
				w.advance(20_000)
			}
			if rules := set.Rules; len(w.retryTimes) == 0 && rules.AttemptBudgetMin+rules.AttemptBudgetRatio > 0 {
				t.Errorf("%v: no retries at all under %+v", failure, rules)
			}
		}
	}
}

// A new window, longer or where there was none, adds no attempts (the workload remembers all of them), and
// the same window again takes none away.
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
			t.Fatalf("the same settings again: %v, was %v", w.b.attemptBudgetRemaining(w.now), before)
		}
	}
}

// Two processes of an upgrade have one fixed part of the budget between them: the new one goes by its own
// requests alone until the old one's attempts have left the window.
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
		t.Fatalf("%d retries for 5 requests beside another process", len(w.retryTimes))
	}
	w.advance(9 * second)
	w.b.SetPeerProcessActive(w.now, false)
	if w.advance(9 * second); w.b.attemptBudgetRemaining(w.now) > 0 {
		t.Fatalf("%v left while the other process counts", w.b.attemptBudgetRemaining(w.now))
	}
	if w.advance(second); w.b.attemptBudgetRemaining(w.now) < 3 {
		t.Fatalf("%v left alone", w.b.attemptBudgetRemaining(w.now))
	}
}

// A clock that steps back neither forgets retries nor adds attempts, and the counts keep their size.
func TestBackwardClockKeepsAttemptBudgetCounts(t *testing.T) {
	var n attemptBudget
	n.setWindow(10 * second)
	for i := range int64(100_000) {
		n.slot(1000*second+i*37%(5*second)).retries++
	}
	if _, retries := n.counts(990 * second); retries != 100_000 {
		t.Fatal(retries)
	}
	if _, retries := n.counts(1016 * second); retries != 0 {
		t.Fatal(retries)
	}
}
