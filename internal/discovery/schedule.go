package discovery

import "time"

// StalenessBound is the time after which a change counts as told, from when discovery had it and could be reached.
const StalenessBound = 6 * time.Second

const (
	burstPolls       = 3                       // calls that fit between a doubt about the list and the end of its bound: two may fail
	responseReserve  = 900 * time.Millisecond  // kept for the answer to the last of them
	minBurstInterval = 750 * time.Millisecond  // between the begins of two calls of a burst, but for jitter
	steadyInterval   = 2700 * time.Millisecond // between the begins of two calls after a burst: one may fail within the bound
	jitterShare      = 0.1                     // of each gap, at most, that it is shorter by

	// A fleet that loses its watches together is spread, as far as the bound leaves time for it.
	spreadPerBalancer    = 50 * time.Millisecond // of the spread, for each balancer ...
	minSpread            = 200 * time.Millisecond
	minSpreadPerBalancer = 500 * time.Microsecond // ... and at the least: past a thousand balancers a burst is of fewer calls
	maxMinSpread         = 2 * time.Second

	// The list that a process starts with may be older than the bound: only the grace for drains is left then.
	maxStartSpread  = 800 * time.Millisecond
	assumedStartAge = 2800 * time.Millisecond // of the bound, taken for spent: a second call begins within the grace of 2 s

	// An agent beside this process serves it alone: it answers at once or not at all, and is asked soon again.
	agentPollInterval = 600 * time.Millisecond // between the begins of two calls, twice that after a failure
	agentBackoffBase  = 200 * time.Millisecond // half to all of it after a failure, twice that after the next
)

// pollSchedule is the one owner of the list's staleness: from one deadline it takes when each call for the list begins. It reads no
// clock and sets no timer. All times have to carry the monotonic clock.
type pollSchedule struct {
	balancerCount int  // in the fleet
	fromAgent     bool // the list comes from an agent beside this process
	random        func() float64

	// current is the time before which every change is in force, or could not be had. The deadline is StalenessBound later.
	lastSynced time.Time

	polls        int       // begun since then
	lastPollAt   time.Time // the latest of them
	burstRefused bool      // after a burst nobody has listened: the bound begins anew with the first sign of life
	failing      bool      // a call has failed since the last word
}

// onMessage notes that a whole line came on the watch in force: the list is as discovery has it.
func (s *pollSchedule) onMessage(now time.Time) {
	s.lastSynced, s.polls, s.burstRefused, s.failing = now, 0, false, false
}

// onSourceChanged notes that another service counts from now on, whose first call begins at once.
func (s *pollSchedule) onSourceChanged(now time.Time) { s.onMessage(now) }

// initialDelay tells how long a new process with a list that was known before waits with its first call.
func (s *pollSchedule) initialDelay(now time.Time) time.Duration {
	s.lastSynced = now.Add(-assumedStartAge)
	if s.fromAgent {
		return 0
	}
	return s.randomWithin(min(s.fleetSpread(), maxStartSpread))
}

// onWatchLost tells how long the first call waits after the watch has ended, or is suspected.
func (s *pollSchedule) onWatchLost(now time.Time) time.Duration {
	s.polls = 0
	if s.fromAgent {
		return s.agentBackoff(agentBackoffBase)
	}
	spread := s.timeToLastPoll(now) - (burstPolls-1)*(minBurstInterval+minBurstInterval/2)
	crowd := min(time.Duration(s.balancerCount)*minSpreadPerBalancer, maxMinSpread)
	return s.randomWithin(min(max(spread, crowd, minSpread), s.fleetSpread()))
}

// onPollStarted notes that a call begins, and tells when the next is due should none be answered.
func (s *pollSchedule) onPollStarted(now time.Time) time.Duration {
	s.polls++
	s.lastPollAt = now
	switch {
	case s.fromAgent && (s.failing || s.polls > 1):
		return 2 * agentPollInterval
	case s.fromAgent:
		return agentPollInterval
	}
	return s.nextInterval(now)
}

// nextInterval is the time from the begin of a call to the next: an equal part of what the bound leaves, or a turn. Bursts of a fleet that
// end together are spread over the first turn.
func (s *pollSchedule) nextInterval(now time.Time) time.Duration {
	switch {
	case s.polls == burstPolls:
		return minBurstInterval + time.Duration(s.random()*float64(steadyInterval-minBurstInterval))
	case s.polls > burstPolls:
		return s.jittered(steadyInterval)
	}
	return s.jittered(max(minBurstInterval, min(s.timeToLastPoll(now)/time.Duration(burstPolls-s.polls), steadyInterval)))
}

// onPollFailed notes that the latest call has failed, and whether by nobody listening. Where it changes when the next is due it tells
// how long that waits from now on.
func (s *pollSchedule) onPollFailed(now time.Time, refused bool) (wait time.Duration, changed bool) {
	again := s.failing
	s.failing = true
	switch {
	case s.fromAgent && again:
		return s.agentBackoff(2 * agentBackoffBase), true
	case s.fromAgent:
		return s.agentBackoff(agentBackoffBase), true
	case s.polls < burstPolls:
		return 0, false
	case refused:
		s.lastSynced, s.burstRefused = s.lastPollAt, true
		return 0, false
	case s.burstRefused: // somebody listens again since the call before
		s.burstRefused, s.polls = false, 1
		return s.nextInterval(now), true
	}
	return 0, false
}

// timeToLastPoll is the time until the last call of a burst has to begin.
func (s *pollSchedule) timeToLastPoll(now time.Time) time.Duration {
	return StalenessBound - responseReserve - now.Sub(s.lastSynced)
}

// fleetSpread is the spread of a whole fleet.
func (s *pollSchedule) fleetSpread() time.Duration {
	return max(minSpread, time.Duration(s.balancerCount)*spreadPerBalancer)
}

// randomWithin draws a time from a spread; the least is a tenth of it.
func (s *pollSchedule) randomWithin(spread time.Duration) time.Duration {
	return time.Duration((0.1 + 0.9*s.random()) * float64(spread))
}

// agentBackoff draws from the later half of a gap.
func (s *pollSchedule) agentBackoff(gap time.Duration) time.Duration {
	return time.Duration((0.5 + 0.5*s.random()) * float64(gap))
}

// jittered is a gap, shorter by jitter.
func (s *pollSchedule) jittered(gap time.Duration) time.Duration {
	return time.Duration((1 - jitterShare*s.random()) * float64(gap))
}
