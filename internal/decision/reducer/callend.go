package reducer

// callerLeft cancels a call whose caller disconnected, unless a resend waits for its answer.
func (r *Reducer) callerLeft(e CallerLeft) {
	c := r.calls[e.Call]
	if c == nil || c.callerLeft {
		return
	}
	c.callerLeft = true
	r.noteCallDecision(DecisionCallerLeft, c, Decision{})
	if c.heldKey != nil && len(c.heldKey.waiting) > 0 {
		// A resend of the same key waits for this run, so the run continues.
		return
	}
	r.emit(CancelCall{Call: c.id})
}

// callExpired rejects a call whose deadline passed before it was answered.
func (r *Reducer) callExpired(e CallExpired) {
	c := r.calls[e.Call]
	if c == nil || c.answered {
		return
	}
	if r.relayHeld(c) {
		return
	}
	r.rejectUnanswered(c, ProblemDeadline)
}

// rejectUnanswered rejects a call that can't wait for an answer any longer.
func (r *Reducer) rejectUnanswered(c *call, problem ProblemKind) {
	inFlight := c.inFlight()
	r.endAttempt(c)
	r.endOther(c)
	switch {
	case c.heldKey != nil:
		r.rejectDoubtful(c)
	case inFlight:
		r.reject(c, OutcomeUnknown, problem)
	default:
		r.reject(c, r.outcomeBeforeHome(c), problem)
	}
}

// callEnded removes a call and releases its key, whether or not it was answered.
func (r *Reducer) callEnded(e CallEnded) {
	c := r.calls[e.Call]
	if c == nil {
		return
	}
	r.endAttempt(c)
	r.endOther(c)
	if c.heldKey != nil {
		if c.answered {
			r.closeKey(c, keyStateRan)
		} else {
			r.closeKey(c, keyStateUnknown)
		}
	}
	r.countCall(c, false)
	delete(r.calls, e.Call)
	delete(r.callsAwaitingTable, e.Call)
	r.forgetQuotaWait(c)
	r.keys.stopWaiting(c)
}

// rejectNotRun rejects a call whose last attempt did not run. The outcome is unknown if
// an earlier attempt may have run.
func (r *Reducer) rejectNotRun(c *call, problem ProblemKind) {
	if c.heldKey != nil {
		r.closeKey(c, keyStateNotRun)
	}
	if c.mayHaveRun {
		r.reject(c, OutcomeUnknown, problem)
		return
	}
	r.reject(c, OutcomeNotRun, problem)
}

// rejectDoubtful rejects a keyed call that may have run.
func (r *Reducer) rejectDoubtful(c *call) {
	if c.heldKey != nil {
		r.closeKey(c, keyStateUnknown)
	}
	r.reject(c, OutcomeUnknown, r.problemAfterLoss(c))
}

// reject answers a call with a problem and counts it, unless it is counted already.
func (r *Reducer) reject(c *call, outcome Outcome, problem ProblemKind) {
	c.answered = true
	r.countCall(c, false)
	r.trace.addRejected(r.now, c, outcome, problem)
	r.noteCallDecision(DecisionCallRejected, c, Decision{Reason: string(problem) + "," + string(outcome)})
	r.emit(RejectCall{Call: c.id, Outcome: outcome, Problem: problem, Key: c.key, ResendAt: r.resendTime(c, outcome, problem)})
}

// countCall counts a call as good or bad, at most once. Calls whose caller left are counted
// apart, and forwarded calls are left out of the error budget's burn rate.
func (r *Reducer) countCall(c *call, good bool) {
	if c.counted {
		return
	}
	c.counted = true
	if c.callerLeft && !good {
		r.counts.CallersLeft++
		return
	}
	if good {
		r.counts.Good++
	} else {
		r.counts.Bad++
	}
	if c.kind != nil && !c.forwarded {
		c.kind.burn.addCall(r.now, good)
	}
}
