package planlint

import "github.com/tanagerline/tanagerline/internal/decision/reducer"

// checkTenant checks the fields of a tenant.
func checkTenant(tenant reducer.Tenant) []Finding {
	at := place{kind: TypeTenant, name: tenant.Name}
	found := at.negatives(
		number{fieldPriority, float64(tenant.Priority)},
		number{fieldRate, tenant.RatePerSecond},
		number{fieldBurst, tenant.Burst},
	)
	if len(tenant.KeyDigests) == 0 {
		found = append(found, at.finding(SeverityWarning, fieldKeys, "the tenant has no access key, so that no request can be its own; add a key or remove the tenant"))
	}
	switch {
	case tenant.RatePerSecond > 0 && tenant.Burst >= 0 && tenant.Burst < 1:
		found = append(found, at.finding(SeverityWarning, fieldBurst,
			"%v is below one request while the rate is %v per second; set it to 1 or more", tenant.Burst, tenant.RatePerSecond))
	case tenant.RatePerSecond == 0 && tenant.Burst > 0:
		found = append(found, at.finding(SeverityWarning, fieldRate,
			"a rate of zero sets no limit, so that the burst of %v has no effect; set a rate or remove the burst", tenant.Burst))
	}
	return found
}
