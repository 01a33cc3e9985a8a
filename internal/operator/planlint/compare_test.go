package planlint

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/tanagerline/tanagerline/internal/decision/reducer"
)

// Operators must see each change with both values, and keys only as counts.
func TestCompareListsTheDifferences(t *testing.T) {
	c := qt.New(t)
	c.Assert(Compare(soundPlan(), soundPlan()), qt.HasLen, 0)
	changed := soundPlan()
	changed.Routes[0].Services = []reducer.RouteService{{Service: "desk", Weight: 9}, {Service: "spare", Weight: 1}}
	changed.Routes[0].Regions = nil
	changed.Services = []reducer.ServicePlan{{Name: "spare"}}
	changed.Tenants[0].KeyDigests = []string{"d2", "d3", "d2"}
	changed.Limits.BodyBytes = 5
	c.Assert(fmt.Sprint(Compare(soundPlan(), changed)), qt.Equals, `[note: limits, body_bytes: changed from "0" to "5"`+
		` note: routes "look", service: changed from "desk" to "desk 9, spare 1"`+
		` note: routes "look", regions: changed from "north" to "all"`+
		` note: services "desk": removed note: services "spare": added`+
		` note: tenants "press", key_digests: 2 access keys added, 1 removed]`)
}

// Nodes ignore a version that doesn't follow the one in force, so that sending it has no effect.
func TestVersions(t *testing.T) {
	c := qt.New(t)
	c.Assert(CheckVersion(0), qt.HasLen, 1)
	c.Assert(CheckVersion(1), qt.HasLen, 0)
	c.Assert(CompareVersions(4, 4), qt.HasLen, 1)
	c.Assert(CompareVersions(4, 5), qt.HasLen, 0)
}
