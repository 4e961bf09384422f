package discovery

import "time"

// StalenessBound is the time after which a change counts as told, from when discovery had it and could be reached.
const StalenessBound = 6 * time.Second

const (
	burst      = 3                       // calls that fit between a doubt about the list and the end of its bound: two may fail
	answerTime = 900 * time.Millisecond  // kept for the answer to the last of them
	leastGap   = 750 * time.Millisecond  // between the begins of two calls of a burst, but for jitter
	turn       = 2700 * time.Millisecond // between the begins of two calls after a burst: one may fail within the bound
	jitter     = 0.1                     // of each gap, at most, that it is shorter by

	// A fleet that loses its watches together is spread, as far as the bound leaves time for it.
	slot      = 50 * time.Millisecond // of the spread, for each balancer ...
	slotsMin  = 200 * time.Millisecond
	crowdSlot = 500 * time.Microsecond // ... and at the least: past a thousand balancers a burst is of fewer calls
	crowdMost = 2 * time.Second

	// The list that a process starts with may be older than the bound: only the grace for drains is left then.
	startSpread = 800 * time.Millisecond
	startDoubt  = 2800 * time.Millisecond // of the bound, taken for spent: a second call begins within the grace of 2 s

	// An agent beside this process serves it alone: it answers at once or not at all, and is asked soon again.
	agentPatience = 600 * time.Millisecond // between the begins of two calls, twice that after a failure
	agentGap      = 200 * time.Millisecond // half to all of it after a failure, twice that after the next
)

// schedule is the one owner of the list's staleness: from one deadline it takes when each call for the list begins. It reads no
// clock and sets no timer. All times have to carry the monotonic clock.
type schedule struct {
	balancers int  // in the fleet
	pushed    bool // the list comes from an agent beside this process
	random    func() float64

	// current is the time before which every change is in force, or could not be had. The deadline is StalenessBound later.
	current time.Time

	calls   int       // begun since then
	begun   time.Time // the latest of them
	refused bool      // after a burst nobody has listened: the bound begins anew with the first sign of life
	failing bool      // a call has failed since the last word
}

// heard notes that a whole line came on the watch in force: the list is as discovery has it.
func (s *schedule) heard(now time.Time) {
	s.current, s.calls, s.refused, s.failing = now, 0, false, false
}

// moved notes that another service counts from now on, whose first call begins at once.
func (s *schedule) moved(now time.Time) { s.heard(now) }

// started tells how long a new process with a list that was known before waits with its first call.
func (s *schedule) started(now time.Time) time.Duration {
	s.current = now.Add(-startDoubt)
	if s.pushed {
		return 0
	}
	return s.within(min(s.slots(), startSpread))
}

// lost tells how long the first call waits after the watch has ended, or is suspected.
func (s *schedule) lost(now time.Time) time.Duration {
	s.calls = 0
	if s.pushed {
		return s.agentWait(agentGap)
	}
	spread := s.left(now) - (burst-1)*(leastGap+leastGap/2)
	crowd := min(time.Duration(s.balancers)*crowdSlot, crowdMost)
	return s.within(min(max(spread, crowd, slotsMin), s.slots()))
}

// begin notes that a call begins, and tells when the next is due should none be answered.
func (s *schedule) begin(now time.Time) time.Duration {
	s.calls++
	s.begun = now
	switch {
	case s.pushed && (s.failing || s.calls > 1):
		return 2 * agentPatience
	case s.pushed:
		return agentPatience
	}
	return s.gap(now)
}

// gap is the time from the begin of a call to the next: an equal part of what the bound leaves, or a turn. Bursts of a fleet that
// end together are spread over the first turn.
func (s *schedule) gap(now time.Time) time.Duration {
	switch {
	case s.calls == burst:
		return leastGap + time.Duration(s.random()*float64(turn-leastGap))
	case s.calls > burst:
		return s.early(turn)
	}
	return s.early(max(leastGap, min(s.left(now)/time.Duration(burst-s.calls), turn)))
}

// failed notes that the latest call has failed, and whether by nobody listening. Where it changes when the next is due it tells
// how long that waits from now on.
func (s *schedule) failed(now time.Time, refused bool) (wait time.Duration, changed bool) {
	again := s.failing
	s.failing = true
	switch {
	case s.pushed && again:
		return s.agentWait(2 * agentGap), true
	case s.pushed:
		return s.agentWait(agentGap), true
	case s.calls < burst:
		return 0, false
	case refused:
		s.current, s.refused = s.begun, true
		return 0, false
	case s.refused: // somebody listens again since the call before
		s.refused, s.calls = false, 1
		return s.gap(now), true
	}
	return 0, false
}

// left is the time until the last call of a burst has to begin.
func (s *schedule) left(now time.Time) time.Duration {
	return StalenessBound - answerTime - now.Sub(s.current)
}

// slots is the spread of a whole fleet.
func (s *schedule) slots() time.Duration {
	return max(slotsMin, time.Duration(s.balancers)*slot)
}

// within draws a time from a spread; the least is a tenth of it.
func (s *schedule) within(spread time.Duration) time.Duration {
	return time.Duration((0.1 + 0.9*s.random()) * float64(spread))
}

// agentWait draws from the later half of a gap.
func (s *schedule) agentWait(gap time.Duration) time.Duration {
	return time.Duration((0.5 + 0.5*s.random()) * float64(gap))
}

// early is a gap, shorter by jitter.
func (s *schedule) early(gap time.Duration) time.Duration {
	return time.Duration((1 - jitter*s.random()) * float64(gap))
}
