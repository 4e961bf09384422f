package decide

import (
	"strings"
	"testing"
)

// An attempt without an answer on an idle connection closes it; after two of them connections idle for as
// long are closed before a send. Slow answers close none.
func TestSuspectIdleConnectionsAreClosed(t *testing.T) {
	w := newWorkload(t, testSettings(), testEndpoints(1)...)
	serve := func(id string) { w.endAttempt(w.sendRequest(id, 0, 2*second).attempts[0], Succeeded) }
	countCloses := func() (n int) {
		for _, a := range w.actions {
			if strings.Contains(a, " close ") {
				n++
			}
		}
		return n
	}
	serve("a")
	w.advance(second)
	serve("b") // idle for a second and still good
	if countCloses() != 0 {
		t.Fatal("a connection was closed without cause")
	}
	assertCloses := func(n int, when string) {
		if t.Helper(); countCloses() != n {
			t.Errorf("%d closes %s, want %d", countCloses(), when, n)
		}
	}
	loseAttempt := func(id string) { // and one more, on a new connection
		w.advance(second)
		if r := w.sendRequest(id, 0, 300_000); len(r.attempts) != 1 {
			t.Fatal("not sent")
		}
		w.advance(400_000)
		serve(id + " again")
	}
	loseAttempt("c")
	assertCloses(1, "after a lost attempt")
	w.advance(900_000)
	serve("d")
	assertCloses(1, "as long idle again: the server may have been slow")
	loseAttempt("e")
	assertCloses(2, "after another lost attempt")
	w.advance(700_000) // under 0.8 of the second
	serve("f")
	assertCloses(2, "under the time that two have lost")
	w.advance(900_000)
	serve("g")
	assertCloses(3, "after longer idling")
}
