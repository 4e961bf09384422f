package cells

import "github.com/cespare/xxhash/v2"

const (
	microsPerSecond  = 1_000_000
	maxBackoffShifts = 32 // attempts past which the pause is no longer doubled
)

// RateLimiter bounds the calls that a server admits in a second; others are told to come again. Its zero value can't be used: PerSecond must be set.
type RateLimiter struct {
	PerSecond int64
	Burst     int64 // calls
	busyUntil int64 // µs
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

// Backoff returns the pause before an attempt, counted from 1: first, doubled each time up to limit, and of that between a half and all, by the
// caller's name, so that callers that lost the same peer at once do not come back at once. All are in the same unit.
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
