package decide

import (
	"fmt"
)

const (
	summaryInterval = 5 * second // between two summary lines
)

// summaryCounters counts what the next summary line tells.
type summaryCounters struct {
	since                                int64
	draws, redrawn, attempts, shed, late int
}

// logSummary logs the last seconds in figures when something was refused in them.
func (b *Balancer) logSummary(now int64) {
	t := &b.counters
	if now-t.since < summaryInterval {
		return
	}
	ill, limit := 0, 0.0
	for _, s := range b.subset {
		limit += s.concurrencyLimit
		if s.ejectedForAll {
			ill++
		}
	}
	if t.shed > 0 || ill > 0 {
		b.actions.Log(fmt.Sprintf("summary tries=%d shed=%d late=%d out=%d limit=%.1f waiting=%d suspended=%d/%d listed=%d "+
			"draws=%d redrawn=%d", t.attempts, t.shed, t.late, b.inFlight, limit, len(b.queue), ill,
			len(b.subset), len(b.endpoints), t.draws, t.redrawn))
	}
	*t = summaryCounters{since: now}
}
