package planlint

import (
	"maps"
	"slices"

	"github.com/tanagerline/tanagerline/internal/decision/reducer"
)

// checkSharedKeys reports access keys that two tenants hold, and keys that one tenant lists twice.
// Findings name the tenants and the number of keys, never a key or its digest.
func checkSharedKeys(tenants []reducer.Tenant) []Finding {
	owners := map[string]int{}
	var found []Finding
	for i, tenant := range tenants {
		shared := map[int]int{}
		for _, digest := range tenant.KeyDigests {
			owner, known := owners[digest]
			if !known {
				owners[digest] = i
				continue
			}
			shared[owner]++
		}
		at := place{kind: TypeTenant, name: tenant.Name}
		for _, owner := range slices.Sorted(maps.Keys(shared)) {
			if owner == i {
				found = append(found, at.finding(SeverityWarning, fieldKeys, "%d access keys are listed more than once; remove the repetitions", shared[owner]))
				continue
			}
			found = append(found, at.finding(SeverityError, fieldKeys,
				"tenant %q holds %d of the same access keys and gets their requests; give each tenant keys of its own", tenants[owner].Name, shared[owner]))
		}
	}
	return found
}
