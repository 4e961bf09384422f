// Ejection and restoration of endpoints, based on the results of this balancer's attempts and separately for
// each class.
//
// An endpoint is ejected from a class after consecutive failures. After its ejection time it gets a trial,
// one attempt at a time. A success restores it, and a failure ejects it for longer. An endpoint that is
// ejected from all classes gets one trial at a time across all classes.

package decide

import (
	"math"
	"slices"
)

const (
	// ejectAfterFailures is the number of consecutive failures that eject an endpoint. A single failure may
	// be chance, and a balancer with little traffic would take long to see more than two.
	ejectAfterFailures = 2

	// baseEjectionMicros is the duration of the first ejection, in µs. It doubles after each failed trial,
	// up to maxEjectionMicros, and each duration has a jitter of ±25%. So an endpoint that has recovered
	// may have a trial after at most 1.25 times maxEjectionMicros.
	baseEjectionMicros = 0.5e6
	maxEjectionMicros  = 8e6

	// restartAssumedAfter is the time without a success after which an endpoint's process is assumed to
	// have restarted. The endpoint list may report a restart late.
	restartAssumedAfter = 2 * second

	// minHealthyShare is the share of the subset that must remain healthy after an ejection, unless another
	// endpoint has just responded (see mayEject). If more endpoints fail, a common cause is assumed.
	minHealthyShare = 0.25
)

// ejectionState is the outlier detection state of an endpoint for one class.
type ejectionState struct {
	consecutiveFailures int
	lastFailure         Result
	ejectionCount       int // consecutive ejections
	ejected             bool
	ejectedUntil        int64 // time from which it may have a trial, µs
	inFlight            int   // this balancer's attempts of the class in flight
}

// updateEjection records a result of s for a class. An error counts only for its class, since an endpoint
// can fail one class and serve the others. Any other failure counts for all classes. Saturation is not a
// failure.
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

// eject ejects s from a class if mayEject permits it, or extends its ejection after a failed trial.
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

// restore ends an ejection after a successful trial. An endpoint that was ejected from all classes and had
// no success for restartAssumedAfter enters slow start.
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

// mayEject reports whether s may be ejected from a class: enough of the subset remains, or another endpoint
// has responded within the last half second and not failed since. In the latter case there is no common
// cause, and most of the subset may be ejected, as after the loss of a zone.
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

// admitsTrial reports whether s may get an attempt of a class: it is not ejected, or it may have a trial
// now.
func (s *endpointState) admitsTrial(now int64, class int) bool {
	e := &s.ejections[class]
	if !e.ejected {
		return true
	}
	return now >= e.ejectedUntil && e.inFlight == 0 && !(s.ejectedForAll && s.inFlight > 0)
}

// ejectedFromAllClasses reports whether s is ejected from every class.
func (s *endpointState) ejectedFromAllClasses() bool {
	return !slices.ContainsFunc(s.ejections, func(e ejectionState) bool { return !e.ejected })
}

// clearFailures clears all failures, after the endpoint's process has restarted.
func (s *endpointState) clearFailures() {
	s.ejectedForAll = false
	for i := range s.ejections {
		s.ejections[i] = ejectionState{inFlight: s.ejections[i].inFlight}
	}
}
