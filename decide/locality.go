package decide

const (
	zoneBoostPerPrice = 400.0 / 3 // of the price of crossing zones that a server of the own zone weighs more
	zoneRankFactor    = 3.4       // times that a server of the own zone may weigh more and still not come first
)

// zoneWeight is how much more a server of the own zone weighs, where attempts to other zones have a price.
func (b *Balancer) zoneWeight(zone string) float64 {
	if zone == b.settings.Zone {
		return 1 + b.settings.CrossZonePrice*zoneBoostPerPrice
	}
	return 1
}
