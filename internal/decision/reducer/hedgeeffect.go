package reducer

import "time"

// The event and the effects of hedged calls, beside SendAttempt.
type (
	// HedgeDue reports that an attempt is still unanswered at the time that SendAttempt or
	// PostponeHedge named.
	HedgeDue struct {
		Call    CallID
		Attempt AttemptID
	}

	// PostponeHedge asks for another HedgeDue at a later time.
	PostponeHedge struct {
		Call    CallID
		Attempt AttemptID
		Until   time.Time
	}

	// CancelAttempt cancels one of the call's two attempts, whose result is no longer wanted.
	CancelAttempt struct {
		Call    CallID
		Attempt AttemptID
	}
)

func (HedgeDue) event()       {}
func (PostponeHedge) effect() {}
func (CancelAttempt) effect() {}

// ForCall returns the ID of the call whose handler executes the effect.
func (e PostponeHedge) ForCall() CallID { return e.Call }

// ForCall returns the ID of the call whose handler executes the effect.
func (e CancelAttempt) ForCall() CallID { return e.Call }
