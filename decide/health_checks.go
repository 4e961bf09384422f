// When endpoints are health checked. Health checks are used if endpoints report their load only in them,
// and they have a price. Without load reports, slow machines would get as much traffic as fast ones until
// they are overloaded.

package decide

// maxHealthCheckCost is the share of the service objective that health checks may cost.
const maxHealthCheckCost = 0.002

// checkHealth starts a health check of every endpoint of the subset, at most once per second and less often
// if the price requires it.
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

// OnHealthCheck handles the end of a health check. It uses only the load report; a failed check ejects no
// endpoint.
func (b *Balancer) OnHealthCheck(_ int64, c HealthCheckOutcome) {
	if s := b.knownEndpoints[c.Server]; s != nil && c.Result == Succeeded {
		b.recordLoadReport(s, c.Load)
	}
}
