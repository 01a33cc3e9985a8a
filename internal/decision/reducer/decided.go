package reducer

import "time"

// DecisionKind identifies a decision that is reported to operators.
type DecisionKind string

// The decisions of the entry role about a call.
const (
	DecisionAttemptSent  DecisionKind = "attempt-sent"
	DecisionCallAnswered DecisionKind = "call-answered"
	// DecisionAttemptRefused reports that the entry received a guard's refusal.
	DecisionAttemptRefused DecisionKind = "attempt-refused"
	DecisionAttemptLost    DecisionKind = "attempt-lost"
	DecisionAttemptSettled DecisionKind = "attempt-settled"
	DecisionCallRejected   DecisionKind = "call-rejected"
	DecisionCallerLeft     DecisionKind = "caller-left"
	// DecisionQuotaAdmitted reports a call that waited for a token of its tenant's quota, or that
	// was admitted by the entry's fixed share.
	DecisionQuotaAdmitted DecisionKind = "quota-admitted"
	// DecisionHedgeSent reports a second attempt beside the first: Reason is "other-zone" or
	// "same-zone", as seen from the first attempt's upstream.
	DecisionHedgeSent DecisionKind = "hedge-sent"
	// DecisionHedgeWithheld reports why a call that became due was not hedged, once for each call.
	DecisionHedgeWithheld DecisionKind = "hedge-withheld"
	// DecisionHedgeEnded reports which attempt answered a hedged call: Reason is "won-by-first" or
	// "won-by-hedge".
	DecisionHedgeEnded DecisionKind = "hedge-ended"
)

// The decisions of the guard role about an attempt.
const (
	DecisionBodyRequested DecisionKind = "body-asked-for"
	DecisionWorkStarted   DecisionKind = "work-started"
	// DecisionWorkRefused reports that this node's guard refused an attempt.
	DecisionWorkRefused DecisionKind = "work-refused"
	DecisionWorkEnded   DecisionKind = "work-ended"
	// DecisionWorkRepeated reports an attempt that this node's guard has received before.
	DecisionWorkRepeated DecisionKind = "work-repeated"
)

// The changes of the process's view of plans, upstreams, members and requests.
const (
	DecisionPlanActivated   DecisionKind = "plan-in-force"
	DecisionUpstreamChanged DecisionKind = "upstream-changed"
	DecisionMemberChanged   DecisionKind = "member-changed"
	// DecisionStoreReturned reports that the store came back from a copy, in a later era.
	DecisionStoreReturned    DecisionKind = "store-returned"
	DecisionRequestSuspected DecisionKind = "request-suspected"
	// DecisionEvacuationBegun and DecisionEvacuationEnded report that the plan began or ended the
	// evacuation of this node's availability zone.
	DecisionEvacuationBegun DecisionKind = "evacuation-begun"
	DecisionEvacuationEnded DecisionKind = "evacuation-ended"
	// DecisionUpstreamCold and DecisionUpstreamWarm report that the bound on the requests of a cold
	// upstream began or ceased to apply. Expected is the time until its end.
	DecisionUpstreamCold DecisionKind = "upstream-cold"
	DecisionUpstreamWarm DecisionKind = "upstream-warm"
	// DecisionWarmupQueried reports the end of the query how long the upstream stays cold: Reason is
	// "answered" or "no-answer".
	DecisionWarmupQueried DecisionKind = "warmup-queried"
	// DecisionQuotaHolderChanged reports a new holder of a group of tenants' quotas, and
	// DecisionQuotaHolderLost a holder that does not grant.
	DecisionQuotaHolderChanged DecisionKind = "quota-holder-changed"
	DecisionQuotaHolderLost    DecisionKind = "quota-holder-lost"
)

// Decision reports a decision and its inputs to operators. Fields that don't apply to the
// decision are zero.
type Decision struct {
	Kind DecisionKind
	// Request is the ID that the caller gave to the request.
	Request string
	Attempt AttemptID
	Service string
	// Route is the name of the call's route or kind.
	Route string
	// Peer is the address of the node or upstream that the decision is about, or the
	// member's node ID for DecisionMemberChanged.
	Peer string
	// Instance identifies the upstream's process for DecisionUpstreamChanged, if it is known.
	Instance string
	// Reason is mostly a problem, refusal reason or outcome, or several with commas. For
	// DecisionPlanActivated it is the plan's ID, for DecisionRequestSuspected the request's fingerprint.
	Reason string
	// BodySpent is set if the call can't be sent again because its body was read from the caller.
	BodySpent bool
	// Plan is the offset of the plan in force.
	Plan int64
	// Load is the number of attempts at the upstream, as known to the deciding role. It is
	// the number of routes for DecisionPlanActivated, and of slots for DecisionUpstreamChanged.
	Load float64
	// ReportAge is the age of the load report that Load is based on.
	ReportAge time.Duration
	// Expected is the completion time that the decision assumed.
	Expected time.Duration
	// Remaining is the time left until the deadline.
	Remaining time.Duration
	// Took is the time since the call or the attempt arrived.
	Took time.Duration
	// Tries is the number of times that the call was sent to an upstream so far.
	Tries int
	// Status is the HTTP status of the upstream's answer.
	Status int
	// Basis is what the outcome in Reason was concluded from.
	Basis OutcomeBasis
	// Tenant is the name of the caller's tenant, or empty.
	Tenant string
	// RegionsLimited is set if the call may be served in some regions only.
	RegionsLimited bool
	// Cold is set if the upstream is cold and its requests are bounded.
	Cold bool
	// AnsweredBy is "first" or "hedge", the attempt that answered a call that may be hedged, or empty.
	AnsweredBy string
	// Skipped is the number of answers to other requests that came before the attempt's.
	Skipped int
}

func (Decision) effect() {}

// TouchesRequest reports whether the decision is about one request.
func (d Decision) TouchesRequest() bool {
	switch d.Kind {
	case DecisionPlanActivated, DecisionUpstreamChanged, DecisionMemberChanged, DecisionStoreReturned, DecisionRequestSuspected,
		DecisionEvacuationBegun, DecisionEvacuationEnded, DecisionUpstreamCold, DecisionUpstreamWarm, DecisionWarmupQueried,
		DecisionQuotaHolderChanged, DecisionQuotaHolderLost:
		return false
	default:
		return true
	}
}

// noteDecision queues a decision to be reported after the other effects of the Step.
func (r *Reducer) noteDecision(d Decision) { r.decisions = append(r.decisions, d) }

// noteCallDecision reports a decision about a call; it fills in what the call determines.
func (r *Reducer) noteCallDecision(kind DecisionKind, c *call, d Decision) {
	d.Kind = kind
	d.Request = c.requestID
	d.Service = c.service
	d.Plan = r.planInForce.offset
	d.Remaining = c.deadline.Sub(r.now)
	d.Took = r.now.Sub(c.arrived)
	d.Tries = len(c.tried)
	d.Tenant = c.tenantName()
	d.RegionsLimited = c.regions.Limited()
	if c.kind != nil {
		d.Route = c.kind.kind.Name
	}
	if c.attempt != nil {
		d.Attempt = c.attempt.id
		d.Peer = c.attempt.target.Address()
	}
	r.noteDecision(d)
}

// noteAttemptSent reports the choice of an upstream for an attempt and the load that it was
// based on.
func (r *Reducer) noteAttemptSent(c *call, p *peer) {
	d := Decision{Load: p.load(r.now), Expected: r.estimatedCompletion(p)}
	if !p.reportedAt.IsZero() {
		d.ReportAge = r.now.Sub(p.reportedAt)
	}
	r.noteCallDecision(DecisionAttemptSent, c, d)
}

// noteWorkDecision reports a guard's decision about an attempt.
func (r *Reducer) noteWorkDecision(kind DecisionKind, w *work, reason string) {
	r.noteDecision(r.workDecision(kind, w, reason))
}

// noteWorkEnded reports how an attempt ended, and what its outcome was concluded from.
func (r *Reducer) noteWorkEnded(w *work, e WorkEnded) {
	d := r.workDecision(DecisionWorkEnded, w, string(e.Outcome))
	d.Basis = e.Basis
	d.Status = e.Status
	d.Skipped = e.Skipped
	r.noteDecision(d)
}

// workDecision returns a guard's decision about an attempt.
func (r *Reducer) workDecision(kind DecisionKind, w *work, reason string) Decision {
	return Decision{
		Kind: kind, Request: w.requestID, Attempt: w.attempt, Service: r.guard.service, Route: w.route,
		Reason: reason, Plan: r.planInForce.offset, Load: float64(r.guard.running + r.guard.queued()),
		Cold:     r.guard.cold.Binds(r.now),
		Expected: r.guard.admission.expected(w, r.now), Remaining: w.deadline.Sub(r.now), Took: r.now.Sub(w.arrived),
	}
}
