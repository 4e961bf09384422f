package discovery

import (
	"fmt"
	"log"
	"time"
)

const (
	logBurst          = 40                     // log lines that may be written at once
	logRefillInterval = 500 * time.Millisecond // until one more may be
)

// limitedLog writes log lines at a bounded rate, and tells how many it left out. Only one goroutine may use it.
type limitedLog struct {
	tokensUsed int // lines written that the rate has not yet made up for
	refilledAt time.Time
	dropped    int
}

// printf writes a line, or counts it where the rate is used up.
func (j *limitedLog) printf(now time.Time, format string, args ...any) {
	refilled := int(now.Sub(j.refilledAt) / logRefillInterval)
	if j.tokensUsed = max(0, j.tokensUsed-refilled); j.tokensUsed == 0 {
		j.refilledAt = now
	} else {
		j.refilledAt = j.refilledAt.Add(time.Duration(refilled) * logRefillInterval)
	}
	if j.tokensUsed >= logBurst {
		j.dropped++
		return
	}
	j.tokensUsed++
	line := fmt.Sprintf(format, args...)
	if j.dropped > 0 {
		line += fmt.Sprintf(" lines_left_out=%d", j.dropped)
		j.dropped = 0
	}
	log.Print(line)
}
