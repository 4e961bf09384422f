package decide

import (
	"math"
)

const (
	reportedInFlightReports = 20.0 // reports, about, that the mean of what servers hold is taken over
	reportedLatencyStep     = 0.25 // of what a server tells of its pace: one word of few requests is rough
)

// recordLoadReport takes in what a server tells of itself, with an answer or to a probe.
func (b *Balancer) recordLoadReport(s *endpointState, l *LoadReport) {
	if l == nil {
		return
	}
	b.loadReportsSeen = true
	n := l.InFlight
	if n < 0 && l.Queue >= 0 {
		n = math.Sqrt(1+l.Queue) - 1 // what waits says less than what is held: half of its power
	}
	if n >= 0 && n < 1e6 {
		s.reportedInFlight = n
		b.meanReportedInFlight += (n - b.meanReportedInFlight) / reportedInFlightReports
	}
	if !(l.Latency > 0 && l.Latency < 1e6) {
		return
	}
	if s.reportedLatencyMs == 0 {
		s.reportedLatencyMs = l.Latency
	}
	s.reportedLatencyMs += (l.Latency - s.reportedLatencyMs) * reportedLatencyStep
}

// loadWeight is how much more a server weighs for holding less than the mean, as told: by the square, since reports are old.
func (b *Balancer) loadWeight(s *endpointState) float64 {
	part := (b.meanReportedInFlight + 1) / (s.reportedInFlight/s.Capacity + 1)
	return part * part
}
