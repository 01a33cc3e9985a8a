package planlint

import (
	"testing"

	"github.com/tanagerline/tanagerline/internal/decision/reducer"
)

// A route behind one of the same host, in any case, and prefix gets no request; one with a longer
// prefix or another host does.
func TestHiddenRoutes(t *testing.T) {
	add := func(host, prefix string) func(*reducer.PlanSpec) {
		return func(s *reducer.PlanSpec) {
			route := s.Routes[0]
			route.Name, route.Host, route.Prefix = "late", host, prefix
			s.Routes = append(s.Routes, route)
		}
	}
	checkFaults(t, map[string]faultTest{
		"hidden":        {add("A.Example", "/look/"), []string{`warning: routes "late", prefix: .* route "look" before it .*`}},
		"longer prefix": {add("a.example", "/look/up/"), nil},
		"other host":    {add("b.example", "/look/"), nil},
	})
}
