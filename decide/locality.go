// Preference for the own zone, where the settings give attempts to other zones a price.

package decide

const (
	// zoneBoostPerPrice is how much more weight an endpoint of the own zone gets for each unit of the price.
	zoneBoostPerPrice = 400.0 / 3
	// zoneRankDivisor divides the weight for the order of the subset: up to it the own zone doesn't come
	// first.
	zoneRankDivisor = 3.4
)

// zoneWeight is the factor of an endpoint of that zone in the draw.
func (b *Balancer) zoneWeight(zone string) float64 {
	if zone == b.settings.Zone {
		return 1 + b.settings.CrossZonePrice*zoneBoostPerPrice
	}
	return 1
}
