package reducer

import "time"

const (
	// maxRoutedTries bounds the upstreams that a routed call tries before it is queued at one. Each
	// try takes a round trip of milliseconds, far less than the caller loses by a resend.
	maxRoutedTries = 5
	// minResendDelay and maxResendDelay bound the delay after which a rejected caller is asked
	// to resend.
	minResendDelay = 40 * time.Millisecond
	maxResendDelay = 150 * time.Millisecond
	// resendDelayDivisor divides the time left until the deadline, which gives an upper bound
	// of the resend delay: by then, callers resend anyway.
	resendDelayDivisor = 3
)

// routedCallArrived starts a call whose service and policy come from a route of the plan.
func (r *Reducer) routedCallArrived(c *call, e CallArrived) {
	c.deadline = e.Deadline
	if problem := r.resolveRoute(c, e); problem != "" {
		r.reject(c, OutcomeNotRun, problem)
		return
	}
	if problem := r.authorize(c, e); problem != "" {
		r.reject(c, OutcomeNotRun, problem)
		return
	}
	if r.outlivesStop(c.deadline) {
		r.reject(c, OutcomeNotRun, ProblemStopping)
		return
	}
	r.resolveObjective(c, e)
	r.resolveRegions(c)
	c.keyed = !c.route.route.Idempotent
	r.prepareHedging(c, e)
	if r.suspects.quarantined(c.fingerprint) {
		r.reject(c, OutcomeNotRun, ProblemQuarantined)
		return
	}
	r.admitByQuota(c)
}

// sendAdmitted sends a routed call for the first time. Only such calls earn retries: one that is rejected
// before, such as a call over its tenant's quota, reaches no upstream.
func (r *Reducer) sendAdmitted(c *call) {
	r.earnRoutedRetry(c.service)
	r.dispatch(c)
}

// pickUpstream returns the upstream for the call's next attempt, or nil.
func (r *Reducer) pickUpstream(c *call) *peer {
	if c.route != nil {
		return r.placeRoutedCall(c)
	}
	return r.chooseUpstream(c)
}

// retryRouted sends a routed call whose attempt did not run to another upstream, or rejects
// it. Refusals by guards don't use the retry budget, because they cost the upstreams nothing;
// a retry after the upstream itself shed the call does.
func (r *Reducer) retryRouted(c *call, reason RefusalReason, bodySpent bool) {
	if reason == RefusalBusy {
		c.busyGuards = append(c.busyGuards, c.attempt.peer)
	}
	again := !bodySpent && !c.callerLeft && !c.quarantined && r.now.Before(c.deadline)
	switch reason {
	case RefusalShed:
		c.sends++
		again = again && r.takeRoutedRetry(c)
	case RefusalLeaving, RefusalEvacuated, RefusalNoUpstream, RefusalRestarted, RefusalUnreachable:
		again = again && len(c.tried) < maxUnavailableTries
	case RefusalQuarantined:
		again = false
	default:
		again = again && !c.mayWait
	}
	if !again {
		r.rejectNotRun(c, problemAfterRefusal(reason))
		return
	}
	r.dispatch(c)
}

// takeRoutedRetry takes a retry from the service's budget if the route allows another attempt,
// and reports whether the call may be sent again.
func (r *Reducer) takeRoutedRetry(c *call) bool {
	return c.sends < max(1, c.route.route.MaxAttempts) && r.spendRoutedRetry(c)
}

// routedAttemptLost settles, rejects or resends a routed call whose attempt was lost after it was
// sent.
func (r *Reducer) routedAttemptLost(c *call, e AttemptLost) {
	c.sends++
	switch {
	case c.keyed && !e.Dispatched:
		r.settle(c, c.attempt.started)
	case c.keyed:
		r.rejectDoubtful(c)
	case c.callerLeft || e.BodySpent || !r.now.Before(c.deadline) || c.quarantined || r.suspects.quarantined(c.fingerprint):
		r.reject(c, OutcomeUnknown, r.problemAfterLoss(c))
	case !r.takeRoutedRetry(c):
		r.reject(c, OutcomeUnknown, r.problemAfterLoss(c))
	default:
		c.mayHaveRun = true
		r.dispatch(c)
	}
}

// resendTime returns the time at which the caller of a rejected call should resend it, or zero.
// The times are jittered, so that the resends of a load peak don't form the next peak.
func (r *Reducer) resendTime(c *call, outcome Outcome, problem ProblemKind) time.Time {
	if outcome != OutcomeNotRun || c.route == nil {
		return time.Time{}
	}
	switch problem {
	case ProblemQuotaExceeded:
		return c.quotaRetryAt
	case ProblemStopping:
		// The node rejects the resend, too, until its next process has started.
		return r.now.Add(c.deadline.Sub(r.now) / resendDelayDivisor)
	case ProblemOverloaded, ProblemNoUpstream, ProblemDeadline:
	default:
		return time.Time{}
	}
	most := min(maxResendDelay, c.deadline.Sub(r.now)/resendDelayDivisor)
	if most <= minResendDelay {
		return time.Time{}
	}
	return r.now.Add(minResendDelay + r.jitter(most-minResendDelay))
}
