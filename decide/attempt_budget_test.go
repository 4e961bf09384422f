package decide

import (
	"fmt"
	"testing"
)

// withAttemptBudget are test settings with a budget of attempts.
func withAttemptBudget(floor, ratio float64, span int64) Settings {
	set := testSettings()
	set.Rules.AttemptBudgetMin, set.Rules.AttemptBudgetRatio, set.Rules.AttemptBudgetWindow = floor, ratio, span
	return set
}

// As reported from overloaded days: 27 further attempts in 10 s where 158 requests allow 26.7, most of them after servers
// that were full, which the retry budget does not count. However an attempt ends, the next one asks the budget, the
// reference of the world counts exactly, and a request that may not be sent again has its answer at once.
func TestRetriesStayWithinAttemptBudget(t *testing.T) {
	for _, end := range []Result{Saturated, ConnectFailed, Errored, Reset, TimedOut, NotSent} {
		for _, set := range []Settings{withAttemptBudget(3, 0.15, 10*second), withAttemptBudget(0, 0.05, 5*second), withAttemptBudget(2, 0, 10*second),
			withAttemptBudget(0, 0, 10*second), withAttemptBudget(1, 0.3, 333_333)} {
			w := newWorkload(t, set, testEndpoints(9)...)
			for i := range 600 {
				w.request(fmt.Sprint("r", i), i%4, 2*second)
				for len(w.inFlight) > 0 {
					f, result := w.inFlight[0], end
					if i%8 > 4 {
						result = Succeeded
					}
					w.endAttempt(f, result)
					if left := w.b.attemptBudgetRemaining(w.now); left < 1 && f.r.answered == "" && f.r.attempts[len(f.r.attempts)-1].ended {
						t.Fatalf("%s is held, though %v further attempts are left", f.r.ID, left)
					}
				}
				w.advance(20_000)
			}
			if rules := set.Rules; len(w.retryTimes) == 0 && rules.AttemptBudgetMin+rules.AttemptBudgetRatio > 0 {
				t.Errorf("%v: no further attempt at all under %+v", end, rules)
			}
		}
	}
}

// A new span, a longer one or one where there was none, mints nothing (the world's reference remembers everything), and
// the same span again takes nothing away.
func TestAttemptBudgetOverSettingsUpdates(t *testing.T) {
	w := newWorkload(t, withAttemptBudget(4, 0.2, 2*second), testEndpoints(6)...)
	for i := range 400 {
		w.request(fmt.Sprint("r", i), 0, second)
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

// Two processes of one upgrade have one floor between them: the new one counts on its own requests alone, until the old
// one's attempts have left the span.
func TestOneBudgetFloorForTwoProcesses(t *testing.T) {
	w := newWorkload(t, withAttemptBudget(3, 0.1, 10*second), testEndpoints(4)...)
	w.b.SetPeerProcessActive(w.now, true)
	for i := range 5 {
		w.request(fmt.Sprint("r", i), 0, second)
		if len(w.inFlight) > 0 {
			w.endAttempt(w.inFlight[0], Saturated)
		}
	}
	if len(w.retryTimes) > 0 {
		t.Fatalf("%d further attempts for 5 requests beside another process", len(w.retryTimes))
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

// A clock that steps back neither forgets nor mints; the books hold their size.
func TestAttemptBudgetClock(t *testing.T) {
	var n attemptBudget
	n.setWindow(10 * second)
	for i := range int64(100_000) {
		n.slot(1000*second+i*37%(5*second)).retries++
	}
	if _, further := n.counts(990 * second); further != 100_000 {
		t.Fatal(further)
	}
	if _, further := n.counts(1016 * second); further != 0 {
		t.Fatal(further)
	}
}
