package reducer

// retryUnroutedCall sends a call whose attempt did not run to another upstream, or rejects
// it.
func (r *Reducer) retryUnroutedCall(c *call, reason RefusalReason, bodySpent bool) {
	again := !bodySpent && (r.maySkipUpstream(c, reason) || r.takeRetry(c))
	if !again {
		r.rejectNotRun(c, problemAfterRefusal(reason))
		return
	}
	if c.heldKey != nil && r.keyMoved(c) {
		r.closeKey(c, keyStateNotRun)
		r.routeKeyed(c)
		return
	}
	r.dispatch(c)
}

// problemAfterRefusal returns the problem to report when a call is not retried after a
// refusal.
func problemAfterRefusal(reason RefusalReason) ProblemKind {
	switch reason {
	case RefusalDeadline:
		return ProblemDeadline
	case RefusalNoUpstream, RefusalUnreachable, RefusalRestarted, RefusalLeaving, RefusalEvacuated:
		return ProblemNoUpstream
	default:
		return ProblemOverloaded
	}
}

// maxUnavailableTries bounds the upstreams that one call is sent to when each of them is
// leaving or unavailable.
const maxUnavailableTries = 8

// maySkipUpstream reports whether a call may go to another upstream without spending a retry,
// because its upstream is leaving or unavailable. Later choices avoid that upstream, so these
// refusals can't cause a retry storm.
func (r *Reducer) maySkipUpstream(c *call, reason RefusalReason) bool {
	switch reason {
	case RefusalLeaving, RefusalEvacuated, RefusalNoUpstream, RefusalRestarted, RefusalUnreachable:
	default:
		return false
	}
	return !c.callerLeft && r.now.Before(c.deadline) && len(c.tried) < maxUnavailableTries
}

// takeRetry takes one retry from the call's remaining retries, which the whole chain of calls
// shares, and from the entry's retry budget. It reports whether both had one left.
func (r *Reducer) takeRetry(c *call) bool {
	if c.callerLeft || c.retriesLeft <= 0 || !r.now.Before(c.deadline) {
		return false
	}
	if !r.retryTokens.spend(1) {
		r.counts.RetriesDenied++
		return false
	}
	c.retriesLeft--
	r.counts.Retries++
	return true
}
