// The lines that a Balancer logs, each an event name followed by fields. docs/oncall.md describes how to
// respond to each event.

package decide

import "fmt"

// Names of the logged events.
const (
	eventEndpointEjected    = "endpoint_ejected"
	eventEndpointRestored   = "endpoint_restored"
	eventEndpointPollFailed = "endpoint_poll_failed"
	eventBalancerSummary    = "balancer_summary"
)

// summaryInterval is the minimum time between two summaries.
const summaryInterval = 5 * second

// summaryCounters count events since the last summary.
type summaryCounters struct {
	since    int64 // when the counters were last reset, µs
	draws    int
	redrawn  int // draws that were repeated at least once
	attempts int
	rejected int // requests that were rejected or failed without a response
	late     int // outcomes that were not early, see congestion.go
}

// logEjected logs the first of consecutive ejections of an endpoint.
func (b *Balancer) logEjected(s *endpointState, class int) {
	b.actions.Log(fmt.Sprintf("%s endpoint=%s class=%s cause=%s in_flight=%d", eventEndpointEjected,
		s.ID, b.classes[class].Name, s.ejections[class].lastFailure, s.inFlight))
}

// logRestored logs the end of consecutive ejections; silence is the time since the last success, in µs.
func (b *Balancer) logRestored(s *endpointState, class int, silence int64) {
	b.actions.Log(fmt.Sprintf("%s endpoint=%s class=%s silent_ms=%d ejections=%d", eventEndpointRestored,
		s.ID, b.classes[class].Name, silence/millisecond, s.ejections[class].ejectionCount))
}

// logPollFailed logs the first of consecutive failed polls; delay is the time until the next poll, in µs.
func (b *Balancer) logPollFailed(delay int64) {
	b.actions.Log(fmt.Sprintf("%s next_poll_ms=%d", eventEndpointPollFailed, delay/millisecond))
}

// logSummary logs counters of the last seconds if a request was rejected in them or an endpoint is ejected.
func (b *Balancer) logSummary(now int64) {
	c := &b.counters
	if now-c.since < summaryInterval {
		return
	}
	ejected, limits := 0, 0.0
	for _, s := range b.subset {
		limits += s.concurrencyLimit
		if s.ejectedForAll {
			ejected++
		}
	}
	if c.rejected > 0 || ejected > 0 {
		b.actions.Log(fmt.Sprintf("%s attempts=%d rejected=%d late=%d in_flight=%d limit=%.1f queued=%d "+
			"ejected=%d subset=%d endpoints=%d draws=%d redrawn=%d", eventBalancerSummary,
			c.attempts, c.rejected, c.late, b.inFlight, limits, len(b.queue),
			ejected, len(b.subset), len(b.endpoints), c.draws, c.redrawn))
	}
	*c = summaryCounters{since: now}
}
