package planlint

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/tanagerline/tanagerline/internal/decision/reducer"
)

// value is a field of a resource with its value as text.
type value struct {
	field string
	text  string
}

func routeValues(route reducer.Route) []value {
	return []value{
		{fieldHost, route.Host},
		{fieldPrefix, route.Prefix},
		{fieldKind, kindText(route)},
		{fieldTimeout, route.Timeout.String()},
		{fieldObjective, route.Objective.String()},
		{fieldPriority, strconv.Itoa(route.Priority)},
		{fieldService, servicesText(route.Services)},
		{fieldMaxAttempts, strconv.Itoa(route.MaxAttempts)},
		{fieldOpen, strconv.FormatBool(route.Open)},
		{fieldRegions, regionsText(route.Regions)},
	}
}

func kindText(route reducer.Route) string {
	switch {
	case route.Long:
		return "upload"
	case route.Idempotent:
		return "idempotent"
	default:
		return "non_idempotent"
	}
}

// servicesText returns the name of a single service, or each service with its weight.
func servicesText(parts []reducer.RouteService) string {
	if len(parts) == 1 {
		return parts[0].Service
	}
	texts := make([]string, len(parts))
	for i, part := range parts {
		texts[i] = fmt.Sprintf("%s %d", part.Service, part.Weight)
	}
	return strings.Join(texts, ", ")
}

func regionsText(regions []string) string {
	if len(regions) == 0 {
		return "all"
	}
	return strings.Join(regions, ", ")
}

func serviceValues(service reducer.ServicePlan) []value {
	return []value{
		{fieldHealthPath, service.HealthPath},
		{fieldMaxConnections, strconv.Itoa(service.MaxConnections)},
		{fieldWarmup, service.Warmup.String()},
		{fieldWarmupRate, fmt.Sprint(service.WarmupRate)},
	}
}

// tenantValues returns a tenant's values except its access keys.
func tenantValues(tenant reducer.Tenant) []value {
	return []value{
		{fieldPriority, strconv.Itoa(tenant.Priority)},
		{fieldRate, fmt.Sprint(tenant.RatePerSecond)},
		{fieldBurst, fmt.Sprint(tenant.Burst)},
		{fieldRegions, regionsText(tenant.Regions)},
	}
}

func limitsValues(limits reducer.CallerLimits) []value {
	return []value{
		{fieldBodyBytes, strconv.FormatInt(limits.BodyBytes, 10)},
		{fieldHeaderBytes, strconv.Itoa(limits.HeaderBytes)},
		{fieldHeaderTimeout, limits.HeaderTimeout.String()},
		{fieldIdleTimeout, limits.IdleTimeout.String()},
	}
}
