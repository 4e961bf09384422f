// Preference for the balancer's own zone, if the settings put a price on attempts to other zones.

package decide

const (
	// zoneBoostPerPrice is the additional weight of an endpoint in the balancer's own zone for each unit of
	// the price.
	zoneBoostPerPrice = 400.0 / 3
	// zoneRankDivisor divides the zone weight in the order of the subset. Up to this weight, endpoints of
	// the own zone are not preferred there.
	zoneRankDivisor = 3.4
)

// zoneWeight returns the factor in the draw of an endpoint in the given zone.
func (b *Balancer) zoneWeight(zone string) float64 {
	if zone == b.settings.Zone {
		return 1 + b.settings.CrossZonePrice*zoneBoostPerPrice
	}
	return 1
}
