package reducer

// retryNotRun tries another upstream for a call whose attempt did not run.
func (r *Reducer) retryNotRun(c *call, reason RefusalReason, bodySpent bool) {
	again := !bodySpent && (r.mayMoveOn(c, reason) || r.mayRetry(c))
	if !again {
		r.rejectNotRun(c, problemAfterRefusal(reason))
		return
	}
	if c.memory != nil && r.moved(c) {
		r.closeKey(c, keyFree)
		r.routeKeyed(c)
		return
	}
	r.dispatch(c)
}

func problemAfterRefusal(reason RefusalReason) ProblemKind {
	switch reason {
	case RefusalDeadline:
		return ProblemDeadline
	case RefusalNoUpstream, RefusalUnreachable, RefusalRestarted, RefusalLeaving:
		return ProblemNoUpstream
	default:
		return ProblemOverloaded
	}
}

// maxMoves bounds how many absent upstreams one call passes over.
const maxMoves = 8

// mayMoveOn reports whether a call may pass over an upstream that is leaving or
// gone without spending a retry: choices avoid that upstream from now on, so such
// refusals can't feed on each other.
func (r *Reducer) mayMoveOn(c *call, reason RefusalReason) bool {
	switch reason {
	case RefusalLeaving, RefusalNoUpstream, RefusalRestarted, RefusalUnreachable:
	default:
		return false
	}
	return !c.callerLeft && r.now.Before(c.deadline) && len(c.tried) < maxMoves
}

// mayRetry spends one retry of the call, the chain and the entry.
func (r *Reducer) mayRetry(c *call) bool {
	if c.callerLeft || c.retriesLeft <= 0 || !r.now.Before(c.deadline) {
		return false
	}
	if !r.retries.spend(1) {
		r.counts.RetriesDenied++
		return false
	}
	c.retriesLeft--
	r.counts.Retries++
	return true
}
