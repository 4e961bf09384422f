// Tenants over their quota: their excess requests wait behind others (see Settings.OverQuotaWeight). Nothing
// is rejected for that alone.

package decide

// overQuota counts a request of a tenant and reports whether it is one of those over the tenant's quota: as
// many of them, drawn at random, as its part of the requests seen here exceeds its part of all allowances.
func (b *Balancer) overQuota(tenant int) bool {
	if tenant < 0 || tenant >= len(b.tenantRequests) {
		return false
	}
	b.tenantRequests[tenant]++
	requests, allowances := 0.0, 0.0
	for i, t := range b.settings.Tenants {
		requests += b.tenantRequests[i]
		allowances += t.Allowance
	}
	allowance := b.settings.Tenants[tenant].Allowance
	fairShare := allowance / max(allowances, 1e-9) * requests / b.tenantRequests[tenant]
	return b.rng.Float64() > fairShare
}

// decayTenantRequests lets the counts fade, once a second.
func (b *Balancer) decayTenantRequests() {
	for i := range b.tenantRequests {
		b.tenantRequests[i] *= requestRetention
	}
}
