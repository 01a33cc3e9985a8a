package planlint

import "github.com/tanagerline/tanagerline/internal/decision/reducer"

// entry is a resource in a form that can be compared.
type entry struct {
	values []value
	// digests are the digests of a tenant's access keys.
	digests []string
}

// Compare lists the added, removed and changed resources as notes. Access keys are only counted.
func Compare(inForce, spec reducer.PlanSpec) []Finding {
	before, after := entries(inForce), entries(spec)
	var found []Finding
	for at, old := range before {
		if now, ok := after[at]; ok {
			found = append(found, compareEntry(at, old, now)...)
		} else {
			found = append(found, at.finding(SeverityNote, "", "removed"))
		}
	}
	for at := range after {
		if _, ok := before[at]; !ok {
			found = append(found, at.finding(SeverityNote, "", "added"))
		}
	}
	Sort(found)
	return found
}

// entries returns the plan's resources by type and name. Of resources with the same name, which are
// an error of their own, the last is kept.
func entries(spec reducer.PlanSpec) map[place]entry {
	all := map[place]entry{}
	for _, route := range spec.Routes {
		all[place{TypeRoute, route.Name}] = entry{values: routeValues(route)}
	}
	for _, service := range spec.Services {
		all[place{TypeService, service.Name}] = entry{values: serviceValues(service)}
	}
	for _, tenant := range spec.Tenants {
		all[place{TypeTenant, tenant.Name}] = entry{values: tenantValues(tenant), digests: tenant.KeyDigests}
	}
	all[place{kind: TypeLimits}] = entry{values: limitsValues(spec.Limits)}
	return all
}

// compareEntry returns a note for each changed field of a resource.
func compareEntry(at place, before, after entry) []Finding {
	var found []Finding
	for i, old := range before.values {
		now := after.values[i]
		if old.text == now.text {
			continue
		}
		note := at.finding(SeverityNote, old.field, "changed from %q to %q", old.text, now.text)
		note.Old, note.New = old.text, now.text
		found = append(found, note)
	}
	added, removed := missing(after.digests, before.digests), missing(before.digests, after.digests)
	if added+removed > 0 {
		found = append(found, at.finding(SeverityNote, fieldKeys, "%d access keys added, %d removed", added, removed))
	}
	return found
}

// missing returns how many different digests of the list are not in the other.
func missing(list, other []string) int {
	different := map[string]bool{}
	for _, digest := range list {
		different[digest] = true
	}
	for _, digest := range other {
		delete(different, digest)
	}
	return len(different)
}
