// Quotas of tenants. Requests over a tenant's quota have a lower priority (see Settings.OverQuotaWeight) but
// are not rejected for that reason alone.

package decide

// overQuota counts a request of a tenant and reports whether the request is over the tenant's quota.
// The quota is the tenant's share of the sum of all allowances. If the tenant sends a larger share of all
// requests, each of its requests is over the quota with the probability 1 - quota/share of requests.
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

// decayTenantRequests decays the tenants' request counts. It runs once per second.
func (b *Balancer) decayTenantRequests() {
	for i := range b.tenantRequests {
		b.tenantRequests[i] *= requestRetention
	}
}
