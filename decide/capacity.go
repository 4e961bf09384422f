package decide

import (
	"slices"
)

const (
	maxSpeedRatio     = 8.0 // times faster or slower than the mean that a server counts as
	maxListedCapacity = 1e9 // of a listed size: a sum of a fleet of them stays exact enough
)

// scaleCapacities makes the mean size one, so that sizes read as shares of a mean server. A size that moves with load is
// taken at its largest, at the median of the machine's kind: guards against herds that follow it, and wild figures.
func (b *Balancer) scaleCapacities() {
	sum := 0.0
	peaks := map[string][]float64{}
	if b.settings.CapacityLive {
		for _, s := range b.endpoints {
			peaks[s.MachineKind] = append(peaks[s.MachineKind], s.peakCapacity)
		}
		delete(peaks, "")
		for _, p := range peaks {
			slices.Sort(p)
		}
	}
	for _, s := range b.endpoints {
		s.Capacity = s.listedCapacity
		if b.settings.CapacityLive && s.peakCapacity > 0 {
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

// scaleBySpeed makes the sizes those of scaleCapacities by how fast servers work, as they tell, beside the mean of those that do. One
// that does not tell counts as its kind, else as the mean. Guards against machines that are listed alike and are not.
func (b *Balancer) scaleBySpeed() {
	type mean struct{ sum, n float64 }
	kinds, all := map[string]mean{}, mean{}
	for _, s := range b.endpoints {
		if s.reportedLatencyMs > 0 {
			k := kinds[s.MachineKind]
			kinds[s.MachineKind], all = mean{k.sum + s.reportedLatencyMs, k.n + 1}, mean{all.sum + s.reportedLatencyMs, all.n + 1}
		}
	}
	sum := 0.0
	for _, s := range b.endpoints {
		speed := 1.0
		if all.n > 0 {
			pace := s.reportedLatencyMs
			if k := kinds[s.MachineKind]; pace == 0 && k.n > 0 {
				pace = k.sum / k.n
			} else if pace == 0 {
				pace = all.sum / all.n
			}
			speed = min(max(all.sum/all.n/pace, 1/maxSpeedRatio), maxSpeedRatio)
		}
		s.Capacity = s.baseCapacity * speed
		sum += s.Capacity
	}
	for _, s := range b.endpoints {
		s.Capacity *= float64(len(b.endpoints)) / sum
	}
}
