package decide

import (
	"fmt"
	"slices"
	"testing"
)

// sendKeyedTraffic sends n requests. One in four has the key "lock", and its attempts end with result after
// latency µs; all other requests are answered within 10 ms. It returns how many requests of the key and how
// many others were answered without an attempt.
func sendKeyedTraffic(w *workload, n int, result Result, latency int64) (lockRejected, othersRejected int) {
	var all []*trackedRequest
	for i := range n {
		key := fmt.Sprint("key", i%40)
		if i%4 == 0 {
			key = "lock"
		}
		all = append(all, w.submit(Request{ID: fmt.Sprint("k", w.now, "-", i), Tenant: -1, TimeLeft: 2 * second, Key: key}))
		w.advance(10_000)
		for _, a := range slices.Clone(w.inFlight) {
			if a.request.Key != "lock" {
				w.endAttempt(a, Succeeded)
			} else if w.now-a.sentAt >= latency {
				w.endAttempt(a, result)
			}
		}
	}
	for _, r := range all {
		if len(r.attempts) == 0 && r.answer != "" {
			if r.Key == "lock" {
				lockRejected++
			} else {
				othersRejected++
			}
		}
	}
	return lockRejected, othersRejected
}

// A key whose requests fail at every endpoint, because of a lock, a slow client or an invalid request, has
// part of its requests rejected. No other request is rejected and no endpoint is ejected, and the rejections
// end once its answers are good again.
func TestKeyFailingAtAllEndpointsIsAnOutlier(t *testing.T) {
	for _, c := range []struct {
		result  Result
		latency int64
	}{{Succeeded, 390_000}, {Errored, 0}, {Errored, 200_000}} {
		w := newWorkload(t, testSettings(), testEndpoints(6)...)
		sendKeyedTraffic(w, 400, Succeeded, 0)
		lock, others := sendKeyedTraffic(w, 1000, c.result, c.latency)
		if lock < 100 || others > 10 {
			t.Errorf("%+v: %d of 250 requests of the key rejected, want at least 100; %d of 750 others, want at most 10", c, lock, others)
		}
		for id, s := range w.b.knownEndpoints {
			if s.ejectedForAll || s.concurrencyLimit < 1 {
				t.Errorf("%+v: endpoint %s: ejected %v and limit %v, want false and at least 1", c, id, s.ejectedForAll, s.concurrencyLimit)
			}
		}
		sendKeyedTraffic(w, 3000, Succeeded, 0)
		if lock, _ = sendKeyedTraffic(w, 400, Succeeded, 0); lock > 0 {
			t.Errorf("%+v: %d of 100 requests of the key rejected after its recovery, want 0", c, lock)
		}
	}
}

// If all keys fail equally, no key is an outlier: the endpoints are at fault.
func TestEndpointFaultsMakeNoKeyAnOutlier(t *testing.T) {
	w := newWorkload(t, testSettings(), testEndpoints(6)...)
	for i := range 600 {
		w.submit(Request{ID: fmt.Sprint("r", i), Tenant: -1, TimeLeft: 2 * second, Key: fmt.Sprint("k", i%4)})
		w.advance(10_000)
		for _, a := range slices.Clone(w.inFlight) {
			if w.now-a.sentAt >= 390_000 {
				w.endAttempt(a, Succeeded)
			}
		}
	}
	for i := range w.b.keys.slots {
		if w.b.keys.slots[i].rejectRatio > 0.5 {
			t.Fatalf("slot %d has a reject ratio of %v, want at most 0.5", i, w.b.keys.slots[i].rejectRatio)
		}
	}
}

// If response buffers are limited, a request of an outlier key may hold one for at most half of its latency
// objective.
func TestOutlierKeysGetShortTimeouts(t *testing.T) {
	for maxBuffered, want := range map[int]int64{0: 2 * second, 1: 200_000} {
		set := testSettings()
		set.Limits.MaxBufferedResponses = maxBuffered
		w := newWorkload(t, set, testEndpoints(3)...)
		r := &request{Request: Request{Key: "k"}, class: w.b.classes[4], classAtArrival: w.b.classes[4].Class, latencyObjective: 400_000,
			deadline: w.now + 2*second, arrivedAt: w.now, maxAttempts: 4, keyStats: &keyStats{rejectRatio: 0.5}}
		if got := w.b.attemptTimeout(w.now, r); got != want {
			t.Errorf("timeout with MaxBufferedResponses %d: got %d us, want %d us", maxBuffered, got, want)
		}
	}
}
