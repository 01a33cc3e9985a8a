package reducer

// workEnded frees the slot of an attempt, records its outcome and starts queued work.
func (r *Reducer) workEnded(e WorkEnded) {
	g := &r.guard
	w := g.attempts[e.Work]
	if w == nil {
		return
	}
	delete(g.attempts, e.Work)
	if !w.running {
		return
	}
	g.running--
	if w.repeat {
		g.runningRepeats--
	}
	if w.length == LengthLong {
		g.runningLong--
	}
	r.recordUpstreamResult(w, e)
	if e.Outcome == OutcomeRan {
		g.answeredAt = r.now
		if e.Status < 500 && w.objective.IsZero() {
			g.recordServiceTime(w.length, r.now.Sub(w.started))
		}
	}
	r.noteWorkEnded(w, e)
	r.attemptRecords.close(w, e.Outcome, e.Answer)
	r.answerWaitingReplays(w.attempt)
	r.startWork()
}

// workLeft drops an attempt that has not started and whose requester disconnected.
func (r *Reducer) workLeft(e WorkLeft) {
	g := &r.guard
	w := g.attempts[e.Work]
	if w == nil || w.running {
		return
	}
	if w.joinedAttempt != "" {
		delete(g.attempts, w.id)
		r.refuseReplay(w, RefusalDeadline)
		return
	}
	r.dropQueued(w, RefusalDeadline)
}
