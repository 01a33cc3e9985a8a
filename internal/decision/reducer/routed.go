package reducer

import "time"

const (
	// maxTries bounds the guards that a routed call asks before it is refused: each
	// takes a round trip of milliseconds, far less than a caller loses by coming back.
	maxTries = 5
	// returnLeast and returnMost bound how soon a refused caller is asked to return.
	returnLeast = 40 * time.Millisecond
	returnMost  = 150 * time.Millisecond
	// returnShare is the part of the time left after which callers come back anyway:
	// one in so many.
	returnShare = 3
)

// routedCallArrived begins a call whose policy a route of the plan decides.
func (r *Reducer) routedCallArrived(c *call, e CallArrived) {
	c.deadline = e.Deadline
	if problem := r.resolveRoute(c, e); problem != "" {
		r.reject(c, OutcomeNotRun, problem)
		return
	}
	c.keyed = !c.route.route.Idempotent
	r.earnRetry(c.service)
	if r.suspects.quarantined(c.fingerprint) {
		r.reject(c, OutcomeNotRun, ProblemQuarantined)
		return
	}
	r.dispatch(c)
}

// pick chooses the upstream for the call's next attempt, or nil.
func (r *Reducer) pick(c *call) *peer {
	if c.route != nil {
		return r.place(c)
	}
	return r.choose(c)
}

// retryRouted goes on with a routed call whose attempt did not run. Guards that turn
// a call away cost the upstreams nothing; upstreams that do draw on the budget.
func (r *Reducer) retryRouted(c *call, reason RefusalReason, bodySpent bool) {
	if reason == RefusalBusy {
		c.busy = append(c.busy, c.attempt.peer)
	}
	again := !bodySpent && !c.callerLeft && r.now.Before(c.deadline)
	switch reason {
	case RefusalShed:
		c.sends++
		again = again && r.maySendAgain(c)
	case RefusalLeaving, RefusalNoUpstream, RefusalRestarted, RefusalUnreachable:
		again = again && len(c.tried) < maxMoves
	case RefusalQuarantined:
		again = false
	default:
		again = again && !c.final
	}
	if !again {
		r.rejectNotRun(c, problemAfterRefusal(reason))
		return
	}
	r.dispatch(c)
}

// maySendAgain reports whether a call may be sent to one more upstream.
func (r *Reducer) maySendAgain(c *call) bool {
	return c.sends < max(1, c.route.route.MaxAttempts) && r.spendRetry(c)
}

// routedLost goes on with a routed call whose attempt has no answer.
func (r *Reducer) routedLost(c *call, e AttemptLost) {
	c.sends++
	switch {
	case c.keyed && !e.Dispatched:
		r.settle(c, c.attempt.started)
	case c.keyed:
		r.rejectDoubtful(c)
	case c.callerLeft || e.BodySpent || !r.now.Before(c.deadline) || r.suspects.quarantined(c.fingerprint):
		r.reject(c, OutcomeUnknown, r.problemAfterLoss(c))
	case !r.maySendAgain(c):
		r.reject(c, OutcomeUnknown, r.problemAfterLoss(c))
	default:
		c.mayHaveRun = true
		r.dispatch(c)
	}
}

// returnAt is when the caller of a refused call may best send it again, or zero. The
// returns of a crest are spread, so that they don't make the next one.
func (r *Reducer) returnAt(c *call, outcome Outcome, problem ProblemKind) time.Time {
	if outcome != OutcomeNotRun || c.route == nil {
		return time.Time{}
	}
	switch problem {
	case ProblemOverloaded, ProblemNoUpstream, ProblemDeadline:
	default:
		return time.Time{}
	}
	most := min(returnMost, c.deadline.Sub(r.now)/returnShare)
	if most <= returnLeast {
		return time.Time{}
	}
	return r.now.Add(returnLeast + r.jitter(most-returnLeast))
}
