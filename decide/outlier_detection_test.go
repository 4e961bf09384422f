package decide

import (
	"fmt"
	"slices"
	"testing"
)

// A dead process refuses connections at once, so it always has free capacity. Its endpoint gets few attempts.
func TestDeadEndpointIsEjected(t *testing.T) {
	w := newWorkload(t, testSettings(), testEndpoints(4)...)
	refused := w.countRefusedConnections(500, 100_000, func(id string) bool { return id == "s0" })
	if refused > 20 {
		t.Errorf("%d of 500 requests had an attempt at the dead endpoint, want at most 20", refused)
	}
}

// A hung endpoint is ejected after two timeouts in a row. Once it answers again, a trial restores it, in slow
// start.
func TestHungEndpointIsEjectedAndRestored(t *testing.T) {
	w := newWorkload(t, testSettings(), testEndpoints(4)...)
	hung := true
	outcome := func(a *trackedAttempt) (Result, bool) {
		return Succeeded, w.now-a.sentAt >= 200_000 && (a.endpoint.ID != "s0" || !hung)
	}
	w.sendTraffic(300, outcome)
	if w.countActions("log endpoint_ejected") == 0 {
		t.Error("an endpoint that sends no answers was not ejected")
	}
	hung = false
	for _, a := range slices.Clone(w.inFlight) {
		w.endAttempt(a, Reset)
	}
	w.sendTraffic(1700, outcome)
	if w.countActions("log endpoint_restored") == 0 || w.b.knownEndpoints["s0"].ejectedForAll {
		t.Error("an endpoint that answers again was not restored")
	}
	if w.b.knownEndpoints["s0"].slowStartSince == 0 {
		t.Error("an endpoint restored after a long silence is not in slow start")
	}
}

// An endpoint that fails the requests of one class still serves the other classes.
func TestErrorsEjectFromTheirClassOnly(t *testing.T) {
	w := newWorkload(t, testSettings(), testEndpoints(4)...)
	failed, served := 0, 0
	for i := range 600 {
		class := i % 2
		w.sendRequest(fmt.Sprint("r", i), class, 2*second)
		for len(w.inFlight) > 0 {
			a := w.inFlight[0]
			if a.endpoint.ID < "s2" && class == 1 {
				failed++
				w.endAttempt(a, Errored)
			} else {
				if a.endpoint.ID < "s2" {
					served++
				}
				w.endAttempt(a, Succeeded)
			}
		}
		w.advance(20_000)
	}
	if served < 36 {
		t.Errorf("two of four endpoints fail one class and served %d of 300 requests of the other, want at least 36", served)
	}
	if failed > 60 {
		t.Errorf("%d of 300 requests had an attempt at an endpoint that fails their class, want at most 60", failed)
	}
}

// ejectFromAllClasses ejects an endpoint from every class.
func ejectFromAllClasses(b *Balancer, now int64, s *endpointState, cause Result) {
	for i := range s.ejections {
		s.ejections[i].lastFailure = cause
		b.eject(now, s, i)
	}
}

// If nearly all endpoints fail, they have a common cause, and a quarter of them is not ejected.
func TestCommonCauseDoesNotEjectAll(t *testing.T) {
	w := newWorkload(t, testSettings(), testEndpoints(8)...)
	w.sendTraffic(200, func(*trackedAttempt) (Result, bool) { return Errored, true })
	healthy := 0
	for _, s := range w.b.endpoints {
		if !s.ejections[0].ejected {
			healthy++
		}
	}
	if healthy < 2 {
		t.Errorf("%d of 8 endpoints not ejected, want at least 2", healthy)
	}
}

// The silence of an endpoint that was never used counts from the time it was listed, so a failure and a
// successful trial do not put it into slow start.
func TestUnusedEndpointIsRestoredWithoutSlowStart(t *testing.T) {
	w := newWorkload(t, testSettings(), testEndpoints(3)...)
	s := w.b.endpoints[0]
	w.b.updateEjection(w.now, 0, s, ConnectFailed)
	ejectFromAllClasses(w.b, w.now, s, ConnectFailed)
	w.b.updateEjection(w.now+second, 0, s, Succeeded)
	if s.ejectedForAll || s.slowStartSince != 0 {
		t.Errorf("ejected %v, slow start since %d, want neither", s.ejectedForAll, s.slowStartSince)
	}
}

// If a zone is lost, all of its endpoints are ejected while others answer. An endpoint that stayed would get
// every retry.
func TestLostZoneIsEjectedCompletely(t *testing.T) {
	w := newWorkload(t, testSettings(), testEndpoints(10)...)
	refused := w.countRefusedConnections(600, 20_000, func(id string) bool { return id != "s0" })
	if refused > 120 {
		t.Errorf("%d refused connections at nine dead endpoints in 6 s, want at most 120", refused)
	}
}

// An endpoint that is restored after a silence, or listed with a new process, starts again with the initial
// limit.
func TestRestartedEndpointGetsInitialLimit(t *testing.T) {
	w := newWorkload(t, testSettings(), testEndpoints(3)...)
	s := w.b.endpoints[0]
	s.concurrencyLimit = 0.1
	ejectFromAllClasses(w.b, w.now, s, TimedOut)
	w.b.updateEjection(w.now+3*second, 0, s, Succeeded)
	assertNear(t, "concurrency limit after a silence", s.concurrencyLimit, 4, 1e-9)
	restarted := Endpoint{ID: "s1", Capacity: 1, Zone: "z1", StartedAt: w.now}
	w.b.endpoints[1].concurrencyLimit = 0.1
	w.updateEndpoints(false, restarted)
	assertNear(t, "concurrency limit of a new process", w.b.knownEndpoints["s1"].concurrencyLimit, 4, 1e-9)
}
