package planlint

import (
	"testing"

	"github.com/tanagerline/tanagerline/internal/decision/reducer"
)

// Limits that end requests against their meaning must be found.
func TestLimitsFaults(t *testing.T) {
	checkFaults(t, map[string]faultTest{
		"header above idle": {func(s *reducer.PlanSpec) { s.Limits.HeaderTimeout++ }, []string{`warning: limits, header_timeout: .* above the idle timeout 1s.*`}},
		"negative": {func(s *reducer.PlanSpec) {
			s.Limits = reducer.CallerLimits{BodyBytes: -1, HeaderBytes: -1, HeaderTimeout: -1, IdleTimeout: -1}
		}, []string{`error: .* body_bytes: .*`, `error: .* header_bytes: .*`, `error: .* header_timeout: .*`, `error: .* idle_timeout: .*`}},
	})
}
