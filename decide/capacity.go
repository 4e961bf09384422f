// The capacity of each endpoint: the listed one, corrected by how fast the endpoint reports to work. The mean
// is one.

package decide

import "slices"

const (
	maxListedCapacity = 1e9 // a larger one counts as one: sums of a fleet of them would be inexact
	maxSpeedRatio     = 8.0 // to the mean, up or down
)

// scaleCapacities derives the capacities from the list. A listed one that moves with the endpoint's load
// counts with its peak, at the median of the machine's kind, so that balancers don't follow it all at once.
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

// peaksByKind lists the peaks of each kind of machine in order; none where listed capacities don't move.
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

// scaleBySpeed corrects the capacities by the reported latencies beside their mean: machines that are listed
// alike may differ. An endpoint that reports none counts as the mean of its kind, else of all.
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

// mean is an average in the making.
type mean struct{ sum, count float64 }

func (m mean) add(value float64) mean { return mean{m.sum + value, m.count + 1} }

func (m mean) value() float64 { return m.sum / m.count }

// meanServiceTimes averages the latencies reported, in ms, by kind of machine and over all.
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
