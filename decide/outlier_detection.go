// When an endpoint is ejected, and when it is restored: by the results of own attempts, apart for each class.
//
// An endpoint is ejected from a class after failures in a row. After its ejection time it has a trial, one
// attempt at a time; a success restores it and a failure ejects it for longer. An endpoint that is ejected
// from all classes has one trial at a time over all of them.

package decide

import (
	"math"
	"slices"
)

const (
	ejectAfterFailures = 2 // in a row: one may be chance, and a quiet balancer sees few

	// The first ejection, doubled after each failed trial up to the longest; jittered by a quarter.
	baseEjectionMicros = 0.5e6
	maxEjectionMicros  = 8e6

	// restartAssumedAfter so long without a success: the process may have been restarted, which the list
	// tells late.
	restartAssumedAfter = 2 * second

	minHealthyShare = 0.25 // of the subset stays; when more look unhealthy they have a common cause
)

// ejectionState is what the results of an endpoint's attempts tell of it for one class.
type ejectionState struct {
	consecutiveFailures int
	lastFailure         Result
	ejectionCount       int // in a row
	ejected             bool
	ejectedUntil        int64 // then it may have a trial
	inFlight            int   // own attempts of this class
}

// updateEjection takes in a result of s for a class. An error tells of its class alone, any other failure of
// all: an endpoint can fail one class and serve the others. Saturation is no failure.
func (b *Balancer) updateEjection(now int64, class int, s *endpointState, result Result) {
	if result == Saturated {
		return
	}
	for i := range s.ejections {
		e := &s.ejections[i]
		switch {
		case i != class && (result == Errored || result == Succeeded && e.lastFailure == Errored):
		case result == Succeeded:
			if e.ejected {
				b.restore(now, s, i)
			}
			e.consecutiveFailures = 0
		default:
			e.consecutiveFailures++
			e.lastFailure = result
			if e.consecutiveFailures >= ejectAfterFailures && !(e.ejected && now < e.ejectedUntil) {
				b.eject(now, s, i)
			}
		}
	}
	if result == Succeeded {
		s.lastSuccessAt = now
	}
}

// eject takes s out of a class, or extends its ejection after a failed trial.
func (b *Balancer) eject(now int64, s *endpointState, class int) {
	e := &s.ejections[class]
	if !e.ejected && !b.mayEject(now, s, class) {
		return
	}
	jitter := 0.75 + unitInterval(s.subsetRank^uint64(now))/2
	duration := min(baseEjectionMicros*math.Exp2(float64(e.ejectionCount)), maxEjectionMicros) * jitter
	e.ejected = true
	e.ejectedUntil = now + int64(duration)
	s.ejectedForAll = s.ejectedFromAllClasses()
	b.updateSubset(now)
	if e.ejectionCount++; e.ejectionCount == 1 {
		b.logEjected(s, class)
	}
}

// restore takes s back after a successful trial. One that was silent for long is in slow start again.
func (b *Balancer) restore(now int64, s *endpointState, class int) {
	e := &s.ejections[class]
	silence := now - s.lastSuccessAt
	if s.ejectedForAll && silence >= restartAssumedAfter {
		b.beginSlowStart(now, s, now)
		b.resetLimit(s)
	}
	b.logRestored(s, class, silence)
	e.ejected, e.ejectionCount = false, 0
	s.ejectedForAll = false
	b.updateSubset(now)
}

// mayEject reports whether s may be ejected from a class: enough of the subset stays, or another endpoint has
// just answered. In the latter case there is no common cause, and even most of the subset may be lost, as
// with a zone.
func (b *Balancer) mayEject(now int64, s *endpointState, class int) bool {
	healthy := 0
	for _, other := range b.subset {
		e := &other.ejections[class]
		if other == s || e.ejected {
			continue
		}
		healthy++
		if other.successesThisSecond > 0 && e.consecutiveFailures == 0 && now-other.lastSuccessAt < second/2 {
			return true
		}
	}
	return float64(healthy) >= minHealthyShare*float64(len(b.subset))
}

// admitsTrial reports whether s is not ejected from a class, or may have a trial now.
func (s *endpointState) admitsTrial(now int64, class int) bool {
	e := &s.ejections[class]
	if !e.ejected {
		return true
	}
	return now >= e.ejectedUntil && e.inFlight == 0 && !(s.ejectedForAll && s.inFlight > 0)
}

// ejectedFromAllClasses reports whether no class may use s.
func (s *endpointState) ejectedFromAllClasses() bool {
	return !slices.ContainsFunc(s.ejections, func(e ejectionState) bool { return !e.ejected })
}

// clearFailures forgets failures, for a new process.
func (s *endpointState) clearFailures() {
	s.ejectedForAll = false
	for i := range s.ejections {
		s.ejections[i] = ejectionState{inFlight: s.ejections[i].inFlight}
	}
}
