package decide

import (
	"fmt"
	"math"
	"slices"
)

const (
	ejectAfterFailures  = 2          // failures in a row that suspend: one may be chance, a quiet balancer sees few
	baseEjectionTime    = 0.5e6      // µs of a first suspension, doubled each time a trial fails
	maxEjectionTime     = 8e6        // µs: a server that is back is found within this and its jitter
	restartAssumedAfter = 2 * second // a server silent this long may have started anew: it counts as cold
	minHealthyShare     = 0.25       // of the servers in service stay in the draw: more ill ones share a cause
)

// updateEjection suspends a server after failures in a row and brings it back after a good trial. Guards against
// the black hole: a dead process turns attempts away at once, holds nothing, and always has room. An error
// tells of its class alone: a server can fail one and serve the others.
func (b *Balancer) updateEjection(now int64, class int, s *endpointState, result Result) {
	if result == Saturated {
		return
	}
	for i := range s.ejections {
		h := &s.ejections[i]
		switch {
		case i != class && (result == Errored || result == Succeeded && h.lastFailure == Errored):
		case result == Succeeded:
			if h.ejected {
				b.restore(now, s, i)
			}
			h.consecutiveFailures = 0
		default:
			h.consecutiveFailures, h.lastFailure = h.consecutiveFailures+1, result
			if h.consecutiveFailures >= ejectAfterFailures && !(h.ejected && now < h.ejectedUntil) {
				b.eject(now, s, i)
			}
		}
	}
	if result == Succeeded {
		s.lastSuccessAt = now
	}
}

// eject takes s out of the draw of a class for a while, longer each time a trial fails.
func (b *Balancer) eject(now int64, s *endpointState, class int) {
	h := &s.ejections[class]
	if !h.ejected && !b.mayEject(now, s, class) {
		return
	}
	pause := min(baseEjectionTime*math.Exp2(float64(h.ejectionCount)), maxEjectionTime) * (0.75 + unitInterval(s.subsetRank^uint64(now))/2)
	h.ejected, h.ejectedUntil = true, now+int64(pause)
	s.ejectedForAll = !slices.ContainsFunc(s.ejections, func(h ejectionState) bool { return !h.ejected })
	b.updateSubset(now)
	if h.ejectionCount++; h.ejectionCount == 1 {
		b.logEndpointEvent("suspend", s, class, "cause=%s held=%d", h.lastFailure, s.inFlight)
	}
}

func (b *Balancer) restore(now int64, s *endpointState, class int) {
	h, quiet := &s.ejections[class], now-s.lastSuccessAt
	if s.ejectedForAll && quiet >= restartAssumedAfter { // it may have started anew, which the list tells seconds late
		b.beginSlowStart(now, s, now)
		b.resetLimit(s)
	}
	b.logEndpointEvent("return", s, class, "quiet_ms=%d trials=%d", quiet/1000, h.ejectionCount)
	h.ejected, h.ejectionCount, s.ejectedForAll = false, 0, false
	b.updateSubset(now)
}

// mayEject keeps a part of the arms in the draw: when most look ill the cause is shared. It is not while
// another answers well: a lost zone can be most of a fleet, and a dead server in the draw takes all retries.
func (b *Balancer) mayEject(now int64, s *endpointState, class int) bool {
	well := 0
	for _, o := range b.subset {
		if h := &o.ejections[class]; o != s && !h.ejected {
			well++
			if o.successesThisSecond > 0 && h.consecutiveFailures == 0 && now-o.lastSuccessAt < second/2 {
				return true
			}
		}
	}
	return float64(well) >= minHealthyShare*float64(len(b.subset))
}

// ejectionState is what a server's answers tell of it for one class.
type ejectionState struct {
	consecutiveFailures int    // failures in a row
	lastFailure         Result // of the last one
	ejectionCount       int    // suspensions in a row
	ejected             bool   // out of the draw until the time below, then on trial: one attempt at a time
	ejectedUntil        int64
	inFlight            int // own attempts out
}

// clearFailures forgets failures.
func (s *endpointState) clearFailures() {
	s.ejectedForAll = false
	for i := range s.ejections {
		s.ejections[i] = ejectionState{inFlight: s.ejections[i].inFlight}
	}
}

// logEndpointEvent logs what befell a server.
func (b *Balancer) logEndpointEvent(event string, s *endpointState, class int, format string, args ...any) {
	b.actions.Log(fmt.Sprintf("%s server=%s class=%s "+format, append([]any{event, s.ID, b.classes[class].Name}, args...)...))
}
