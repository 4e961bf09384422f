// When endpoints are health checked: where they report their load to health checks alone, which cost
// something. Without them slow machines would get as much as fast ones until they are overloaded.

package decide

// maxHealthCheckCost is the part of the service objective that health checks may cost.
const maxHealthCheckCost = 0.002

// checkHealth checks the subset, once a second at most, and as seldom as the price asks for.
func (b *Balancer) checkHealth(now int64) {
	if !b.settings.LoadFromHealthChecks || !b.settings.Limits.HealthChecks {
		return
	}
	price := float64(second*int64(len(b.subset))) * b.settings.HealthCheckPrice
	interval := price / (maxHealthCheckCost * max(1, b.rates.requests))
	if float64(now-b.lastHealthCheckAt) < interval {
		return
	}
	b.lastHealthCheckAt = now
	for _, s := range b.subset {
		b.actions.CheckHealth(s.ID)
	}
}

// OnHealthCheck takes the end of a health check. It says nothing but the load: a failed one ejects nobody.
func (b *Balancer) OnHealthCheck(_ int64, c HealthCheckOutcome) {
	if s := b.knownEndpoints[c.Server]; s != nil && c.Result == Succeeded {
		b.recordLoadReport(s, c.Load)
	}
}
