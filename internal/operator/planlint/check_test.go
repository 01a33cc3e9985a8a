package planlint

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/tanagerline/tanagerline/internal/decision/reducer"
)

// soundPlan returns a plan without findings.
func soundPlan() reducer.PlanSpec {
	return reducer.PlanSpec{
		Routes: []reducer.Route{{
			Name: "look", Host: "a.example", Prefix: "/look/", Timeout: time.Second, Objective: time.Second,
			Services: []reducer.RouteService{{Service: "desk", Weight: 1}}, MaxAttempts: 1, Regions: []string{"north"},
		}},
		Services: []reducer.ServicePlan{{Name: "desk"}},
		Tenants: []reducer.Tenant{{
			Name: "press", KeyDigests: []string{"d1"}, RatePerSecond: 1, Burst: 1, Regions: []string{"south", "north"},
		}},
		Limits: reducer.CallerLimits{HeaderTimeout: time.Second, IdleTimeout: time.Second},
	}
}

// faultTest changes a sound plan and lists the findings that this must cause, without others.
type faultTest struct {
	change func(*reducer.PlanSpec)
	want   []string
}

func checkFaults(t *testing.T, tests map[string]faultTest) {
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			spec := soundPlan()
			test.change(&spec)
			found := Check(spec)
			lines := make([]string, len(found))
			for i, f := range found {
				lines[i] = f.String()
			}
			c := qt.New(t)
			c.Assert(lines, qt.HasLen, len(test.want), qt.Commentf("%q", lines))
			for i, want := range test.want {
				c.Check(lines[i], qt.Matches, want)
			}
		})
	}
}

// Operators stop reading a check that reports what is right, also at the edges of the ranges.
func TestSoundPlanHasNoFindings(t *testing.T) {
	checkFaults(t, map[string]faultTest{
		"as it is": {change: func(*reducer.PlanSpec) {}},
		"empty":    {change: func(s *reducer.PlanSpec) { *s = reducer.PlanSpec{} }},
		"no idle timeout": {change: func(s *reducer.PlanSpec) {
			s.Limits.IdleTimeout = 0
		}},
		"no quota, any region, no objective": {change: func(s *reducer.PlanSpec) {
			s.Tenants[0].RatePerSecond, s.Tenants[0].Burst, s.Tenants[0].Regions = 0, 0, nil
			s.Routes[0].Objective = 0
		}},
	})
}
