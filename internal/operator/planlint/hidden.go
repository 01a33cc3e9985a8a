package planlint

import (
	"strings"

	"github.com/tanagerline/tanagerline/internal/decision/reducer"
)

// checkHiddenRoutes reports routes that an earlier route with the same host and prefix hides: the
// first of them gets all requests. Hosts are compared without regard to case, as for requests.
func checkHiddenRoutes(routes []reducer.Route) []Finding {
	type match struct{ host, prefix string }
	first := map[match]string{}
	var found []Finding
	for _, route := range routes {
		key := match{host: strings.ToLower(route.Host), prefix: route.Prefix}
		if key.host == "" {
			// Reported as a route without a host.
			continue
		}
		if other, ok := first[key]; ok {
			found = append(found, place{kind: TypeRoute, name: route.Name}.finding(SeverityWarning, fieldPrefix,
				"the route can never match: route %q before it has the same host and prefix; remove one of them or change its prefix", other))
			continue
		}
		first[key] = route.Name
	}
	return found
}
