package decide

import "testing"

// A request that another balancer may have sent is sent again only where that has no second effect, and what is sent counts
// as beyond its first attempt. Guards against a takeover that runs work twice or mints attempts.
func TestARequestThatAnotherMayHaveSent(t *testing.T) {
	for _, c := range []struct {
		name   string
		class  int
		former int64
		floor  float64 // of the budget of attempts
		sent   bool
		answer string // where it is not sent
	}{
		{"nobody has", 4, 0, 0, true, ""},
		{"safe", 0, 100_000, 1, true, ""},
		{"safe, no attempt left", 0, 100_000, 0, false, "refuse"},
		{"keyed", 1, 100_000, 1, true, ""},
		{"keyed, no attempt left", 1, 100_000, 0, false, "refuse"},
		{"keyed, its window over", 1, second, 1, false, "fail"},
		{"keyed in one zone, nobody knows which", 2, 100_000, 1, false, "fail"},
		{"keyed in one cell, nobody knows which", 3, 100_000, 1, false, "fail"},
		{"unsafe", 4, 100_000, 1, false, "fail"},
	} {
		w := newWorld(t, budgeted(c.floor, 0, 10*second), fleet(6)...)
		r := w.take(Request{ID: "x", Class: c.class, Tenant: -1, TimeLeft: 2 * second, Key: "k", PriorAttemptAge: c.former})
		w.advance(2 * second)
		_, further := w.b.attemptBudget.counts(w.now)
		if sent := len(r.tries) > 0; sent != c.sent || !sent && r.answered != c.answer || (further > 0) != (sent && c.former > 0) {
			t.Errorf("%s: sent %t, answered %q, %d further", c.name, sent, r.answered, further)
		}
	}
}
