package discovery

import "time"

// StalenessBound is the time within which a change must be in force here, counted from when the discovery service knows
// the change and is reachable.
const StalenessBound = 6 * time.Second

// Polls after a watch is lost: a burst within StalenessBound, then one poll per steadyInterval.
const (
	burstPolls          = 3                       // polls between the loss of the watch and the end of the bound, of which two may fail
	responseTimeReserve = 900 * time.Millisecond  // part of the bound that is reserved for the response to the last poll of the burst
	minBurstInterval    = 750 * time.Millisecond  // minimum time between the starts of two polls of a burst, before jitter
	steadyInterval      = 2700 * time.Millisecond // between the starts of two polls after a burst, so that two fit into the bound and one may fail
	jitterShare         = 0.1                     // maximum share of an interval by which jitter shortens it
)

// The first poll of a burst is delayed at random, so that balancers that lose their watches at the same moment do not poll
// at the same moment. The spread is the longest such delay; StalenessBound limits it.
const (
	spreadPerBalancer = 50 * time.Millisecond  // times the number of balancers: the spread if the bound allows it
	minSpread         = 200 * time.Millisecond // lower limit of the spread

	// minSpreadPerBalancer limits the spread from below even if the bound then leaves time for fewer polls, which is the
	// case with more than a thousand balancers.
	minSpreadPerBalancer = 500 * time.Microsecond
	maxMinSpread         = 2 * time.Second // upper limit of what minSpreadPerBalancer enforces
)

// The list that a process starts with may be older than StalenessBound. A server that drains still accepts requests for 2 s;
// the second poll must begin within that time.
const (
	maxInitialSpread = 800 * time.Millisecond  // upper limit of the delay of the first poll
	initialStaleness = 2800 * time.Millisecond // assumed age of the list at the start
)

// An agent on this machine serves only this process. It responds at once or not at all, so it is polled again soon.
const (
	agentPollInterval = 600 * time.Millisecond // between the starts of the first two polls; doubled for later polls and after a failure
	agentBackoffBase  = 200 * time.Millisecond // the wait after a failure is 50% to 100% of it; doubled after the next failure
)

// pollSchedule decides when each poll begins, from the deadline by which the list must be in sync again. It performs no
// I/O, reads no clock and sets no timer. Times passed in must have a monotonic clock reading; returned waits count from
// them.
type pollSchedule struct {
	balancerCount int            // number of balancers that poll the discovery service
	fromAgent     bool           // an agent on this machine serves the list
	random        func() float64 // returns values in [0, 1)

	// lastSynced is the time up to which all changes are in force here, or could not be fetched because the service refused
	// connections. The deadline is lastSynced + StalenessBound.
	lastSynced time.Time

	pollsSinceLoss     int       // polls started since the watch was lost
	lastPollAt         time.Time // when the latest poll started
	burstRefused       bool      // the service refused a connection after a burst; the first failure of another kind starts a new burst
	failedSinceMessage bool      // a poll has failed since the last message was received
}

// onMessage records a complete message on the active watch: the list matches the discovery service's.
func (s *pollSchedule) onMessage(now time.Time) {
	s.lastSynced, s.pollsSinceLoss, s.burstRefused, s.failedSinceMessage = now, 0, false, false
}

// onSourceChanged records the switch to another service, which the caller polls at once.
func (s *pollSchedule) onSourceChanged(now time.Time) { s.onMessage(now) }

// initialDelay returns the wait before the first poll of a process that starts with a known list.
func (s *pollSchedule) initialDelay(now time.Time) time.Duration {
	s.lastSynced = now.Add(-initialStaleness)
	if s.fromAgent {
		return 0
	}
	return s.randomWithin(min(s.fleetSpread(), maxInitialSpread))
}

// onWatchLost records that the watch has ended or is suspect, and returns the wait before the next poll.
func (s *pollSchedule) onWatchLost(now time.Time) time.Duration {
	s.pollsSinceLoss = 0
	if s.fromAgent {
		return s.agentBackoff(agentBackoffBase)
	}
	inBound := s.timeToLastPoll(now) - (burstPolls-1)*(minBurstInterval+minBurstInterval/2)
	least := min(time.Duration(s.balancerCount)*minSpreadPerBalancer, maxMinSpread)
	return s.randomWithin(min(max(inBound, least, minSpread), s.fleetSpread()))
}

// onPollStarted records the start of a poll, and returns the wait before the next poll if none gets a response.
func (s *pollSchedule) onPollStarted(now time.Time) time.Duration {
	s.pollsSinceLoss++
	s.lastPollAt = now
	switch {
	case s.fromAgent && (s.failedSinceMessage || s.pollsSinceLoss > 1):
		return 2 * agentPollInterval
	case s.fromAgent:
		return agentPollInterval
	}
	return s.nextInterval(now)
}

// nextInterval returns the time from one poll to the next: within a burst an equal part of the time that the bound leaves,
// then steadyInterval. The first interval after a burst is random, to spread the polls of balancers whose bursts end at the
// same moment.
func (s *pollSchedule) nextInterval(now time.Time) time.Duration {
	switch {
	case s.pollsSinceLoss == burstPolls:
		return minBurstInterval + time.Duration(s.random()*float64(steadyInterval-minBurstInterval))
	case s.pollsSinceLoss > burstPolls:
		return s.jittered(steadyInterval)
	}
	return s.jittered(max(minBurstInterval, min(s.timeToLastPoll(now)/time.Duration(burstPolls-s.pollsSinceLoss), steadyInterval)))
}

// onPollFailed records that the latest poll has failed, and whether the connection was refused. changed reports whether
// the next poll is rescheduled; wait then counts from now.
func (s *pollSchedule) onPollFailed(now time.Time, refused bool) (wait time.Duration, changed bool) {
	again := s.failedSinceMessage
	s.failedSinceMessage = true
	switch {
	case s.fromAgent && again:
		return s.agentBackoff(2 * agentBackoffBase), true
	case s.fromAgent:
		return s.agentBackoff(agentBackoffBase), true
	case s.pollsSinceLoss < burstPolls:
		return 0, false
	case refused: // no change could be fetched before that poll
		s.lastSynced, s.burstRefused = s.lastPollAt, true
		return 0, false
	case s.burstRefused: // the service accepts connections again since the previous poll
		s.burstRefused, s.pollsSinceLoss = false, 1
		return s.nextInterval(now), true
	}
	return 0, false
}

// timeToLastPoll returns the time until the last poll of a burst must begin.
func (s *pollSchedule) timeToLastPoll(now time.Time) time.Duration {
	return StalenessBound - responseTimeReserve - now.Sub(s.lastSynced)
}

// fleetSpread returns the time over which all balancers spread their polls if no deadline limits it.
func (s *pollSchedule) fleetSpread() time.Duration {
	return max(minSpread, time.Duration(s.balancerCount)*spreadPerBalancer)
}

// randomWithin returns a random delay of 10% to 100% of a spread.
func (s *pollSchedule) randomWithin(spread time.Duration) time.Duration {
	return time.Duration((0.1 + 0.9*s.random()) * float64(spread))
}

// agentBackoff returns a random wait of 50% to 100% of the given wait.
func (s *pollSchedule) agentBackoff(wait time.Duration) time.Duration {
	return time.Duration((0.5 + 0.5*s.random()) * float64(wait))
}

// jittered returns an interval shortened by a random share of up to jitterShare.
func (s *pollSchedule) jittered(interval time.Duration) time.Duration {
	return time.Duration((1 - jitterShare*s.random()) * float64(interval))
}
