package hedging

import "time"

// Withheld is the reason why a call is not hedged, or empty if it may be.
type Withheld string

// The reasons to withhold a hedge.
const (
	// WithheldAttempts means that the route allows no further attempt.
	WithheldAttempts Withheld = "attempts"
	// WithheldQuarantined means that the request crashed upstreams.
	WithheldQuarantined Withheld = "quarantined"
	// WithheldTime means that a hedge could not be answered before the deadline.
	WithheldTime Withheld = "time"
	// WithheldCapacity means that the service is short of capacity.
	WithheldCapacity Withheld = "capacity"
	// WithheldNoUpstream means that no other upstream that may serve the call has a free slot.
	WithheldNoUpstream Withheld = "no-free-upstream"
	// WithheldShare means that the operator's limit for the route is used up.
	WithheldShare Withheld = "share"
	// WithheldBudget means that the part of the retry budget that is meant for hedges is used up.
	WithheldBudget Withheld = "retry-budget"
)

// Passes reports whether the reason may cease to apply while the call is in flight.
func (w Withheld) Passes() bool {
	return w != WithheldAttempts && w != WithheldTime && w != WithheldQuarantined
}

const (
	// minFreeShare is the share of a service's usable slots that must be free for a hedge. Load
	// reports are some tens of milliseconds old, and other entries see the same free slots.
	minFreeShare = 0.2
	// maxBudgetShare is the share of the retry budget up to which hedges draw from it. The rest is kept
	// for retries, without which a call fails.
	maxBudgetShare = 0.5
)

// Situation is what a hedge depends on.
type Situation struct {
	// Arrivals is the number of attempts of the call that may have reached an upstream, and
	// MaxArrivals the number that its route allows.
	Arrivals, MaxArrivals int
	// Quarantined means that the request crashed upstreams.
	Quarantined bool
	// Remaining is the time left until the deadline, and Expected the time until the hedge is
	// answered.
	Remaining, Expected time.Duration
	// Short means that calls for the service were rejected or queued a moment ago.
	Short bool
	// FreeSlots and UsableSlots are those of the service in the entry's region.
	FreeSlots, UsableSlots float64
	// Target means that an upstream with a free slot may serve the call.
	Target bool
	// BudgetSpent and BudgetAllowed are the arrivals beyond each request's first that the entry has
	// caused in the budget's window, and those that it may cause.
	BudgetSpent, BudgetAllowed float64
}

// Judge returns why the limit of the call's route or the situation forbids to hedge it now.
func (l *Limit) Judge(s Situation) Withheld {
	switch {
	case s.Arrivals >= s.MaxArrivals:
		return WithheldAttempts
	case s.Quarantined:
		return WithheldQuarantined
	case s.Expected >= s.Remaining:
		return WithheldTime
	case s.Short || s.FreeSlots < minFreeShare*s.UsableSlots:
		return WithheldCapacity
	case !s.Target:
		return WithheldNoUpstream
	case !l.allows():
		return WithheldShare
	case s.BudgetSpent+1 > maxBudgetShare*s.BudgetAllowed:
		return WithheldBudget
	default:
		return ""
	}
}
