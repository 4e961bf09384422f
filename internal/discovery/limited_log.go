package discovery

import (
	"time"

	"damsonscale/internal/eventlog"
)

// Events of the log.
const (
	eventPollStarted  = "endpoint_poll_started"
	eventWatchSuspect = "endpoint_watch_suspect"
	eventWatchEnded   = "endpoint_watch_ended"
	eventApplied      = "endpoints_applied"
	eventStaleIgnored = "endpoints_stale_ignored"
)

const (
	logBurst          = 40                     // lines that may be written at once
	logRefillInterval = 500 * time.Millisecond // until one more may be
)

// limitedLog writes log lines through a token bucket and counts those that it drops. Only one goroutine may use it.
type limitedLog struct {
	tokensUsed int // not refilled yet
	refilledAt time.Time
	dropped    int // lines since the last one written
}

// info logs an event of normal operation, as eventlog.Info does.
func (l *limitedLog) info(now time.Time, event string, args ...any) {
	if l.allow(now) {
		eventlog.Info(event, l.withDropped(args)...)
	}
}

// warn logs an event that the client copes with by itself, as eventlog.Warn does.
func (l *limitedLog) warn(now time.Time, event string, cause error, args ...any) {
	if l.allow(now) {
		eventlog.Warn(event, cause, l.withDropped(args)...)
	}
}

// allow takes a token for a line, or counts the line as dropped where there is none.
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

// withDropped adds the number of lines dropped since the last one, if any.
func (l *limitedLog) withDropped(args []any) []any {
	if l.dropped > 0 {
		args = append(args, "lines_left_out", l.dropped)
		l.dropped = 0
	}
	return args
}
