package decide

const (
	healthCheckSpend = 0.002 // points for probes, of what a day may earn
)

// checkHealth probes the arms where servers tell of themselves to probes alone, as often as their price leaves little
// to notice. Guards against slow machines that get as much as fast ones until they choke: in two seconds.
func (b *Balancer) checkHealth(now int64) {
	wait := float64(second*int64(len(b.subset))) * b.settings.HealthCheckPrice / (healthCheckSpend * max(1, b.requestRate))
	if b.settings.LoadFromHealthChecks && b.settings.Limits.HealthChecks && float64(now-b.lastHealthCheckAt) >= wait {
		b.lastHealthCheckAt = now
		for _, s := range b.subset {
			b.actions.CheckHealth(s.ID)
		}
	}
}

// OnHealthCheck takes in what a server tells to a probe.
func (b *Balancer) OnHealthCheck(now int64, p HealthCheck) {
	if s := b.knownEndpoints[p.Server]; s != nil && p.Result == Succeeded {
		b.recordLoadReport(s, p.Load)
	}
}
