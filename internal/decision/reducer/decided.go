package reducer

import "time"

// DecisionKind names a decision that operators are told of.
type DecisionKind string

// The decisions that touch a request, at its entry.
const (
	DecidedChosen   DecisionKind = "attempt-sent"
	DecidedAnswered DecisionKind = "call-answered"
	DecidedRefused  DecisionKind = "attempt-refused"
	DecidedLost     DecisionKind = "attempt-lost"
	DecidedSettled  DecisionKind = "attempt-settled"
	DecidedRejected DecisionKind = "call-rejected"
	DecidedLeft     DecisionKind = "caller-left"
)

// The decisions that touch an attempt, at its guard.
const (
	DecidedBody    DecisionKind = "body-asked-for"
	DecidedStarted DecisionKind = "work-started"
	DecidedDenied  DecisionKind = "work-refused"
	DecidedEnded   DecisionKind = "work-ended"
)

// The changes of what the process believes.
const (
	DecidedPlan        DecisionKind = "plan-in-force"
	DecidedUpstream    DecisionKind = "upstream-changed"
	DecidedMember      DecisionKind = "member-changed"
	DecidedQuarantined DecisionKind = "request-suspected"
)

// Decided tells operators of a decision and of the inputs that it rests on. Values that
// a decision doesn't have are zero.
type Decided struct {
	Kind DecisionKind
	// Request is the caller's ID of the request.
	Request string
	Attempt AttemptID
	Service string
	// Route is the route's name, or the kind's.
	Route string
	// Peer is the address of the node that the decision is about.
	Peer string
	// Reason tells why, in one of the words for problems, refusals and outcomes.
	Reason string
	// Plan is the offset of the plan in force.
	Plan int64
	// Load is the work at the upstream as it was known, ReportAge how old the report
	// was, and Expected the time that the decision counted on.
	Load      float64
	ReportAge time.Duration
	Expected  time.Duration
	// Remaining is the time left until the deadline.
	Remaining time.Duration
	// Took is the time since the call or the attempt arrived.
	Took   time.Duration
	Tries  int
	Status int
}

func (Decided) effect() {}

// TouchesRequest reports whether the decision is about one request.
func (d Decided) TouchesRequest() bool {
	switch d.Kind {
	case DecidedPlan, DecidedUpstream, DecidedMember, DecidedQuarantined:
		return false
	default:
		return true
	}
}

// note tells operators of a decision, after the effects that carry it out.
func (r *Reducer) note(d Decided) { r.notes = append(r.notes, d) }

// decidedCall tells of a decision on a call.
func (r *Reducer) decidedCall(kind DecisionKind, c *call, d Decided) {
	d.Kind = kind
	d.Request = c.requestID
	d.Service = c.service
	d.Plan = r.inForce.offset
	d.Remaining = c.deadline.Sub(r.now)
	d.Took = r.now.Sub(c.arrived)
	d.Tries = len(c.tried)
	if c.kind != nil {
		d.Route = c.kind.kind.Name
	}
	if c.attempt != nil {
		d.Attempt = c.attempt.id
		d.Peer = c.attempt.target.Address()
	}
	r.note(d)
}

// decidedSent tells where an attempt goes, and what the choice knew of the upstream.
func (r *Reducer) decidedSent(c *call, p *peer) {
	d := Decided{Load: p.load(r.now), Expected: r.completion(p)}
	if !p.reportedAt.IsZero() {
		d.ReportAge = r.now.Sub(p.reportedAt)
	}
	r.decidedCall(DecidedChosen, c, d)
}

// decidedWork tells of a decision on an attempt at its guard.
func (r *Reducer) decidedWork(kind DecisionKind, w *work, reason string) {
	r.note(Decided{
		Kind: kind, Request: w.requestID, Attempt: w.attempt, Service: r.guard.service, Route: w.route,
		Reason: reason, Plan: r.inForce.offset, Load: float64(r.guard.running + r.guard.queued()),
		Expected: r.guard.admission.expected(w, r.now), Remaining: w.deadline.Sub(r.now), Took: r.now.Sub(w.arrived),
	})
}
