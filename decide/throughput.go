// The rates of requests and answers that other rules go by.

package decide

// busyThroughput separates quiet balancers from busy ones: successes per second at an endpoint of mean
// capacity. With fewer, the answers of one endpoint say too little in time.
const busyThroughput = 5.0

// The groups of endpoints whose throughput is measured apart.
const (
	groupAffinityOnly = 0 // not in the subset: used for keys that prefer it
	groupSubset       = 1
)

// trafficRates are measured once a second.
type trafficRates struct {
	requestsThisSecond  int
	successesThisSecond int
	requests            float64    // per second, smoothed
	successes           float64    // per microsecond, smoothed
	perCapacity         [2]float64 // successes per µs and unit of capacity, by group; warm endpoints only
	seconds             float64    // measured so far
}

// busy reports whether the answers of single endpoints are frequent enough to go by.
func (t *trafficRates) busy() bool {
	return t.perCapacity[groupSubset]*float64(second) >= busyThroughput
}

// measureRequests closes the second for the rate of requests.
func (t *trafficRates) measureRequests() {
	t.requests += (float64(t.requestsThisSecond) - t.requests) / 4
	t.requestsThisSecond = 0
}

// measureThroughput closes the second for the rates of successes.
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
			// The first second counts in full.
			t.perCapacity[i] += (rate - t.perCapacity[i]) * max(0.25, 1/t.seconds)
		}
	}
}

// throughputGroup is the group that s is measured in.
func (s *endpointState) throughputGroup() int {
	if s.inSubset {
		return groupSubset
	}
	return groupAffinityOnly
}
