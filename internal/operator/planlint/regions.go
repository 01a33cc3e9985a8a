package planlint

import (
	"slices"

	"github.com/tanagerline/tanagerline/internal/decision/reducer"
	"github.com/tanagerline/tanagerline/internal/decision/tenant"
)

// checkTenantRegions reports the routes that have no allowed region in common with the tenant, in
// one finding.
func checkTenantRegions(t reducer.Tenant, routes []reducer.Route) []Finding {
	if len(t.Regions) == 0 {
		return nil
	}
	var apart []string
	for _, route := range routes {
		if !slices.ContainsFunc(t.Regions, tenant.AllowedRegions(route.Regions, t.Regions).Allows) {
			apart = append(apart, route.Name)
		}
	}
	if len(apart) == 0 {
		return nil
	}
	return []Finding{place{kind: TypeTenant, name: t.Name}.finding(SeverityWarning, fieldRegions,
		"no region is allowed for both the tenant and %d routes (%s), which reject its requests; allow a common region", len(apart), listed(apart))}
}
