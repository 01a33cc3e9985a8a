package planlint

import (
	"strings"

	"github.com/tanagerline/tanagerline/internal/decision/reducer"
)

// checkRoute checks the fields of a route.
func checkRoute(route reducer.Route) []Finding {
	at := place{kind: TypeRoute, name: route.Name}
	found := at.negatives(
		number{fieldObjective, float64(route.Objective)},
		number{fieldPriority, float64(route.Priority)},
	)
	if route.Host == "" {
		found = append(found, at.finding(SeverityWarning, fieldHost, "the route has no host and can never match; set the host of its requests"))
	}
	if !strings.HasPrefix(route.Prefix, "/") || !strings.HasSuffix(route.Prefix, "/") {
		found = append(found, at.finding(SeverityError, fieldPrefix, "%q must begin and end with a slash", route.Prefix))
	}
	if route.Timeout <= 0 {
		found = append(found, at.finding(SeverityError, fieldTimeout, "%s leaves no time for a request; set a positive time", route.Timeout))
	} else if route.Objective > route.Timeout {
		found = append(found, at.finding(SeverityWarning, fieldObjective,
			"%s is above the timeout %s, which ends the request before; lower it or raise the timeout", route.Objective, route.Timeout))
	}
	found = append(found, checkMaxAttempts(at, route.MaxAttempts)...)
	return append(found, checkWeights(at, route.Services)...)
}

func checkMaxAttempts(at place, attempts int) []Finding {
	switch {
	case attempts < 0:
		return []Finding{at.finding(SeverityError, fieldMaxAttempts, "%d is negative; set it to 1 or more", attempts)}
	case attempts == 0:
		return []Finding{at.finding(SeverityWarning, fieldMaxAttempts, "0 or no value counts as 1, so that no request is retried; set it to 1 or more")}
	}
	return nil
}

// checkWeights checks the weights of a route's services.
func checkWeights(at place, parts []reducer.RouteService) []Finding {
	var found []Finding
	positive := false
	for _, part := range parts {
		positive = positive || part.Weight > 0
		if part.Weight < 0 {
			found = append(found, at.finding(SeverityError, fieldSplit, "the weight %d of service %q is negative; set it to zero or more", part.Weight, part.Service))
		}
	}
	if !positive && len(found) == 0 {
		found = append(found, at.finding(SeverityError, fieldSplit, "all weights are zero; give at least one service a positive weight"))
	}
	return found
}
