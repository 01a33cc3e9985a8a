package reducer

// Which attempt of a call that may be hedged answered it.
const (
	answeredByFirst = "first"
	answeredByHedge = "hedge"
)

// recordLatency records how long the call's current attempt took to be answered.
func (r *Reducer) recordLatency(c *call, status int) {
	if c.route == nil || r.Settings.HedgeShare <= 0 || !c.route.route.Idempotent || status >= 500 {
		return
	}
	c.route.state.hedging.latencies.Add(r.now.Sub(c.attempt.started), r.now)
}

// holdAnswer reports whether the answer of the call's current attempt is kept back because it is an
// error and the other attempt may still bring a better one. If both are errors, the first one
// becomes the call's answer.
func (r *Reducer) holdAnswer(c *call) bool {
	if c.status < 500 {
		return false
	}
	if c.other != nil {
		r.endAttempt(c)
		c.held = c.attempt
		c.heldStatus = c.status
		c.attempt = c.other
		c.other = nil
		return true
	}
	if c.held != nil {
		r.endAttempt(c)
		c.attempt = c.held
		c.status = c.heldStatus
	}
	return false
}

// relayHeld passes on the answer that was kept back, and reports whether there was one. The other
// attempt has ended or is canceled.
func (r *Reducer) relayHeld(c *call) bool {
	if c.held == nil || c.answered {
		return false
	}
	if !c.attempt.ended {
		c.other = c.attempt
	}
	c.attempt = c.held
	c.status = c.heldStatus
	r.relay(c)
	return true
}

// continueWithOther continues a hedged call whose current attempt ended without an answer. It reports
// whether an attempt or an answer is left, so that the call is neither retried nor rejected.
func (r *Reducer) continueWithOther(c *call, reason RefusalReason) bool {
	if c.held != nil {
		return r.relayHeld(c)
	}
	if c.other == nil {
		return false
	}
	switch reason {
	case "":
		c.sends++
		c.mayHaveRun = true
	case RefusalShed:
		c.sends++
	case RefusalQuarantined:
		c.quarantined = true
	case RefusalBusy:
		c.busyGuards = append(c.busyGuards, c.attempt.peer)
	default:
	}
	c.attempt = c.other
	c.other = nil
	return true
}

// cancelOther cancels the attempt that lost against the call's current one and frees its slot.
func (r *Reducer) cancelOther(c *call) {
	if c.other == nil {
		return
	}
	r.emit(CancelAttempt{Call: c.id, Attempt: c.other.id})
	r.endOther(c)
}

// endOther removes the call's other attempt from its peer's attempts in flight.
func (r *Reducer) endOther(c *call) {
	if c.other == nil {
		return
	}
	c.other.end()
	c.other = nil
}

// noteHedgeEnded reports which attempt answered a hedged call.
func (r *Reducer) noteHedgeEnded(c *call) {
	if c.hedged {
		r.noteCallDecision(DecisionHedgeEnded, c, Decision{Reason: "won-by-" + c.answeredBy(), Status: c.status})
	}
}

// answeredBy returns which attempt answers the call, or an empty string if it was never to be hedged.
func (c *call) answeredBy() string {
	switch {
	case !c.hedgeable:
		return ""
	case c.attempt.hedge:
		return answeredByHedge
	default:
		return answeredByFirst
	}
}

// canceledInTime reports whether an attempt that its requester canceled, as the loser of a hedged call,
// says nothing about the upstream: it had not taken longer than expected, or the upstream answered
// others meanwhile. A mute upstream fails both tests. Without hedging, cancellations count as failures.
func (r *Reducer) canceledInTime(w *work, e WorkEnded) bool {
	if r.Settings.HedgeShare <= 0 || !e.RequesterLeft {
		return false
	}
	g := &r.guard
	return r.now.Sub(w.started) < g.admission.expected(w, r.now) || g.answeredAt.After(w.started)
}
