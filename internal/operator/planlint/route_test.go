package planlint

import (
	"testing"

	"github.com/tanagerline/tanagerline/internal/decision/reducer"
)

// Routes that reject, never match or wrongly retry requests must be found before they are sent.
func TestRouteFaults(t *testing.T) {
	route := func(change func(*reducer.Route)) func(*reducer.PlanSpec) {
		return func(s *reducer.PlanSpec) { change(&s.Routes[0]) }
	}
	checkFaults(t, map[string]faultTest{
		"host":                {route(func(r *reducer.Route) { r.Host = "" }), []string{`warning: routes "look", host: .* set the host .*`}},
		"prefix's begin":      {route(func(r *reducer.Route) { r.Prefix = "look/" }), []string{`error: .* prefix: "look/" must begin .*`}},
		"prefix's end":        {route(func(r *reducer.Route) { r.Prefix = "/look" }), []string{`error: .* prefix: .*`}},
		"no timeout":          {route(func(r *reducer.Route) { r.Timeout = 0 }), []string{`error: .* timeout: 0s leaves no time .*`}},
		"objective":           {route(func(r *reducer.Route) { r.Objective++ }), []string{`warning: .* objective: 1.000000001s is above the timeout 1s.*`}},
		"negative objective":  {route(func(r *reducer.Route) { r.Objective = -1 }), []string{`error: .* objective: the value is negative.*`}},
		"negative priority":   {route(func(r *reducer.Route) { r.Priority = -1 }), []string{`error: .* priority: the value is negative.*`}},
		"no attempt":          {route(func(r *reducer.Route) { r.MaxAttempts = 0 }), []string{`warning: .* max_attempts: .* counts as 1.*`}},
		"negative attempts":   {route(func(r *reducer.Route) { r.MaxAttempts = -1 }), []string{`error: .* max_attempts: -1 is negative.*`}},
		"weight of zero":      {route(func(r *reducer.Route) { r.Services[0].Weight = 0 }), []string{`error: .* services: all weights are zero.*`}},
		"negative weight":     {route(func(r *reducer.Route) { r.Services[0].Weight = -2 }), []string{`error: .* services: the weight -2 of service "desk".*`}},
		"service not present": {route(func(r *reducer.Route) { r.Services = append(r.Services, reducer.RouteService{Service: "dsk"}) }), []string{`error: .* service: the configuration has no service "dsk".*`}},
		"no service": {route(func(r *reducer.Route) { r.Services[0].Service = "" }), []string{
			`error: .* service: the route names no service.*`, `note: services "desk": no route names .*`,
		}},
	})
}
