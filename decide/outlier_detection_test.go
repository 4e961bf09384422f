package decide

import (
	"fmt"
	"slices"
	"testing"
)

// A dead process that refuses connections at once, and so always has capacity, gets little.
func TestDeadEndpointIsEjected(t *testing.T) {
	w := newWorkload(t, testSettings(), testEndpoints(4)...)
	refused := w.countRefusedConnections(500, 100_000, func(id string) bool { return id == "s0" })
	if refused > 20 {
		t.Errorf("%d of 500 requests met the dead server, want 20 or fewer", refused)
	}
}

// A hung endpoint is ejected after two timeouts in a row. A trial restores it, in slow start, once it
// answers.
func TestHungEndpointIsEjectedAndRestored(t *testing.T) {
	w := newWorkload(t, testSettings(), testEndpoints(4)...)
	hung := true
	outcome := func(a *trackedAttempt) (Result, bool) {
		return Succeeded, w.now-a.sentAt >= 200_000 && (a.endpoint.ID != "s0" || !hung)
	}
	w.sendTraffic(300, outcome)
	if w.countActions("log endpoint_ejected") == 0 {
		t.Error("the server answers nothing and was not ejected")
	}
	hung = false
	for _, a := range slices.Clone(w.inFlight) {
		w.endAttempt(a, Reset)
	}
	w.sendTraffic(1700, outcome)
	if w.countActions("log endpoint_restored") == 0 || w.b.knownEndpoints["s0"].ejectedForAll {
		t.Error("the server answers again but was not brought back")
	}
	if w.b.knownEndpoints["s0"].slowStartSince == 0 {
		t.Error("a server back from a long silence counts as in slow start")
	}
}

// An endpoint that fails one class still serves the others.
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
		t.Errorf("two of four servers fail one class and got %d of 300 requests of the other", served)
	}
	if failed > 60 {
		t.Errorf("%d of 300 requests met servers that fail their class", failed)
	}
}

// failRepeatedly ejects an endpoint from every class.
func ejectFromAllClasses(b *Balancer, now int64, s *endpointState, cause Result) {
	for i := range s.ejections {
		s.ejections[i].lastFailure = cause
		b.eject(now, s, i)
	}
}

// When nearly all fail there is a common cause: a quarter of the endpoints stays.
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
		t.Errorf("%d of 8 servers left in the draw, want 2", healthy)
	}
}

// An endpoint never used counts as heard of when it was listed, so that one failure and a good trial put it
// in no slow start.
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

// With a zone lost, all of its endpoints are ejected while others answer: one that stayed would get every
// retry.
func TestLostZoneIsEjectedCompletely(t *testing.T) {
	w := newWorkload(t, testSettings(), testEndpoints(10)...)
	refused := w.countRefusedConnections(600, 20_000, func(id string) bool { return id != "s0" })
	if refused > 120 {
		t.Errorf("%d rejected connections at nine dead servers in 6 s, want 120 or fewer", refused)
	}
}

// An endpoint restored after silence is in slow start with the initial limit.
func TestRestartedEndpointGetsInitialLimit(t *testing.T) {
	w := newWorkload(t, testSettings(), testEndpoints(3)...)
	s := w.b.endpoints[0]
	s.concurrencyLimit = 0.1
	ejectFromAllClasses(w.b, w.now, s, TimedOut)
	w.b.updateEjection(w.now+3*second, 0, s, Succeeded)
	assertNear(t, "limit after silence", s.concurrencyLimit, 4, 1e-9)
	restarted := Endpoint{ID: "s1", Capacity: 1, Zone: "z1", StartedAt: w.now}
	w.b.endpoints[1].concurrencyLimit = 0.1
	w.updateEndpoints(false, restarted)
	assertNear(t, "limit of a new process", w.b.knownEndpoints["s1"].concurrencyLimit, 4, 1e-9)
}
