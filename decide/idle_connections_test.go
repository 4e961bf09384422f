package decide

import (
	"strings"
	"testing"
)

// An attempt without an answer on an idle connection closes it; after two of them connections idle for as
// long are closed before a send. Slow answers close none.
func TestDeadConnectionsAreClosed(t *testing.T) {
	w := newWorkload(t, testSettings(), testEndpoints(1)...)
	served := func(id string) { w.endAttempt(w.request(id, 0, 2*second).attempts[0], Succeeded) }
	closes := func() (n int) {
		for _, a := range w.actions {
			if strings.Contains(a, " close ") {
				n++
			}
		}
		return n
	}
	served("a")
	w.advance(second)
	served("b") // idle for a second and still good
	if closes() != 0 {
		t.Fatal("a connection was closed without cause")
	}
	want := func(n int, when string) {
		if t.Helper(); closes() != n {
			t.Errorf("%d closes %s, want %d", closes(), when, n)
		}
	}
	lose := func(id string) { // and one more, on a new connection
		w.advance(second)
		if lost := w.request(id, 0, 300_000); len(lost.attempts) != 1 {
			t.Fatal("not sent")
		}
		w.advance(400_000)
		served(id + " again")
	}
	lose("c")
	want(1, "after a lost attempt")
	w.advance(900_000)
	served("d")
	want(1, "as long idle again: the server may have been slow")
	lose("e")
	want(2, "after another lost attempt")
	w.advance(700_000) // under 0.8 of the second
	served("f")
	want(2, "under the time that two have lost")
	w.advance(900_000)
	served("g")
	want(3, "after longer idling")
}
