package planlint

import (
	"testing"

	"github.com/tanagerline/tanagerline/internal/decision/reducer"
)

// A negative number must not be taken for a bound, and a forgotten service is only a note.
func TestServiceFaults(t *testing.T) {
	checkFaults(t, map[string]faultTest{
		"negative": {func(s *reducer.PlanSpec) {
			s.Services[0].MaxConnections, s.Services[0].Warmup, s.Services[0].WarmupRate = -1, -1, -0.5
		}, []string{`error: services "desk", max_connections: .*`, `error: .* warmup: .*`, `error: .* warmup_rate: .*`}},
		"not routed": {func(s *reducer.PlanSpec) {
			s.Services = append(s.Services, reducer.ServicePlan{Name: "spare"})
		}, []string{`note: services "spare": no route names .*`}},
	})
}
