package reducer

import "github.com/tanagerline/tanagerline/internal/decision/tenant"

// tenantTable holds the tenants of the plan in force and the owners of access keys.
type tenantTable struct {
	tenants []Tenant
	keys    tenant.Keys
}

// newTenantTable returns the table of a plan's tenants.
func newTenantTable(tenants []Tenant) tenantTable {
	table := tenantTable{tenants: tenants}
	for i, t := range tenants {
		for _, digest := range t.KeyDigests {
			table.keys.Add(digest, i)
		}
	}
	return table
}

// find returns the tenant that owns the access key with a digest, or nil.
func (t *tenantTable) find(digest string) *Tenant {
	if digest == "" {
		return nil
	}
	owner := t.keys.Owner(digest)
	if owner < 0 {
		return nil
	}
	return &t.tenants[owner]
}

// authorize sets the tenant of a routed call by its access key. It returns the problem of a call
// that needs a known key and has none, or an empty string. Upstreams have no keys: their calls
// belong to a request that was authorized at its own entry.
func (r *Reducer) authorize(c *call, e CallArrived) ProblemKind {
	if len(r.tenants.tenants) == 0 {
		return ""
	}
	c.hideCredentials = true
	c.tenant = r.tenants.find(e.AccessKeyDigest)
	switch {
	case c.tenant != nil, c.route.route.Open, e.Internal && e.AccessKeyDigest == "":
		return ""
	default:
		return ProblemUnauthorized
	}
}

// anonymous reports whether the call has no tenant although the plan has tenants.
func (c *call) anonymous() bool { return c.hideCredentials && c.tenant == nil }

// tenantName returns the name of the call's tenant, or an empty string without one.
func (c *call) tenantName() string {
	if c.tenant == nil {
		return ""
	}
	return c.tenant.Name
}
