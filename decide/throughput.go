// Rates of requests and responses, which other rules use.

package decide

// busyThroughput separates quiet balancers from busy ones, in successes per second at an endpoint of mean
// capacity. Below it, the responses of a single endpoint are too rare to show a change in time.
const busyThroughput = 5.0

// The groups of endpoints whose throughput is measured apart.
const (
	// Groups of endpoints whose throughput is measured separately.
	groupAffinityOnly = 0 // outside the subset, used by keys that prefer it
	groupSubset       = 1
)

// trafficRates holds rates that are updated once per second.
type trafficRates struct {
	requestsThisSecond  int
	successesThisSecond int
	requests            float64    // per second, smoothed
	successes           float64    // per microsecond, smoothed
	perCapacity         [2]float64 // successes per µs and unit of capacity, by group; warm endpoints only
	seconds             float64    // seconds measured so far
}

// busy reports whether responses of single endpoints are frequent enough to base decisions on them.
func (t *trafficRates) busy() bool {
	return t.perCapacity[groupSubset]*float64(second) >= busyThroughput
}

// measureRequests updates the rate of requests, once per second.
func (t *trafficRates) measureRequests() {
	t.requests += (float64(t.requestsThisSecond) - t.requests) / 4
	t.requestsThisSecond = 0
}

// measureThroughput updates the rates of successes, once per second.
func (b *Balancer) measureThroughput(now int64) {
	t := &b.rates
	t.successes += (float64(t.successesThisSecond)/float64(second) - t.successes) / 2
	t.successesThisSecond = 0
	var successes [2]int
	var capacity [2]float64
	for _, s := range b.endpoints {
		if s.inService() && !s.ejectedForAll && b.warmupFraction(now, s) >= 1 {
			group := s.throughputGroup()
			successes[group] += s.successesThisSecond
			capacity[group] += s.Capacity
		}
		s.successesThisSecond = 0
	}
	t.seconds++
	for i := range capacity {
		if capacity[i] > 0 {
			rate := float64(successes[i]) / capacity[i] / float64(second)
			// The first second has full weight.
			t.perCapacity[i] += (rate - t.perCapacity[i]) * max(0.25, 1/t.seconds)
		}
	}
}

// throughputGroup returns the group in which the throughput of s is measured.
func (s *endpointState) throughputGroup() int {
	if s.inSubset {
		return groupSubset
	}
	return groupAffinityOnly
}
