package decide

import (
	"strings"
	"testing"
)

// An attempt without an answer on an idle connection closes the connection. After two of them, connections
// that were idle for as long are closed before a send. Slow answers close no connection.
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
	serve("b") // the connection was idle for a second and still works
	if countCloses() != 0 {
		t.Fatal("an idle connection that works was closed")
	}
	assertCloses := func(n int, when string) {
		if t.Helper(); countCloses() != n {
			t.Errorf("%d connections closed %s, want %d", countCloses(), when, n)
		}
	}
	loseAttempt := func(id string) { // the next request uses a new connection
		w.advance(second)
		if r := w.sendRequest(id, 0, 300_000); len(r.attempts) != 1 {
			t.Fatal("the request on the idle connection was not sent")
		}
		w.advance(400_000)
		serve(id + " again")
	}
	loseAttempt("c")
	assertCloses(1, "after an attempt without an answer")
	w.advance(900_000)
	serve("d")
	assertCloses(1, "after as long an idle time again, since one attempt may just have been slow")
	loseAttempt("e")
	assertCloses(2, "after another attempt without an answer")
	w.advance(700_000) // under 0.8 of the second
	serve("f")
	assertCloses(2, "after an idle time below that of both attempts")
	w.advance(900_000)
	serve("g")
	assertCloses(3, "after a longer idle time")
}
