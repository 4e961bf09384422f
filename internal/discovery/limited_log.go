package discovery

import (
	"time"

	"damsonscale/internal/eventlog"
)

// Log events.
const (
	eventPollStarted  = "endpoint_poll_started"
	eventWatchSuspect = "endpoint_watch_suspect"
	eventWatchEnded   = "endpoint_watch_ended"
	eventApplied      = "endpoints_applied"
	eventStaleIgnored = "endpoints_stale_ignored"
)

const (
	logBurst          = 40                     // number of log lines that may be written at once
	logRefillInterval = 500 * time.Millisecond // time after which the rate limit allows one more line
)

// limitedLog is a log with a rate limit (a token bucket); it counts the lines that it drops. It is not safe for concurrent
// use.
type limitedLog struct {
	tokensUsed int       // tokens taken and not refilled yet
	refilledAt time.Time // time up to which tokens have been refilled
	dropped    int       // lines dropped since the last line that was written
}

// info calls eventlog.Info for an event of normal operation, unless the rate limit drops the line.
func (l *limitedLog) info(now time.Time, event string, args ...any) {
	if l.allow(now) {
		eventlog.Info(event, l.withDropped(args)...)
	}
}

// warn calls eventlog.Warn for a fault from which the client recovers, unless the rate limit drops the line.
func (l *limitedLog) warn(now time.Time, event string, cause error, args ...any) {
	if l.allow(now) {
		eventlog.Warn(event, cause, l.withDropped(args)...)
	}
}

// allow takes a token for a line. If no token is left it counts the line as dropped and returns false.
func (l *limitedLog) allow(now time.Time) bool {
	refilled := int(now.Sub(l.refilledAt) / logRefillInterval)
	if l.tokensUsed = max(0, l.tokensUsed-refilled); l.tokensUsed == 0 {
		l.refilledAt = now
	} else {
		l.refilledAt = l.refilledAt.Add(time.Duration(refilled) * logRefillInterval)
	}
	if l.tokensUsed >= logBurst {
		l.dropped++
		return false
	}
	l.tokensUsed++
	return true
}

// withDropped adds the number of lines dropped since the last written line to args, unless that is 0, and resets the number.
func (l *limitedLog) withDropped(args []any) []any {
	if l.dropped > 0 {
		args = append(args, "lines_left_out", l.dropped)
		l.dropped = 0
	}
	return args
}
