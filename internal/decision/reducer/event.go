package reducer

import "time"

// CallID names a caller's call within one process.
type CallID uint64

// WorkID names an attempt's arrival at its guard within one process.
type WorkID uint64

// AttemptID names one attempt to run a call; it is unique over all nodes.
type AttemptID string

// Outcome says whether a request ran.
type Outcome string

// The outcomes of a request.
const (
	OutcomeRan     Outcome = "ran"
	OutcomeNotRun  Outcome = "not-run"
	OutcomeUnknown Outcome = "unknown"
	// OutcomeRunning is the interim outcome of an attempt that is being run.
	OutcomeRunning Outcome = "running"
)

// Event is something that happened to a node.
type Event interface{ event() }

// The events of the entry role.
type (
	// CallArrived is a caller's request, or one that another entry forwarded
	// to this node as the home of its key.
	CallArrived struct {
		Call    CallID
		Service string
		Kind    string
		// Key is the caller's idempotency key, or empty.
		Key string
		// FirstSent is when the caller says that it first sent the key.
		FirstSent time.Time
		// Deadline is zero when the caller set none.
		Deadline time.Time
		// Retries is how many retries the whole chain of calls has left, or
		// negative when the caller does not say.
		Retries     int
		Fingerprint uint64
		Forwarded   bool
		// RequestID names the request in logs, or is empty.
		RequestID string
		// Routed tells that Host and Path choose a route of the plan, which then
		// decides the service and the policy.
		Routed bool
		Host   string
		Path   string
	}

	// AttemptAnswered is the head of an answer that carries the attempt's ID.
	AttemptAnswered struct {
		Call    CallID
		Attempt AttemptID
		Status  int
		Load    LoadReport
	}

	// AttemptRefused is a guard's word that the attempt has not run and never will.
	AttemptRefused struct {
		Call    CallID
		Attempt AttemptID
		Reason  RefusalReason
		Load    LoadReport
		// BodySpent tells that the request's body can't be sent again.
		BodySpent bool
	}

	// AttemptLost is an attempt without an answer.
	AttemptLost struct {
		Call    CallID
		Attempt AttemptID
		// Sent is false when no connection was made.
		Sent      bool
		BodySpent bool
		// Dispatched tells that the guard said the upstream began the attempt.
		Dispatched bool
		// Crash names the upstream's crash that lost the attempt, or is zero.
		Crash uint64
	}

	// AttemptSettled is a guard's answer about a doubtful attempt.
	AttemptSettled struct {
		Call      CallID
		Attempt   AttemptID
		Outcome   Outcome
		BodySpent bool
	}

	// AnswerEnded is the end of an answer's body.
	AnswerEnded struct {
		Call    CallID
		Attempt AttemptID
		Whole   bool
		// Bytes counts the bodies of the request and the answer.
		Bytes int64
	}

	// CallerLeft is a caller's connection that closed before its answer.
	CallerLeft struct{ Call CallID }

	// CallExpired is a call whose deadline passed while it waited.
	CallExpired struct{ Call CallID }

	// CallEnded is the end of a call's handling.
	CallEnded struct{ Call CallID }

	// HomeRefused is a forwarded call whose receiver is not the key's home.
	HomeRefused struct{ Call CallID }

	// HomeAnswered is the end of the home's answer to a forwarded call.
	HomeAnswered struct {
		Call CallID
		// Good tells that the call ran and was answered whole, without a
		// server's error.
		Good bool
	}

	// HomeLost is a forwarded call without an answer.
	HomeLost struct {
		Call CallID
		Sent bool
	}

	// KeysRequested asks for issued keys.
	KeysRequested struct {
		Call  CallID
		Count int
	}
)

// The events of the guard role.
type (
	// WorkArrived is an attempt that reached the guard of its upstream.
	WorkArrived struct {
		Work    WorkID
		Attempt AttemptID
		// To is the incarnation that the attempt was sent to.
		To      uint64
		Service string
		Kind    string
		Length  Length
		// Key is the call's idempotency key, or empty.
		Key string
		// Keyed tells that the attempt must run at most once.
		Keyed       bool
		Deadline    time.Time
		Fingerprint uint64
		// Replay asks for the first run's answer and never starts a run.
		Replay bool
		// Impatient asks for a refusal where the attempt would wait for long.
		Impatient bool
		// Repeat tells that another upstream may have seen the call.
		Repeat bool
		// Objective is when an answer loses most of its worth, or zero.
		Objective time.Time
		// RequestID names the caller's request in logs, or is empty.
		RequestID string
		// BodyBytes is the length of a body that is sent once it is asked for, or zero.
		BodyBytes int64
	}

	// BodyTaken is the end of the body that TakeBody asked for.
	BodyTaken struct{ Work WorkID }

	// WorkEnded is the end of a started attempt.
	WorkEnded struct {
		Work    WorkID
		Outcome Outcome
		Status  int
		Answer  *StoredAnswer
		// Pace is how long work takes at the upstream now, in percent of the usual,
		// or zero when the upstream does not say.
		Pace int
	}

	// WorkLeft is an attempt whose requester no longer waits.
	WorkLeft struct{ Work WorkID }

	// SettleAsked asks for the outcome of an attempt and forbids its start.
	SettleAsked struct {
		Work    WorkID
		Attempt AttemptID
		To      uint64
	}

	// UpstreamAnnounced is the upstream's word about itself.
	UpstreamAnnounced struct {
		Service  string
		Address  string
		Slots    int
		Draining bool
		// Instance names the upstream's run, or is empty.
		Instance string
	}

	// UpstreamFound is what an upstream that nobody announced yet says when it is asked:
	// its node has started again beside it.
	UpstreamFound struct{ Announced UpstreamAnnounced }

	// UpstreamDied is an upstream that refused a connection right after it
	// broke one.
	UpstreamDied struct{}

	// UpstreamReplaced tells that another run of an upstream, or another upstream,
	// answered at the address.
	UpstreamReplaced struct{ Instance string }

	// ProbeEnded is the result of an active health probe.
	ProbeEnded struct {
		Healthy bool
		Bytes   int
	}
)

// The events of the member role and of the platform's log.
type (
	// RecordRead is one record of the log.
	RecordRead struct {
		Offset int64
		Record Record
	}

	// LogOpened tells the earliest offset that the log retains.
	LogOpened struct{ Earliest int64 }

	// RecordAppended is the log's confirmation of a record of this node.
	RecordAppended struct {
		ID     string
		Offset int64
	}

	// AppendFailed is a record whose append is given up for now.
	AppendFailed struct{ ID string }

	// PeerHeard is what a peer told in an exchange.
	PeerHeard struct {
		From     string
		Digest   Digest
		Members  []Member
		Plan     *Plan
		State    *Snapshot
		Suspects []Suspect
	}

	// PeerAsked is an exchange that a peer began; its answer is ExchangeReply.
	PeerAsked struct {
		Work    WorkID
		Digest  Digest
		Members []Member
	}

	// PeerSilent is an exchange without an answer.
	PeerSilent struct{ Address string }

	// HandoverOffered is a peer's offer of shares of a service's keys.
	HandoverOffered struct {
		Work    WorkID
		Change  TableChange
		Records []KeyMemory
		// Final tells that the offering process never dispatches for the shares
		// again, so that the receiver may append the change.
		Final bool
	}

	// HandoverAnswered is a peer's answer to this node's offer.
	HandoverAnswered struct {
		Change   TableChange
		Accepted bool
	}

	// AnswersOffered is a stopping guard's offer of answers whose home is here.
	AnswersOffered struct {
		Work    WorkID
		Answers []KeptAnswer
	}

	// AnswersTaken is a home's confirmation of this node's offer.
	AnswersTaken struct{ Address string }

	// PlanPublished is a plan that operators published outside of the log.
	PlanPublished struct{ Plan Plan }

	// PlansReached tells whether the place where plans are published answers.
	PlansReached struct{ Reached bool }

	// MembersListed is what a directory of members holds.
	MembersListed struct{ Members []Member }

	// LoadHeard is a peer's report of its load.
	LoadHeard struct {
		// From is the address that the report came from: the peer's own, or that of one
		// that passed it on.
		From    string
		Digest  Digest
		Members []Member
	}

	// SuspectHeard is a peer's word of a request that crashes upstreams.
	SuspectHeard struct{ Suspect Suspect }

	// SettingsChanged brings new limits and intervals.
	SettingsChanged struct{ Settings Settings }

	// StopRequested begins a graceful stop.
	StopRequested struct{}

	// Tick is the passing of time.
	Tick struct{}
)

func (CallArrived) event()       {}
func (AttemptAnswered) event()   {}
func (AttemptRefused) event()    {}
func (AttemptLost) event()       {}
func (AttemptSettled) event()    {}
func (AnswerEnded) event()       {}
func (CallerLeft) event()        {}
func (CallExpired) event()       {}
func (CallEnded) event()         {}
func (HomeRefused) event()       {}
func (HomeAnswered) event()      {}
func (HomeLost) event()          {}
func (KeysRequested) event()     {}
func (WorkArrived) event()       {}
func (WorkEnded) event()         {}
func (BodyTaken) event()         {}
func (WorkLeft) event()          {}
func (SettleAsked) event()       {}
func (UpstreamAnnounced) event() {}
func (UpstreamFound) event()     {}
func (UpstreamDied) event()      {}
func (UpstreamReplaced) event()  {}
func (ProbeEnded) event()        {}
func (PlanPublished) event()     {}
func (PlansReached) event()      {}
func (MembersListed) event()     {}
func (LoadHeard) event()         {}
func (RecordRead) event()        {}
func (LogOpened) event()         {}
func (RecordAppended) event()    {}
func (AppendFailed) event()      {}
func (PeerHeard) event()         {}
func (PeerAsked) event()         {}
func (PeerSilent) event()        {}
func (HandoverOffered) event()   {}
func (HandoverAnswered) event()  {}
func (AnswersOffered) event()    {}
func (AnswersTaken) event()      {}
func (SuspectHeard) event()      {}
func (SettingsChanged) event()   {}
func (StopRequested) event()     {}
func (Tick) event()              {}
