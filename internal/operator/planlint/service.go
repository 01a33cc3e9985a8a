package planlint

import "github.com/tanagerline/tanagerline/internal/decision/reducer"

// checkService checks the fields of a service.
func checkService(service reducer.ServicePlan) []Finding {
	return place{kind: TypeService, name: service.Name}.negatives(
		number{fieldMaxConnections, float64(service.MaxConnections)},
		number{fieldWarmup, float64(service.Warmup)},
		number{fieldWarmupRate, service.WarmupRate},
	)
}

// checkRoutedServices reports routes to services that the plan doesn't have, and services that no
// route names.
func checkRoutedServices(spec reducer.PlanSpec) []Finding {
	known := map[string]bool{}
	for _, service := range spec.Services {
		known[service.Name] = true
	}
	routed := map[string]bool{}
	var found []Finding
	for _, route := range spec.Routes {
		at := place{kind: TypeRoute, name: route.Name}
		for _, part := range route.Services {
			routed[part.Service] = true
			if part.Service == "" {
				found = append(found, at.finding(SeverityError, fieldService, "the route names no service; set a service or several with weights"))
			} else if !known[part.Service] {
				found = append(found, at.finding(SeverityError, fieldService, "the configuration has no service %q; add it or correct the name", part.Service))
			}
		}
	}
	for _, service := range spec.Services {
		if !routed[service.Name] {
			found = append(found, place{kind: TypeService, name: service.Name}.finding(SeverityNote, "",
				"no route names the service; remove it if it is not needed any more"))
		}
	}
	return found
}
