package reducer

// attemptAnswered relays the answer of the call's current attempt to the caller and updates
// the peer's measurements.
func (r *Reducer) attemptAnswered(e AttemptAnswered) {
	c := r.callInFlight(e.Call, e.Attempt)
	if c == nil || c.answered {
		return
	}
	a := c.attempt
	c.status = e.Status
	if !a.replay {
		r.recordLatency(c, e.Status)
		failed := e.Status >= 500
		a.peer.recordReport(e.Load, r.now, r.Settings.ReportPeriod)
		a.peer.recordAnswer(r.now, a.length, r.now.Sub(a.started)-e.Load.waited, failed, r.medianServiceTime(c.service))
	}
	r.askForPlan(a.peer, e.Load.planOffset)
	r.trace.add(r.now, c, a.peer, TraceAnswered)
	if !r.holdAnswer(c) {
		r.relay(c)
	}
}

// relay passes the answer of the call's current attempt on to the caller.
func (r *Reducer) relay(c *call) {
	a := c.attempt
	c.answered = true
	r.cancelOther(c)
	r.noteCallDecision(DecisionCallAnswered, c, Decision{Status: c.status, AnsweredBy: c.answeredBy()})
	r.noteHedgeEnded(c)
	r.emit(RelayAnswer{Call: c.id, Attempt: a.id, Key: c.key, Target: a.target})
}

// attemptRefused retries or rejects a call whose attempt a guard refused, and updates the
// peer.
func (r *Reducer) attemptRefused(e AttemptRefused) {
	c := r.callInFlight(e.Call, e.Attempt)
	if c == nil {
		return
	}
	a := c.attempt
	r.endAttempt(c)
	r.trace.addRefusal(r.now, c, a.peer, e.Reason)
	r.noteCallDecision(DecisionAttemptRefused, c, Decision{Reason: string(e.Reason), Load: float64(e.Load.short), BodySpent: e.BodySpent})
	if a.replay {
		r.reject(c, OutcomeUnknown, ProblemAnswerNotKept)
		return
	}
	r.updatePeerAfterRefusal(a.peer, e)
	c.refusedBusy = c.refusedBusy || e.Reason == RefusalBusy
	if e.Reason == RefusalShed {
		r.noteShortCapacity(c)
	}
	if r.continueWithOther(c, e.Reason) {
		return
	}
	if e.Reason == RefusalQuarantined {
		r.rejectNotRun(c, ProblemQuarantined)
		return
	}
	if c.route != nil {
		r.retryRouted(c, e.Reason, e.BodySpent)
		return
	}
	r.retryUnroutedCall(c, e.Reason, e.BodySpent)
}

// updatePeerAfterRefusal applies the load report in a refusal and keeps later choices away from an
// upstream that can't take work.
func (r *Reducer) updatePeerAfterRefusal(p *peer, e AttemptRefused) {
	if !e.Load.IsZero() {
		p.recordReport(e.Load, r.now, r.Settings.ReportPeriod)
	}
	switch e.Reason {
	case RefusalLeaving, RefusalEvacuated, RefusalNoUpstream, RefusalRestarted:
		p.avoid(r.now)
	case RefusalUnreachable:
		p.unreachable(r.now)
	default:
	}
}

// attemptLost handles an attempt without an answer. One that was never sent counts as
// refused; otherwise the call is settled, retried or rejected with an unknown outcome.
func (r *Reducer) attemptLost(e AttemptLost) {
	c := r.callInFlight(e.Call, e.Attempt)
	if c == nil {
		return
	}
	a := c.attempt
	if !e.Sent {
		r.attemptRefused(AttemptRefused{
			Call: e.Call, Attempt: e.Attempt, Reason: RefusalUnreachable, BodySpent: e.BodySpent,
		})
		return
	}
	r.endAttempt(c)
	r.addSuspect(c.fingerprint, e.Crash)
	r.trace.add(r.now, c, a.peer, TraceLost)
	r.noteCallDecision(DecisionAttemptLost, c, Decision{Reason: lostReason(e), BodySpent: e.BodySpent})
	if !a.replay && !c.callerLeft {
		// An attempt that the deadline cut off is not a failure of the upstream.
		failed := r.now.Before(c.deadline)
		a.peer.recordAnswer(r.now, a.length, r.now.Sub(a.started), failed, r.medianServiceTime(c.service))
	}
	if r.continueWithOther(c, "") {
		return
	}
	switch {
	case a.replay:
		r.reject(c, OutcomeUnknown, ProblemAnswerLost)
	case c.route != nil:
		r.routedAttemptLost(c, e)
	case c.keyed && !e.Dispatched:
		r.settle(c, a.started)
	case c.keyed:
		r.rejectDoubtful(c)
	case e.BodySpent || !r.takeRetry(c):
		r.reject(c, OutcomeUnknown, r.problemAfterLoss(c))
	case r.suspects.quarantined(c.fingerprint):
		r.reject(c, OutcomeUnknown, ProblemQuarantined)
	default:
		c.mayHaveRun = true
		r.dispatch(c)
	}
}

// lostReason returns the reason that is logged for an attempt without an answer: the
// upstream had begun it, or the guard never replied.
func lostReason(e AttemptLost) string {
	if e.Dispatched {
		return "no-whole-answer-from-upstream"
	}
	return "no-answer-from-guard"
}

// problemAfterLoss returns the problem of a call whose attempt may have run.
func (r *Reducer) problemAfterLoss(c *call) ProblemKind {
	if !r.now.Before(c.deadline) {
		return ProblemDeadline
	}
	return ProblemAnswerLost
}

// attemptSettled continues a call once the guard has reported what became of its lost
// attempt: it retries an attempt that did not run and fetches the answer of one that did.
func (r *Reducer) attemptSettled(e AttemptSettled) {
	c := r.callInFlight(e.Call, e.Attempt)
	if c == nil {
		return
	}
	c.settling = false
	r.trace.addSettled(r.now, c, c.attempt.peer, e.Outcome)
	r.noteCallDecision(DecisionAttemptSettled, c, Decision{Reason: string(e.Outcome), BodySpent: e.BodySpent})
	switch e.Outcome {
	case OutcomeNotRun:
		if c.route != nil {
			r.retryRouted(c, RefusalSettled, e.BodySpent)
			return
		}
		if c.heldKey == nil {
			r.settledNotRun(c)
			return
		}
		r.retryUnroutedCall(c, RefusalSettled, e.BodySpent)
	case OutcomeRan, OutcomeRunning:
		r.replay(c)
	default:
		r.rejectDoubtful(c)
	}
}

// answerEnded counts the call and stores its key's state once the answer has been relayed,
// whole or not.
func (r *Reducer) answerEnded(e AnswerEnded) {
	c := r.callInFlight(e.Call, e.Attempt)
	if c == nil {
		return
	}
	a := c.attempt
	r.endAttempt(c)
	if a.peer != nil && a.peer.tier == tierOtherRegion {
		r.crossRegionBudget.tokens -= float64(e.Bytes)
		r.counts.CrossRegionBytes += uint64(e.Bytes)
	}
	r.countCall(c, e.Whole && c.status < 500 && r.now.Before(c.deadline))
	if c.heldKey != nil {
		r.closeKey(c, keyStateRan)
	}
}
