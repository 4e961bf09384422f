// Tenants over their quota. Their excess requests wait behind others (see Settings.OverQuotaWeight) but are
// not rejected for that reason alone.

package decide

// overQuota counts a request of a tenant and reports whether the request is over the tenant's quota. The
// share of such requests, which are chosen at random, is the share by which the tenant's part of the
// requests exceeds its part of all allowances.
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

// decayTenantRequests decays the request counts, once per second.
func (b *Balancer) decayTenantRequests() {
	for i := range b.tenantRequests {
		b.tenantRequests[i] *= requestRetention
	}
}
