package reducer

import (
	"slices"

	"github.com/tanagerline/tanagerline/internal/decision/tenant"
)

// maxOutsideTries is the number of upstreams that are tried for a call whose own region may not
// serve it, before it is queued at one: each costs a round trip between regions.
const maxOutsideTries = 3

// resolveRegions sets the regions that may serve a routed call. They stay the same for all of the
// call's attempts, also when a newer plan takes effect meanwhile.
func (r *Reducer) resolveRegions(c *call) {
	var tenantRegions []string
	if c.tenant != nil {
		tenantRegions = c.tenant.Regions
	}
	c.regions = tenant.AllowedRegions(c.route.route.Regions, tenantRegions)
}

// placeOutsideOwnRegion returns the upstream for the next attempt of a call that this region may
// not serve, or nil. The rules that keep calls from leaving their region don't apply to it.
func (r *Reducer) placeOutsideOwnRegion(c *call, s *servicePeers) *peer {
	if len(c.tried) < maxOutsideTries {
		if p := r.bestInOtherRegions(c, s, func(p *peer) bool { return !c.hasTried(p) }); p != nil {
			return p
		}
	}
	c.mayWait = true
	return r.bestInOtherRegions(c, s, func(p *peer) bool { return !c.hasTried(p) || slices.Contains(c.busyGuards, p) })
}
