package decide

// overQuota tells whether a request counts as over its tenant's share: that part of them, drawn at random, by
// which the tenant's part of the traffic seen here is more than its part of the allowances.
func (b *Balancer) overQuota(tenant int) bool {
	if tenant < 0 || tenant >= len(b.tenantRequests) {
		return false
	}
	b.tenantRequests[tenant]++
	taken, allowed := 0.0, 0.0
	for i, t := range b.settings.Tenants {
		taken, allowed = taken+b.tenantRequests[i], allowed+t.Allowance
	}
	fairShare := b.settings.Tenants[tenant].Allowance / max(allowed, 1e-9) * taken / b.tenantRequests[tenant]
	return b.rng.Float64() > fairShare
}
