package planlint

import "github.com/tanagerline/tanagerline/internal/decision/reducer"

// Check returns the findings about a plan's content.
func Check(spec reducer.PlanSpec) []Finding {
	var found []Finding
	for _, route := range spec.Routes {
		found = append(found, checkRoute(route)...)
	}
	found = append(found, checkHiddenRoutes(spec.Routes)...)
	found = append(found, checkRoutedServices(spec)...)
	for _, service := range spec.Services {
		found = append(found, checkService(service)...)
	}
	for _, tenant := range spec.Tenants {
		found = append(found, checkTenant(tenant)...)
		found = append(found, checkTenantRegions(tenant, spec.Routes)...)
	}
	found = append(found, checkSharedKeys(spec.Tenants)...)
	return append(found, checkLimits(spec.Limits)...)
}
