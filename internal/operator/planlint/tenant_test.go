package planlint

import (
	"testing"

	"github.com/tanagerline/tanagerline/internal/decision/reducer"
)

// Tenants that can't be served, or that are served as another tenant, must be found. The patterns on
// keys give the whole text, so that a digest in it fails the test.
func TestTenantFaults(t *testing.T) {
	tenant := func(change func(*reducer.Tenant)) func(*reducer.PlanSpec) {
		return func(s *reducer.PlanSpec) { change(&s.Tenants[0]) }
	}
	checkFaults(t, map[string]faultTest{
		"no keys":            {tenant(func(t *reducer.Tenant) { t.KeyDigests = nil }), []string{`warning: tenants "press", key_digests: .* no access key.*`}},
		"burst below one":    {tenant(func(t *reducer.Tenant) { t.Burst = 0.5 }), []string{`warning: .* burst: 0.5 is below one request .*`}},
		"burst without rate": {tenant(func(t *reducer.Tenant) { t.RatePerSecond = 0 }), []string{`warning: .* rate_per_second: a rate of zero sets no limit.*`}},
		"negative": {tenant(func(t *reducer.Tenant) { t.Priority, t.RatePerSecond, t.Burst = -1, -1, -1 }), []string{
			`error: .* priority: .*`, `error: .* rate_per_second: .*`, `error: .* burst: .*`,
		}},
		"no common region": {tenant(func(t *reducer.Tenant) { t.Regions = []string{"south"} }), []string{
			`warning: tenants "press", regions: no region is allowed for both the tenant and 1 routes \(look\).*`,
		}},
		"key twice": {tenant(func(t *reducer.Tenant) { t.KeyDigests = []string{"d1", "d1"} }), []string{
			`warning: tenants "press", key_digests: 1 access keys are listed more than once; remove the repetitions`,
		}},
		"key of two": {func(s *reducer.PlanSpec) {
			s.Tenants = append(s.Tenants, reducer.Tenant{Name: "radio", KeyDigests: []string{"d2", "d1"}})
		}, []string{
			`error: tenants "radio", key_digests: tenant "press" holds 1 of the same access keys and gets their requests; give each tenant keys of its own`,
		}},
	})
}
