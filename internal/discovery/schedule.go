package discovery

import "time"

// StalenessBound is the time after which a change has to be in force here, counted from when discovery had it and could
// be reached.
const StalenessBound = 6 * time.Second

// Polls after a watch is lost: a burst within the bound, then one each steadyInterval.
const (
	burstPolls          = 3                       // begin between the loss and the end of the bound: two may fail
	responseTimeReserve = 900 * time.Millisecond  // of the bound, left for the response to the last of them
	minBurstInterval    = 750 * time.Millisecond  // between two polls of a burst, before jitter
	steadyInterval      = 2700 * time.Millisecond // between two polls after a burst: one may fail within the bound
	jitterShare         = 0.1                     // of each interval, taken off at random
)

// The first poll of a burst is spread at random, so that a fleet that loses its watches together does not poll together.
// The bound limits the spread.
const (
	spreadPerBalancer = 50 * time.Millisecond
	minSpread         = 200 * time.Millisecond

	// minSpreadPerBalancer holds even where the bound then leaves time for fewer polls: in fleets of over a thousand.
	minSpreadPerBalancer = 500 * time.Microsecond
	maxMinSpread         = 2 * time.Second
)

// The list that a process starts with may be older than the bound: only the time that draining servers wait for stragglers
// (2 s) is left, in which the second poll begins.
const (
	maxInitialSpread = 800 * time.Millisecond
	initialStaleness = 2800 * time.Millisecond
)

// An agent beside this process serves it alone: it answers at once or not at all, and is polled again soon.
const (
	agentPollInterval = 600 * time.Millisecond // twice that after a failure
	agentBackoffBase  = 200 * time.Millisecond // half to all of it after a failure, twice that after the next
)

// pollSchedule owns the deadline of the list: it derives the beginning of each poll from it. It performs no I/O, reads no
// clock and sets no timer. Times passed in must carry the monotonic clock; the waits that it returns count from them.
type pollSchedule struct {
	balancerCount int            // that poll the same service
	fromAgent     bool           // the list comes from an agent beside this process
	random        func() float64 // in [0, 1)

	// lastSynced is the time before which every change is in force, or could not be fetched. The deadline is StalenessBound
	// later.
	lastSynced time.Time

	burstPollCount int       // begun since the watch was lost
	lastPollAt     time.Time // when the latest of them began
	burstRefused   bool      // connections were refused after a burst: the first other failure begins a new burst
	lastPollFailed bool      // a poll has failed since the last message
}

// onMessage records a complete message on the active watch: the list is as discovery has it.
func (s *pollSchedule) onMessage(now time.Time) {
	s.lastSynced, s.burstPollCount, s.burstRefused, s.lastPollFailed = now, 0, false, false
}

// onSourceChanged records that another service counts from now on, whose first poll begins at once.
func (s *pollSchedule) onSourceChanged(now time.Time) { s.onMessage(now) }

// initialDelay returns how long a process that starts with a known list waits before its first poll.
func (s *pollSchedule) initialDelay(now time.Time) time.Duration {
	s.lastSynced = now.Add(-initialStaleness)
	if s.fromAgent {
		return 0
	}
	return s.randomWithin(min(s.fleetSpread(), maxInitialSpread))
}

// onWatchLost records that the watch has ended or is suspect, and returns the wait before the first poll.
func (s *pollSchedule) onWatchLost(now time.Time) time.Duration {
	s.burstPollCount = 0
	if s.fromAgent {
		return s.agentBackoff(agentBackoffBase)
	}
	inBound := s.timeToLastPoll(now) - (burstPolls-1)*(minBurstInterval+minBurstInterval/2)
	least := min(time.Duration(s.balancerCount)*minSpreadPerBalancer, maxMinSpread)
	return s.randomWithin(min(max(inBound, least, minSpread), s.fleetSpread()))
}

// onPollStarted records the beginning of a poll, and returns the wait before the next in case that none is answered.
func (s *pollSchedule) onPollStarted(now time.Time) time.Duration {
	s.burstPollCount++
	s.lastPollAt = now
	switch {
	case s.fromAgent && (s.lastPollFailed || s.burstPollCount > 1):
		return 2 * agentPollInterval
	case s.fromAgent:
		return agentPollInterval
	}
	return s.nextInterval(now)
}

// nextInterval returns the time from a poll to the next: within a burst an equal part of what the bound leaves, then
// steadyInterval. The first interval after a burst is random, to spread a fleet whose bursts end together.
func (s *pollSchedule) nextInterval(now time.Time) time.Duration {
	switch {
	case s.burstPollCount == burstPolls:
		return minBurstInterval + time.Duration(s.random()*float64(steadyInterval-minBurstInterval))
	case s.burstPollCount > burstPolls:
		return s.jittered(steadyInterval)
	}
	return s.jittered(max(minBurstInterval, min(s.timeToLastPoll(now)/time.Duration(burstPolls-s.burstPollCount), steadyInterval)))
}

// onPollFailed records that the latest poll has failed, and whether the connection was refused. Where that changes the
// beginning of the next poll it returns the wait from now on.
func (s *pollSchedule) onPollFailed(now time.Time, refused bool) (wait time.Duration, changed bool) {
	again := s.lastPollFailed
	s.lastPollFailed = true
	switch {
	case s.fromAgent && again:
		return s.agentBackoff(2 * agentBackoffBase), true
	case s.fromAgent:
		return s.agentBackoff(agentBackoffBase), true
	case s.burstPollCount < burstPolls:
		return 0, false
	case refused: // no change could be fetched up to that poll
		s.lastSynced, s.burstRefused = s.lastPollAt, true
		return 0, false
	case s.burstRefused: // the service listens again since the poll before
		s.burstRefused, s.burstPollCount = false, 1
		return s.nextInterval(now), true
	}
	return 0, false
}

// timeToLastPoll returns the time until the last poll of a burst has to begin.
func (s *pollSchedule) timeToLastPoll(now time.Time) time.Duration {
	return StalenessBound - responseTimeReserve - now.Sub(s.lastSynced)
}

// fleetSpread returns the time over which a fleet of this size spreads its polls.
func (s *pollSchedule) fleetSpread() time.Duration {
	return max(minSpread, time.Duration(s.balancerCount)*spreadPerBalancer)
}

// randomWithin draws from the last nine tenths of a spread.
func (s *pollSchedule) randomWithin(spread time.Duration) time.Duration {
	return time.Duration((0.1 + 0.9*s.random()) * float64(spread))
}

// agentBackoff draws from the second half of a wait.
func (s *pollSchedule) agentBackoff(wait time.Duration) time.Duration {
	return time.Duration((0.5 + 0.5*s.random()) * float64(wait))
}

// jittered takes up to jitterShare off an interval.
func (s *pollSchedule) jittered(interval time.Duration) time.Duration {
	return time.Duration((1 - jitterShare*s.random()) * float64(interval))
}
