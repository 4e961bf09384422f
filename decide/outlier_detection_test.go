package decide

import (
	"fmt"
	"slices"
	"testing"
)

// A dead process that refuses connections at once, and so always has capacity, gets little.
func TestDeadEndpointIsEjected(t *testing.T) {
	w := newWorkload(t, testSettings(), testEndpoints(4)...)
	dead := w.countRefusedConnections(500, 100_000, func(id string) bool { return id == "s0" })
	if dead > 20 {
		t.Errorf("%d of 500 requests met the dead server, want 20 or fewer", dead)
	}
}

// A hung endpoint is ejected after two timeouts in a row. A trial restores it, in slow start, once it
// answers.
func TestHungEndpointIsEjectedAndRestored(t *testing.T) {
	w := newWorkload(t, testSettings(), testEndpoints(4)...)
	hung := true
	answer := func(f *trackedAttempt) (Result, bool) {
		return Succeeded, w.now-f.sent >= 200_000 && (f.server.ID != "s0" || !hung)
	}
	w.traffic(300, answer)
	if w.countActions("log endpoint_ejected") == 0 {
		t.Error("the server answers nothing and was not ejected")
	}
	hung = false
	for _, f := range slices.Clone(w.inFlight) {
		w.endAttempt(f, Reset)
	}
	w.traffic(1700, answer)
	if w.countActions("log endpoint_restored") == 0 || w.b.knownEndpoints["s0"].ejectedForAll {
		t.Error("the server answers again but was not brought back")
	}
	if w.b.knownEndpoints["s0"].slowStartSince == 0 {
		t.Error("a server back from a long silence counts as in slow start")
	}
}

// An endpoint that fails one class still serves the others.
func TestErrorsEjectFromOneClass(t *testing.T) {
	w := newWorkload(t, testSettings(), testEndpoints(4)...)
	failed, served := 0, 0
	for i := range 600 {
		class := i % 2
		w.request(fmt.Sprint("r", i), class, 2*second)
		for len(w.inFlight) > 0 {
			f := w.inFlight[0]
			if f.server.ID < "s2" && class == 1 {
				failed++
				w.endAttempt(f, Errored)
			} else {
				if f.server.ID < "s2" {
					served++
				}
				w.endAttempt(f, Succeeded)
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
func failRepeatedly(b *Balancer, now int64, s *endpointState, cause Result) {
	for i := range s.ejections {
		s.ejections[i].lastFailure = cause
		b.eject(now, s, i)
	}
}

// When nearly all fail there is a common cause: a quarter of the endpoints stays.
func TestCommonCauseDoesNotEjectAll(t *testing.T) {
	w := newWorkload(t, testSettings(), testEndpoints(8)...)
	w.traffic(200, func(*trackedAttempt) (Result, bool) { return Errored, true })
	well := 0
	for _, s := range w.b.endpoints {
		if !s.ejections[0].ejected {
			well++
		}
	}
	if well < 2 {
		t.Errorf("%d of 8 servers left in the draw, want 2", well)
	}
}

// An endpoint never used counts as heard of when it was listed, so that one failure and a good trial put it
// in no slow start.
func TestEndpointNeverUsedIsNotSilent(t *testing.T) {
	w := newWorkload(t, testSettings(), testEndpoints(3)...)
	s := w.b.endpoints[0]
	w.b.updateEjection(w.now, 0, s, ConnectFailed)
	failRepeatedly(w.b, w.now, s, ConnectFailed)
	w.b.updateEjection(w.now+second, 0, s, Succeeded)
	if s.ejectedForAll || s.slowStartSince != 0 {
		t.Errorf("ejected %v, slow start since %d, want neither", s.ejectedForAll, s.slowStartSince)
	}
}

// With a zone lost, all of its endpoints are ejected while others answer: one that stayed would get every
// retry.
func TestLostZoneIsEjectedCompletely(t *testing.T) {
	w := newWorkload(t, testSettings(), testEndpoints(10)...)
	rejected := w.countRefusedConnections(600, 20_000, func(id string) bool { return id != "s0" })
	if rejected > 120 {
		t.Errorf("%d rejected connections at nine dead servers in 6 s, want 120 or fewer", rejected)
	}
}

// An endpoint restored after silence is in slow start with the initial limit.
func TestRestoredAfterSilenceIsInSlowStart(t *testing.T) {
	w := newWorkload(t, testSettings(), testEndpoints(3)...)
	s := w.b.endpoints[0]
	s.concurrencyLimit = 0.1
	failRepeatedly(w.b, w.now, s, TimedOut)
	w.b.updateEjection(w.now+3*second, 0, s, Succeeded)
	assertNear(t, "limit after silence", s.concurrencyLimit, 4, 1e-9)
	again := Endpoint{ID: "s1", Capacity: 1, Zone: "z1", StartedAt: w.now}
	w.b.endpoints[1].concurrencyLimit = 0.1
	w.sendEndpoints(false, again)
	assertNear(t, "limit of a new process", w.b.knownEndpoints["s1"].concurrencyLimit, 4, 1e-9)
}
