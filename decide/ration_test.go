package decide

import (
	"fmt"
	"testing"
)

// budgeted are test settings with a budget of attempts.
func budgeted(floor, ratio float64, span int64) Settings {
	set := testSettings()
	set.Rules.AttemptBudgetMin, set.Rules.AttemptBudgetRatio, set.Rules.AttemptBudgetWindow = floor, ratio, span
	return set
}

// As reported from overloaded days: 27 further attempts in 10 s where 158 requests allow 26.7, most of them after servers
// that were full, which the retry budget does not count. However an attempt ends, the next one asks the budget, the
// reference of the world counts exactly, and a request that may not be sent again has its answer at once.
func TestFurtherAttemptsStayWithinTheBudget(t *testing.T) {
	for _, end := range []Result{Saturated, ConnectFailed, Errored, Reset, TimedOut, NotSent} {
		for _, set := range []Settings{budgeted(3, 0.15, 10*second), budgeted(0, 0.05, 5*second), budgeted(2, 0, 10*second),
			budgeted(0, 0, 10*second), budgeted(1, 0.3, 333_333)} {
			w := newWorld(t, set, fleet(9)...)
			for i := range 600 {
				w.request(fmt.Sprint("r", i), i%4, 2*second)
				for len(w.pending) > 0 {
					f, result := w.pending[0], end
					if i%8 > 4 {
						result = Succeeded
					}
					w.settle(f, result)
					if left := w.b.attemptBudgetRemaining(w.now); left < 1 && f.r.answered == "" && f.r.tries[len(f.r.tries)-1].over {
						t.Fatalf("%s is held, though %v further attempts are left", f.r.ID, left)
					}
				}
				w.advance(20_000)
			}
			if rules := set.Rules; len(w.further) == 0 && rules.AttemptBudgetMin+rules.AttemptBudgetRatio > 0 {
				t.Errorf("%v: no further attempt at all under %+v", end, rules)
			}
		}
	}
}

// A new span, a longer one or one where there was none, mints nothing (the world's reference remembers everything), and
// the same span again takes nothing away.
func TestBudgetOverRetunes(t *testing.T) {
	w := newWorld(t, budgeted(4, 0.2, 2*second), fleet(6)...)
	for i := range 400 {
		w.request(fmt.Sprint("r", i), 0, second)
		for range 3 {
			if len(w.pending) > 0 {
				w.settle(w.pending[0], Saturated)
			}
		}
		w.advance(50_000)
		switch i % 100 {
		case 20:
			w.retune(budgeted(4, 0.2, 15*second))
		case 40:
			w.retune(testSettings())
		case 60:
			w.retune(budgeted(1, 0.1, second))
		case 80:
			w.retune(budgeted(4, 0.2, 2*second))
		}
		before := w.b.attemptBudgetRemaining(w.now)
		if w.retune(w.set); w.b.attemptBudgetRemaining(w.now) != before {
			t.Fatalf("the same settings again: %v, was %v", w.b.attemptBudgetRemaining(w.now), before)
		}
	}
}

// Two processes of one upgrade have one floor between them: the new one counts on its own requests alone, until the old
// one's attempts have left the span.
func TestOneFloorForTwoProcesses(t *testing.T) {
	w := newWorld(t, budgeted(3, 0.1, 10*second), fleet(4)...)
	w.b.SetPeerProcessActive(w.now, true)
	for i := range 5 {
		w.request(fmt.Sprint("r", i), 0, second)
		if len(w.pending) > 0 {
			w.settle(w.pending[0], Saturated)
		}
	}
	if len(w.further) > 0 {
		t.Fatalf("%d further attempts for 5 requests beside another process", len(w.further))
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
func TestRationClock(t *testing.T) {
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

// A scarce attempt goes where it helps: once attempts after errors have never helped, the few left are not spent on
// them, but are on full servers, where others had room; a request of more value passes where a mean one does not; and
// without a budget, or with plenty left, all are tried.
func TestScarceAttemptsGoWhereTheyHelp(t *testing.T) {
	w := newWorld(t, budgeted(3, 0, 10*second), fleet(5)...)
	b, r := w.b, &request{priority: 1}
	b.meanPriority, b.retrySuccessRates[Errored], b.retrySuccessRates[Saturated] = 1, 0.01, 0.9
	failed, full := &attempt{result: Errored}, &attempt{result: Saturated}
	if b.acquireRetry(w.now, r, failed) || !b.acquireRetry(w.now, r, full) {
		t.Error("of three left one was spent after an error, or none after full")
	}
	if r.priority = 100; !b.acquireRetry(w.now, r, failed) {
		t.Error("a request of a hundred times the value was not tried again")
	}
	r.priority = 1
	for _, set := range []Settings{testSettings(), budgeted(20, 0, 10*second)} {
		if w.retune(set); !b.acquireRetry(w.now, r, failed) {
			t.Errorf("not tried again with %v left", b.attemptBudgetRemaining(w.now))
		}
	}
	near(t, "odds after one more that failed", oddsAfter(b, Errored, Errored), 0.01*(1-1/retrySuccessRetries), 1e-9)
	near(t, "odds after one that helped", oddsAfter(b, Saturated, Succeeded), 0.9+0.1/retrySuccessRetries, 1e-9)
}

func oddsAfter(b *Balancer, cause, result Result) float64 {
	b.recordRetryResult(&request{attempts: []attempt{{result: cause}, {}}}, Outcome{Attempt: 1, Result: result})
	return b.retrySuccessRates[cause]
}
