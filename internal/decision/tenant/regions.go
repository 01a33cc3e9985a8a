package tenant

import "slices"

// Regions is a set of regions that may serve a call. The zero value allows all.
type Regions struct {
	limited bool
	names   []string
}

// AllowedRegions returns the regions that both a route and a tenant allow. An empty list allows
// all regions; two lists without a common region allow none.
func AllowedRegions(route, tenant []string) Regions {
	switch {
	case len(route) == 0 && len(tenant) == 0:
		return Regions{}
	case len(route) == 0:
		return Regions{limited: true, names: tenant}
	case len(tenant) == 0:
		return Regions{limited: true, names: route}
	}
	both := Regions{limited: true}
	for _, name := range route {
		if slices.Contains(tenant, name) {
			both.names = append(both.names, name)
		}
	}
	return both
}

// Allows reports whether a region is in the set.
func (r Regions) Allows(region string) bool {
	return !r.limited || slices.Contains(r.names, region)
}

// Limited reports whether the set leaves out any region.
func (r Regions) Limited() bool { return r.limited }
