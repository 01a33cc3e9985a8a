package tenant

import (
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// Two lists without a common region must allow no region: an empty intersection that counted as
// "no list" would send the data of a restricted tenant anywhere.
func TestListsWithoutCommonRegionAllowNone(t *testing.T) {
	c := qt.New(t)
	none := AllowedRegions([]string{"eu"}, []string{"us"})
	for _, region := range []string{"eu", "us", "", "asia"} {
		c.Assert(none.Allows(region), qt.IsFalse)
	}
	c.Assert(AllowedRegions(nil, nil).Allows("eu"), qt.IsTrue)
	c.Assert(AllowedRegions(nil, nil).Limited(), qt.IsFalse)
}

// A region is allowed exactly if neither list leaves it out.
func TestRegionIsAllowedIfNeitherListLeavesItOut(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lists := rapid.SliceOfN(rapid.SampledFrom([]string{"a", "b", "c"}), 0, 3)
		route, tenant := lists.Draw(t, "route"), lists.Draw(t, "tenant")
		region := rapid.SampledFrom([]string{"a", "b", "c", "d", ""}).Draw(t, "region")
		want := (len(route) == 0 || slices.Contains(route, region)) && (len(tenant) == 0 || slices.Contains(tenant, region))
		if AllowedRegions(route, tenant).Allows(region) != want {
			t.Fatalf("route %v, tenant %v: %q allowed = %v", route, tenant, region, !want)
		}
	})
}
