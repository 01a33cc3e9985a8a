package reducer

import (
	"slices"
	"time"
)

const (
	// warmupQueryLimit is how long the guard tries to learn how long its upstream stays cold.
	warmupQueryLimit = 2 * time.Second
	// firstWarmupRetry and maxWarmupRetry bound the time between two of these queries, which doubles.
	firstWarmupRetry = 50 * time.Millisecond
	maxWarmupRetry   = 400 * time.Millisecond
)

// WarmupUnknown stands for the time of an upstream that doesn't say how long it stays cold.
const WarmupUnknown time.Duration = -1

// QueryWarmup is the effect that asks the health endpoint at HealthPath how long the upstream stays
// cold.
type QueryWarmup struct {
	// Query numbers the query.
	Query                uint64
	Upstream, HealthPath string
}

func (QueryWarmup) effect() {}

// WarmupAnswered is the event that reports the end of QueryWarmup.
type WarmupAnswered struct {
	// Query is the query's number.
	Query uint64
	// Remaining is how long the upstream says it stays cold, or WarmupUnknown.
	Remaining time.Duration
}

func (WarmupAnswered) event() {}

// warmupQuery is the state of the query how long the upstream stays cold.
type warmupQuery struct {
	// number identifies the query, so that answers to an earlier one are ignored.
	number  uint64
	pending bool
	// closes is set if the guard admits no work until the query ends.
	closes   bool
	inFlight bool
	// due is when the health endpoint is asked next, and retry the time between two tries.
	due   time.Time
	retry time.Duration
	// giveUp is when the usual time is assumed for want of an answer.
	giveUp time.Time
}

// warmupTime returns the time that the plan gives for a start of the upstream, or zero.
func (r *Reducer) warmupTime() time.Duration {
	if s := r.planInForceIndex[r.guard.service]; s != nil {
		return s.plan.Warmup
	}
	return 0
}

// applyWarmupRate applies the plan's rate for cold upstreams of the guard's service.
func (r *Reducer) applyWarmupRate() {
	g := &r.guard
	rate := 0.0
	if s := r.planInForceIndex[g.service]; s != nil {
		rate = s.plan.WarmupRate
	}
	g.cold.SetRate(rate, g.running, r.now)
	r.checkWarmup()
}

// recordWarmup applies what the upstream's announcement says of its warm-up. first is set for the first
// announcement to this process, which may be out of date, and newRun if the run is another one than
// before.
func (r *Reducer) recordWarmup(remaining time.Duration, first, newRun bool) {
	g := &r.guard
	if newRun {
		g.cold.Forget()
	}
	switch {
	case remaining >= 0:
		g.cold.State(remaining, g.running, r.now)
		g.coldnessKnown = g.coldnessKnown || !first
	case newRun:
		g.coldnessKnown = false
		if g.warmupQuery.pending {
			// The former run may be the one that answers the query in flight.
			g.cold.Assume(r.warmupTime(), g.running, r.now)
			r.beginWarmupQuery(g.warmupQuery.closes)
		}
	}
	// An announcement may have been sent before the end of an evacuation, which makes the upstream
	// cold, so one without a cold time does not answer the query then.
	if q := &g.warmupQuery; q.pending && g.coldnessKnown && (remaining > 0 || (remaining == 0 && !q.closes)) {
		r.endWarmupQuery("answered")
	}
	r.applyWarmupRate()
}

// checkWarmup queries the health endpoint if the plan bounds cold upstreams and this one's state
// is unknown, and applies a changed bound.
func (r *Reducer) checkWarmup() {
	g := &r.guard
	switch {
	case !g.cold.Bounded():
		g.warmupQuery = warmupQuery{number: g.warmupQuery.number}
	case g.upstream != "" && !g.coldnessKnown && !g.evacuated && !g.warmupQuery.pending:
		g.cold.Assume(r.warmupTime(), g.running, r.now)
		r.beginWarmupQuery(false)
	}
	r.refuseBeyondColdBound()
	r.noteColdness()
}

// beginWarmupQuery begins to ask the health endpoint how long the upstream stays cold. If closes is set,
// the guard admits no work before the query ends.
func (r *Reducer) beginWarmupQuery(closes bool) {
	r.guard.warmupQuery = warmupQuery{
		number: r.nextSequence(), pending: true, closes: closes, due: r.now, retry: firstWarmupRetry, giveUp: r.now.Add(warmupQueryLimit),
	}
	r.queryWarmup()
}

// queryWarmup asks the health endpoint if a query is due, or gives up.
func (r *Reducer) queryWarmup() {
	g := &r.guard
	q := &g.warmupQuery
	switch {
	case !q.pending:
	case !r.now.Before(q.giveUp):
		g.coldnessKnown = true
		g.cold.Assume(r.warmupTime(), g.running, r.now)
		r.endWarmupQuery("no-answer")
	case !q.inFlight && !r.now.Before(q.due):
		q.inFlight = true
		g.cold.Take(r.now)
		r.emit(QueryWarmup{Query: q.number, Upstream: g.upstream, HealthPath: r.HealthPath(g.service)})
	}
}

// warmupAnswered applies the health endpoint's answer, or schedules the next try.
func (r *Reducer) warmupAnswered(e WarmupAnswered) {
	g := &r.guard
	q := &g.warmupQuery
	if e.Query != q.number {
		return
	}
	q.inFlight = false
	if e.Remaining < 0 {
		q.due = r.now.Add(q.retry)
		q.retry = min(2*q.retry, maxWarmupRetry)
		return
	}
	g.coldnessKnown = true
	g.cold.State(e.Remaining, g.running, r.now)
	if q.pending {
		r.endWarmupQuery("answered")
	}
	r.refuseBeyondColdBound()
	r.noteColdness()
	r.startWork()
}

// endWarmupQuery ends the query and reports it to operators.
func (r *Reducer) endWarmupQuery(reason string) {
	g := &r.guard
	g.warmupQuery.pending = false
	g.warmupQuery.closes = false
	r.noteDecision(Decision{
		Kind: DecisionWarmupQueried, Service: g.service, Peer: g.upstream, Instance: g.run.instance, Reason: reason,
		Plan: r.planInForce.offset, Expected: g.cold.Remaining(r.now),
	})
}

// noteColdness reports to operators and entries that the bound for cold upstreams began or ceased to
// apply.
func (r *Reducer) noteColdness() {
	g := &r.guard
	cold := g.cold.Binds(r.now)
	if cold == g.coldNoted {
		return
	}
	g.coldNoted = cold
	kind := DecisionUpstreamWarm
	if cold {
		kind = DecisionUpstreamCold
	}
	r.noteDecision(Decision{
		Kind: kind, Service: g.service, Peer: g.upstream, Instance: g.run.instance, Plan: r.planInForce.offset,
		Load: float64(g.running + g.queued()), Expected: g.cold.Remaining(r.now),
	})
	r.reportSoon()
}

// tooLateWhileCold reports whether an attempt would miss its deadline behind those that wait because
// the upstream is cold.
func (r *Reducer) tooLateWhileCold(w *work) bool {
	g := &r.guard
	wait := g.cold.Wait(g.queued()+1, r.now)
	return wait > 0 && r.now.Add(wait+r.expectedService(w)+returnAllowance).After(w.deadline)
}

// expectedService estimates the service time of an attempt with or without an objective.
func (r *Reducer) expectedService(w *work) time.Duration {
	if w.objective.IsZero() {
		return r.guard.expectedTime(w.length)
	}
	return r.guard.admission.expected(w, r.now)
}

// refuseBeyondColdBound refuses the queued attempts that the bound for cold upstreams lets start too
// late, so that their entries can retry them elsewhere: an attempt that was queued as timely
// must start in time for its objective, any other for its deadline.
func (r *Reducer) refuseBeyondColdBound() {
	g := &r.guard
	if !g.cold.Binds(r.now) {
		return
	}
	kept := 0
	keep := func(w *work, limit time.Time) {
		if r.now.Add(g.cold.Wait(kept+1, r.now) + r.expectedService(w) + returnAllowance).After(limit) {
			r.dropQueued(w, RefusalBusy)
			return
		}
		kept++
	}
	for _, w := range slices.Clone(g.admission.inTime) {
		keep(w, w.objective)
	}
	for _, w := range slices.Concat(g.admission.late, g.short.works, g.long.works) {
		keep(w, w.deadline)
	}
}
