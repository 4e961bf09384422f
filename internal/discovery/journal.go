package discovery

import (
	"fmt"
	"log"
	"time"
)

const (
	linesBurst  = 40                     // log lines that may be written at once
	linesRefill = 500 * time.Millisecond // until one more may be
)

// journal writes log lines at a bounded rate, and tells how many it left out. Only one goroutine may use it.
type journal struct {
	used    int // lines written that the rate has not yet made up for
	since   time.Time
	dropped int
}

// printf writes a line, or counts it where the rate is used up.
func (j *journal) printf(now time.Time, format string, args ...any) {
	refilled := int(now.Sub(j.since) / linesRefill)
	if j.used = max(0, j.used-refilled); j.used == 0 {
		j.since = now
	} else {
		j.since = j.since.Add(time.Duration(refilled) * linesRefill)
	}
	if j.used >= linesBurst {
		j.dropped++
		return
	}
	j.used++
	line := fmt.Sprintf(format, args...)
	if j.dropped > 0 {
		line += fmt.Sprintf(" lines_left_out=%d", j.dropped)
		j.dropped = 0
	}
	log.Print(line)
}
