// The capacity of each endpoint: the listed capacity, corrected by the service time that the endpoint
// reports. Capacities are scaled to a mean of 1.

package decide

import "slices"

const (
	maxListedCapacity = 1e9 // larger values count as 1, since sums of them would lose precision
	maxSpeedRatio     = 8.0 // bound of an endpoint's speed relative to the mean, and of its inverse
)

// scaleCapacities derives the capacities from the endpoint list. If listed capacities follow the load, an
// endpoint's capacity is its highest listed one, or the median of these peaks over its machine kind. With
// the current values, all balancers would move their traffic at the same time.
func (b *Balancer) scaleCapacities() {
	peaks := b.peaksByKind()
	sum := 0.0
	for _, s := range b.endpoints {
		s.Capacity = s.listedCapacity
		if b.settings.CapacityFollowsLoad && s.peakCapacity > 0 {
			s.Capacity = s.peakCapacity
		}
		if p := peaks[s.MachineKind]; len(p) > 0 && p[len(p)/2] > 0 {
			s.Capacity = p[len(p)/2]
		}
		sum += s.Capacity
	}
	for _, s := range b.endpoints {
		s.baseCapacity = s.Capacity * float64(len(b.endpoints)) / sum
	}
	b.scaleBySpeed()
}

// peaksByKind returns the sorted peak capacities of each machine kind, or an empty map if listed
// capacities don't follow the load.
func (b *Balancer) peaksByKind() map[string][]float64 {
	peaks := map[string][]float64{}
	if !b.settings.CapacityFollowsLoad {
		return peaks
	}
	for _, s := range b.endpoints {
		if s.MachineKind != "" {
			peaks[s.MachineKind] = append(peaks[s.MachineKind], s.peakCapacity)
		}
	}
	for _, p := range peaks {
		slices.Sort(p)
	}
	return peaks
}

// scaleBySpeed corrects the capacities by the reported service times relative to their mean, since machines
// with the same listed capacity may differ in speed. An endpoint that reports no service time gets the mean
// of its machine kind, or of all endpoints.
func (b *Balancer) scaleBySpeed() {
	kinds, all := b.meanServiceTimes()
	sum := 0.0
	for _, s := range b.endpoints {
		speed := 1.0
		if all.count > 0 {
			serviceTime := s.reportedServiceTimeMs
			if kind := kinds[s.MachineKind]; serviceTime == 0 && kind.count > 0 {
				serviceTime = kind.value()
			} else if serviceTime == 0 {
				serviceTime = all.value()
			}
			speed = min(max(all.value()/serviceTime, 1/maxSpeedRatio), maxSpeedRatio)
		}
		s.Capacity = s.baseCapacity * speed
		sum += s.Capacity
	}
	for _, s := range b.endpoints {
		s.Capacity *= float64(len(b.endpoints)) / sum
	}
}

// mean accumulates an average.
type mean struct{ sum, count float64 }

func (m mean) add(value float64) mean { return mean{m.sum + value, m.count + 1} }

func (m mean) value() float64 { return m.sum / m.count }

// meanServiceTimes returns the mean of the reported service times, in ms, by machine kind and over all
// endpoints.
func (b *Balancer) meanServiceTimes() (kinds map[string]mean, all mean) {
	kinds = map[string]mean{}
	for _, s := range b.endpoints {
		if s.reportedServiceTimeMs > 0 {
			kinds[s.MachineKind] = kinds[s.MachineKind].add(s.reportedServiceTimeMs)
			all = all.add(s.reportedServiceTimeMs)
		}
	}
	return kinds, all
}
