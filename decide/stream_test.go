package decide

import "testing"

// An answer that has begun holds no place: its server has done its work. Guards against requests refused for want of
// room while slow clients take long answers (573 of 1,200 in 5 s with 88 out, most of them such).
func TestAnswerThatBeganHoldsNoPlace(t *testing.T) {
	w := newWorld(t, testSettings(), fleet(2)...)
	r := w.request("long", 0, 2*second)
	s := w.b.knownEndpoints[r.tries[0].server.ID]
	if s.inFlight != 1 || w.b.inFlight != 1 {
		t.Fatal(s.inFlight, w.b.inFlight)
	}
	r.answered = "served"
	w.b.OnStreamStarted(w.now, "long", 0)
	w.b.OnStreamStarted(w.now, "long", 0)
	if s.inFlight != 0 || w.b.inFlight != 0 || s.ejections[0].inFlight != 0 {
		t.Fatalf("held at the server %d, in all %d, on trial %d", s.inFlight, w.b.inFlight, s.ejections[0].inFlight)
	}
	w.settle(r.tries[0], Succeeded)
	if s.inFlight != 0 || w.b.inFlight != 0 || s.ejections[0].inFlight != 0 || len(w.b.openRequests) != 0 {
		t.Fatalf("after its end: %d, %d, %d, %d open", s.inFlight, w.b.inFlight, s.ejections[0].inFlight, len(w.b.openRequests))
	}
}

// A body that is not held gets all the time that is left, and no second attempt once it has gone; one that never left is
// tried again.
func TestBodyThatGoesOnce(t *testing.T) {
	w := newWorld(t, testSettings(), fleet(3)...)
	once := func(id string, spent bool) *booked {
		r := w.take(Request{ID: id, Tenant: -1, TimeLeft: 2 * second, BodyUnbuffered: true})
		if got := r.tries[0].expires - w.now; got != 2*second {
			t.Fatalf("%s: %d of %d µs", id, got, 2*second)
		}
		f := r.tries[0]
		f.over = true
		w.pending = w.pending[:0]
		if spent {
			r.answered = "" // the module has to answer it
		}
		w.b.OnOutcome(w.now, Outcome{Request: id, Server: f.server.ID, Result: ConnectFailed, BodyConsumed: spent})
		return r
	}
	if r := once("gone", true); len(r.tries) != 1 || r.answered != "refuse" {
		t.Fatalf("%d attempts, %q", len(r.tries), r.answered)
	}
	if r := once("kept", false); len(r.tries) != 2 || r.answered != "" {
		t.Fatalf("%d attempts, %q", len(r.tries), r.answered)
	}
}
