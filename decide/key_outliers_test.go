package decide

import (
	"fmt"
	"slices"
	"testing"
)

// driveKeyedTraffic sends one request in four for the key "lock", whose attempts end as given after so long,
// among others that are answered in 10 ms, and counts what of each was rejected without an attempt.
func driveKeyedTraffic(w *workload, n int, end Result, after int64) (lock, others int) {
	var all []*trackedRequest
	for i := range n {
		key := fmt.Sprint("key", i%40)
		if i%4 == 0 {
			key = "lock"
		}
		all = append(all, w.take(Request{ID: fmt.Sprint("k", w.now, "-", i), Tenant: -1, TimeLeft: 2 * second, Key: key}))
		w.advance(10_000)
		for _, f := range slices.Clone(w.inFlight) {
			if f.r.Key != "lock" {
				w.endAttempt(f, Succeeded)
			} else if w.now-f.sent >= after {
				w.endAttempt(f, end)
			}
		}
	}
	for _, r := range all {
		if len(r.attempts) == 0 && r.answered != "" {
			if r.Key == "lock" {
				lock++
			} else {
				others++
			}
		}
	}
	return lock, others
}

// Requests of a key that fails at every endpoint, by a lock, a slow client or an invalid request, are partly
// rejected. No other request is, no endpoint is ejected, and it ends when the answers are good again.
func TestKeyThatFailsEverywhereIsAnOutlier(t *testing.T) {
	for _, c := range []struct {
		end   Result
		after int64
	}{{Succeeded, 390_000}, {Errored, 0}, {Errored, 200_000}} {
		w := newWorkload(t, testSettings(), testEndpoints(6)...)
		driveKeyedTraffic(w, 400, Succeeded, 0)
		lock, others := driveKeyedTraffic(w, 1000, c.end, c.after)
		if lock < 100 || others > 10 {
			t.Errorf("%+v: %d of 250 rejected for the key, %d of 750 others", c, lock, others)
		}
		for id, s := range w.b.knownEndpoints {
			if s.ejectedForAll || s.concurrencyLimit < 1 {
				t.Errorf("%+v: %s ejected %v, limit %v", c, id, s.ejectedForAll, s.concurrencyLimit)
			}
		}
		driveKeyedTraffic(w, 3000, Succeeded, 0)
		if lock, _ = driveKeyedTraffic(w, 400, Succeeded, 0); lock > 0 {
			t.Errorf("%+v: %d of 100 rejected though all is well again", c, lock)
		}
	}
}

// Where all keys fail alike none is an outlier: endpoints are at fault.
func TestEndpointFaultsMakeNoKeyAnOutlier(t *testing.T) {
	w := newWorkload(t, testSettings(), testEndpoints(6)...)
	for i := range 600 {
		w.take(Request{ID: fmt.Sprint("r", i), Tenant: -1, TimeLeft: 2 * second, Key: fmt.Sprint("k", i%4)})
		w.advance(10_000)
		for _, f := range slices.Clone(w.inFlight) {
			if w.now-f.sent >= 390_000 {
				w.endAttempt(f, Succeeded)
			}
		}
	}
	for i := range w.b.keys.slots {
		if w.b.keys.slots[i].rejectRatio > 0.5 {
			t.Fatalf("slot %d is rejected at %v", i, w.b.keys.slots[i].rejectRatio)
		}
	}
}

// A request of an outlier key may hold one of few response buffers for half its objective at most.
func TestOutlierKeysGetShortTimeouts(t *testing.T) {
	for held, want := range map[int]int64{0: 2 * second, 1: 200_000} {
		set := testSettings()
		set.Limits.MaxBufferedResponses = held
		w := newWorkload(t, set, testEndpoints(3)...)
		r := &request{Request: Request{Key: "k"}, class: w.b.classes[4], classAtArrival: w.b.classes[4].Class, latencyObjective: 400_000,
			deadline: w.now + 2*second, arrivedAt: w.now, maxAttempts: 4, keyStats: &keyStats{rejectRatio: 0.5}}
		if got := w.b.attemptTimeout(w.now, r); got != want {
			t.Errorf("%d held: %d, want %d", held, got, want)
		}
	}
}
