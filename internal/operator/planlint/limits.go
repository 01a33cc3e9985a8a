package planlint

import "github.com/tanagerline/tanagerline/internal/decision/reducer"

// checkLimits checks the limits on requests from callers; zero leaves a limit to the node's settings.
func checkLimits(limits reducer.CallerLimits) []Finding {
	at := place{kind: TypeLimits}
	found := at.negatives(
		number{fieldBodyBytes, float64(limits.BodyBytes)},
		number{fieldHeaderBytes, float64(limits.HeaderBytes)},
		number{fieldHeaderTimeout, float64(limits.HeaderTimeout)},
		number{fieldIdleTimeout, float64(limits.IdleTimeout)},
	)
	if limits.IdleTimeout > 0 && limits.HeaderTimeout > limits.IdleTimeout {
		found = append(found, at.finding(SeverityWarning, fieldHeaderTimeout,
			"%s is above the idle timeout %s; lower it or raise the other", limits.HeaderTimeout, limits.IdleTimeout))
	}
	return found
}
