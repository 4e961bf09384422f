package cells

import "github.com/cespare/xxhash/v2"

const (
	microsPerSecond  = 1_000_000
	maxBackoffShifts = 32 // attempt number from which the pause is the limit, to avoid overflow
)

// RateLimiter bounds the calls that a server admits per second. Rejected callers retry later. PerSecond must be set: the zero value is not usable.
type RateLimiter struct {
	PerSecond int64 // calls
	Burst     int64 // calls
	busyUntil int64 // time in µs until which admitted calls use up the rate
}

// Allow reports whether a call is admitted now.
func (l *RateLimiter) Allow(nowMicros int64) bool {
	cost := microsPerSecond / l.PerSecond
	l.busyUntil = max(l.busyUntil, nowMicros-l.Burst*cost)
	if l.busyUntil+cost > nowMicros+cost {
		return false
	}
	l.busyUntil += cost
	return true
}

// Backoff returns the pause before an attempt; attempts count from 1. The pause starts at first, doubles with each attempt up to limit, and is
// then reduced by up to a half, depending on the caller's name and the attempt: callers that lost the same peer at the same time do not retry at
// the same time. All durations are in the same unit.
func Backoff(name string, attempt int, first, limit int64) int64 {
	span := limit
	if attempt < maxBackoffShifts && first<<(attempt-1) < limit {
		span = first << (attempt - 1)
	}
	var h xxhash.Digest
	h.Reset()
	h.WriteString(name)
	h.Write([]byte{byte(attempt)})
	return span/2 + int64(h.Sum64()%uint64(span/2+1))
}
