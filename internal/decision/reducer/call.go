package reducer

import (
	"slices"
	"time"

	"github.com/tanagerline/tanagerline/internal/decision/tenant"
)

// call is the entry's state of one caller's request.
type call struct {
	id      CallID
	service string
	kind    *indexedKind
	// route is the plan's route of a routed call, or nil.
	route *indexedRoute
	// tenant is the owner of the caller's access key, or nil.
	tenant *Tenant
	// quota is the state of the tenant's quota, or nil without one.
	quota *tenantQuota
	// quotaDeadline is when a call that waits for a token stops to wait for it, and quotaRetryAt
	// when a call over the quota should be sent again.
	quotaDeadline time.Time
	quotaRetryAt  time.Time
	// hideCredentials is set if the request's access key must not leave this entry.
	hideCredentials bool
	// regions holds the regions that may serve the call.
	regions tenant.Regions
	// objective is the time after which an answer loses most of its value, or zero.
	objective time.Time
	requestID string
	// sends counts the attempts that may have reached an upstream.
	sends    int
	key      string
	keyGiven bool
	keyed    bool
	// firstSent is when the caller first sent the request, as it says itself, or zero.
	firstSent time.Time
	arrived   time.Time
	deadline  time.Time
	// retriesLeft counts the retries left to the whole chain of calls.
	retriesLeft int
	// fingerprint identifies the request in the quarantine; zero means none.
	fingerprint uint64
	// forwarded is set if another entry forwarded the call to this node.
	forwarded  bool
	callerLeft bool
	answered   bool
	// mayHaveRun is set once an attempt of an idempotent call was lost: the call can no
	// longer be reported as not run.
	mayHaveRun bool
	// settling is set while a guard is asked for the outcome of the call's lost attempt.
	settling bool
	// refusedBusy is set once a guard refused the call with RefusalBusy.
	refusedBusy bool
	// status is the HTTP status of the answer, or zero.
	status int
	// counted is set once the call is counted as good or bad.
	counted bool
	// tried holds the peers that an attempt was sent to.
	tried []*peer
	// busyGuards holds the guards that refused a routed call with RefusalBusy instead of queueing
	// it. final is set when the current attempt may be queued.
	busyGuards []*peer
	mayWait    bool
	attempt    *attempt
	// hedgeable is set if a second attempt may run beside the first. hedged is set once it was sent,
	// and hedgeWithheld once it was withheld.
	hedgeable     bool
	hedged        bool
	hedgeWithheld bool
	// quarantined is set once a guard refused one of a hedged call's two attempts as quarantined.
	quarantined bool
	// other is the other attempt in flight of a hedged call, or nil. An event about it makes it the
	// current attempt.
	other *attempt
	// held is the attempt of a hedged call whose answer is kept back because it has the status
	// heldStatus, an error, while the other attempt is in flight, or nil.
	held       *attempt
	heldStatus int
	// heldKey is the key's record while this call holds the key open, or nil.
	heldKey *keyRecord
}

// attempt is one try to run a call on an upstream, or to replay its answer.
type attempt struct {
	id      AttemptID
	peer    *peer
	target  NodeID
	length  Length
	started time.Time
	replay  bool
	ended   bool
	// hedge is set for a second attempt that was started beside the first.
	hedge bool
}

// end removes the attempt from its peer's attempts in flight.
func (a *attempt) end() {
	if a.ended || a.replay {
		return
	}
	a.ended = true
	a.peer.attemptEnded(a.length, a.started)
}

// inFlight reports whether an attempt of the call is in flight or being settled.
func (c *call) inFlight() bool {
	return (c.attempt != nil && !c.attempt.ended) || c.other != nil || c.settling
}

func (c *call) hasTried(p *peer) bool { return slices.Contains(c.tried, p) }

// leftRegion reports whether an upstream of another region was tried.
func (c *call) leftRegion() bool {
	return slices.ContainsFunc(c.tried, func(p *peer) bool { return p.tier == tierOtherRegion })
}

// callArrived registers a call, applies the plan and routes it.
func (r *Reducer) callArrived(e CallArrived) {
	r.counts.Calls++
	r.lastArrival = r.now
	c := &call{
		id: e.Call, service: e.Service, key: e.Key, keyGiven: e.Key != "", firstSent: e.FirstSent,
		arrived: r.now, deadline: e.Deadline, retriesLeft: r.Settings.MaxRetries,
		fingerprint: e.Fingerprint, forwarded: e.Forwarded, requestID: e.RequestID,
	}
	r.calls[e.Call] = c
	if e.Retries >= 0 {
		c.retriesLeft = min(c.retriesLeft, e.Retries)
	}
	if e.Routed {
		r.routedCallArrived(c, e)
		return
	}
	if problem := r.resolveKind(c, e.Kind); problem != "" {
		r.reject(c, r.outcomeBeforeHome(c), problem)
		return
	}
	if c.deadline.IsZero() {
		c.deadline = r.now.Add(c.kind.kind.Allowance)
	}
	c.keyed = !c.kind.kind.Idempotent
	r.retryTokens.earn(r.Settings.RetryShare)
	r.routeCall(c)
}

// routeCall rejects the call, or sends it to the home of its key or to an upstream.
func (r *Reducer) routeCall(c *call) {
	switch {
	case r.suspects.quarantined(c.fingerprint):
		r.reject(c, r.outcomeBeforeHome(c), ProblemQuarantined)
	case r.stopping && !c.keyGiven:
		r.reject(c, OutcomeNotRun, ProblemStopping)
	case r.outlivesStop(c.deadline):
		r.reject(c, r.outcomeBeforeHome(c), ProblemStopping)
	case c.keyed:
		r.routeKeyed(c)
	default:
		r.dispatch(c)
	}
}

// resolveKind sets the call's kind from the plan in force and returns the problem, or an
// empty string. An empty kind selects the service's first kind.
func (r *Reducer) resolveKind(c *call, kind string) ProblemKind {
	if r.planInForce.offset == 0 {
		return ProblemNoPlan
	}
	s := r.planInForceIndex[c.service]
	if s == nil || len(s.plan.Kinds) == 0 {
		return ProblemUnknownService
	}
	if kind == "" {
		kind = s.plan.Kinds[0].Name
	}
	c.kind = s.kinds[kind]
	if c.kind == nil {
		return ProblemUnknownKind
	}
	return ""
}

// outcomeBeforeHome returns the outcome of a call that was rejected before it reached the
// home of its key: a key that the caller supplied may have run before.
func (r *Reducer) outcomeBeforeHome(c *call) Outcome {
	if c.keyGiven {
		return OutcomeUnknown
	}
	return OutcomeNotRun
}

// dispatch sends the call's next attempt to an upstream, or rejects the call as not run.
func (r *Reducer) dispatch(c *call) {
	if !r.now.Before(c.deadline) {
		r.rejectNotRun(c, ProblemDeadline)
		return
	}
	r.trace.clearCandidates()
	p := r.pickUpstream(c)
	if p == nil || c.mayWait {
		r.noteShortCapacity(c)
	}
	if p == nil {
		r.trace.add(r.now, c, nil, TraceNoUpstream)
		r.rejectNotRun(c, r.problemWithoutUpstream(c))
		return
	}
	a := &attempt{
		id: r.nextAttemptID(), peer: p, target: p.member.ID(),
		length: c.kind.kind.Length, started: r.now,
	}
	c.attempt = a
	c.tried = append(c.tried, p)
	p.attemptStarted(a.length, r.now)
	if c.heldKey != nil {
		c.heldKey.attempt = a.id
		c.heldKey.guard = a.target
		c.heldKey.sent = r.now
	}
	r.counts.Attempts++
	r.trace.add(r.now, c, p, TraceChosen)
	r.noteAttemptSent(c, p)
	r.emit(r.sendAttempt(c))
}

// sendAttempt returns the effect that sends the call's current attempt to its guard.
func (r *Reducer) sendAttempt(c *call) SendAttempt {
	return SendAttempt{
		Call: c.id, Attempt: c.attempt.id, Target: c.attempt.target, Key: c.key,
		Kind: c.kind.kind.Name, Length: c.attempt.length, Keyed: c.keyed, Deadline: c.deadline,
		Retries: c.retriesLeft, Replay: c.attempt.replay, Repeat: c.sends > 0, Fingerprint: c.fingerprint,
		RefuseIfBusy: r.refuseIfBusy(c), Service: c.service, Objective: c.objective, RequestID: c.requestID,
		Tenant: c.tenantName(), HideCredentials: c.hideCredentials, HedgeAt: r.hedgeTime(c),
	}
}

// refuseIfBusy reports whether a busy guard should refuse the attempt instead of queueing it.
// Unrouted calls ask for that only on the first attempt of short work, while the retry
// budget can pay for another.
func (r *Reducer) refuseIfBusy(c *call) bool {
	if c.route != nil {
		return !c.attempt.replay && !c.mayWait
	}
	return len(c.tried) == 1 && !c.attempt.replay && c.kind.kind.Length == LengthShort &&
		c.retriesLeft > 0 && r.retryTokens.tokens >= 1
}

// problemWithoutUpstream returns the problem of a call for which no upstream is left to try.
func (r *Reducer) problemWithoutUpstream(c *call) ProblemKind {
	if len(c.tried) > 0 {
		return ProblemOverloaded
	}
	return ProblemNoUpstream
}

// endAttempt removes the attempt from its peer's attempts in flight.
func (r *Reducer) endAttempt(c *call) {
	a := c.attempt
	if a != nil {
		a.end()
	}
}

// callInFlight returns the call whose attempt in flight has the given ID, or nil. That attempt
// becomes the call's current one.
func (r *Reducer) callInFlight(id CallID, attempt AttemptID) *call {
	c := r.calls[id]
	if c == nil || c.attempt == nil {
		return nil
	}
	if c.other != nil && c.other.id == attempt {
		c.attempt, c.other = c.other, c.attempt
	}
	if c.attempt.id != attempt {
		return nil
	}
	return c
}

// medianServiceTime returns the median service time of a service's upstreams, or zero if unknown.
func (r *Reducer) medianServiceTime(service string) time.Duration {
	if s := r.members.services[service]; s != nil {
		return s.medianServiceTime
	}
	return 0
}

// CallDeadline returns the time at which a call expires, or the current time for a call
// that is unknown or has no deadline.
func (r *Reducer) CallDeadline(id CallID) time.Time {
	if c := r.calls[id]; c != nil && !c.deadline.IsZero() {
		if c.held != nil {
			// An answer that waits for a better one still has to reach the caller in time.
			return c.deadline.Add(-returnAllowance)
		}
		return c.deadline
	}
	return r.now
}
