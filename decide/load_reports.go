// Load that endpoints report about themselves, in responses or in health checks.

package decide

import "math"

const (
	meanInFlightWindow = 20.0 // reports that the mean is averaged over, approximately
	// serviceTimeSmoothing is the weight of a new report in the smoothed service time. It is small because
	// a report after few requests is inaccurate.
	serviceTimeSmoothing = 0.25

	// Larger reported values are treated as errors and ignored.
	maxReportedInFlight      = 1e6
	maxReportedServiceTimeMs = 1e6
)

// loadReports summarizes the load reports of all endpoints.
type loadReports struct {
	seen         bool    // an endpoint has reported its load
	meanInFlight float64 // mean of the requests in flight at an endpoint
}

// recordLoadReport records a load report of s; nil means that there is none.
func (b *Balancer) recordLoadReport(s *endpointState, report *LoadReport) {
	if report == nil {
		return
	}
	b.loadReports.seen = true
	inFlight := report.InFlight
	if inFlight < 0 && report.QueueLength >= 0 {
		// This is an estimate, since a queue length says less than the number of requests in flight.
		inFlight = math.Sqrt(1+report.QueueLength) - 1
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

// loadWeight returns the factor of s in the draw for its reported requests in flight relative to the mean.
// The ratio is squared and not raised to a higher power, since reports are old by the time they are used.
func (b *Balancer) loadWeight(s *endpointState) float64 {
	ratio := (b.loadReports.meanInFlight + 1) / (s.reportedInFlight/s.Capacity + 1)
	return ratio * ratio
}
