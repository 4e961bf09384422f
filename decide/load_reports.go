// What endpoints report of their own load, with answers or to health checks.

package decide

import "math"

const (
	meanInFlightWindow   = 20.0 // that the mean is averaged over, about
	serviceTimeSmoothing = 0.25 // a report after few requests is rough

	// Larger figures are taken for mistakes.
	maxReportedInFlight      = 1e6
	maxReportedServiceTimeMs = 1e6
)

// loadReports is what all reports together say.
type loadReports struct {
	seen         bool    // some endpoint reports its load
	meanInFlight float64 // requests that an endpoint has in flight
}

// recordLoadReport takes in a report of s; nil says nothing.
func (b *Balancer) recordLoadReport(s *endpointState, report *LoadReport) {
	if report == nil {
		return
	}
	b.loadReports.seen = true
	inFlight := report.InFlight
	if inFlight < 0 && report.QueueLength >= 0 {
		inFlight = math.Sqrt(1+report.QueueLength) - 1 // a queue says less than what is in flight
	}
	if inFlight >= 0 && inFlight < maxReportedInFlight {
		s.reportedInFlight = inFlight
		b.loadReports.meanInFlight += (inFlight - b.loadReports.meanInFlight) / meanInFlightWindow
	}
	if !(report.ServiceTimeMs > 0 && report.ServiceTimeMs < maxReportedServiceTimeMs) {
		return
	}
	if s.reportedServiceTimeMs == 0 {
		s.reportedServiceTimeMs = report.ServiceTimeMs
	}
	s.reportedServiceTimeMs += (report.ServiceTimeMs - s.reportedServiceTimeMs) * serviceTimeSmoothing
}

// loadWeight is the factor of s in the draw for what it reports to have in flight, beside the mean. It is
// squared and no higher power, since reports are old by the time they count.
func (b *Balancer) loadWeight(s *endpointState) float64 {
	ratio := (b.loadReports.meanInFlight + 1) / (s.reportedInFlight/s.Capacity + 1)
	return ratio * ratio
}
