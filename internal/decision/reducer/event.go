package reducer

import "time"

// CallID identifies a call within one process.
type CallID uint64

// WorkID identifies a request to the guard or member role, such as the arrival of an
// attempt, within one process.
type WorkID uint64

// AttemptID identifies one attempt to run a call; it is unique across all nodes.
type AttemptID string

// Outcome states whether a request was executed.
type Outcome string

// The outcomes of a request.
const (
	// OutcomeRan means that the request was executed.
	OutcomeRan Outcome = "ran"
	// OutcomeNotRun means that the request was not executed and never will be.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown means that the request may have been executed or may still be.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeRunning is the interim outcome of an attempt in progress.
	OutcomeRunning Outcome = "running"
)

// OutcomeBasis is what a guard concluded the outcome of an attempt from.
type OutcomeBasis string

// The bases of outcomes.
const (
	// BasisAnswered is the upstream's own whole answer.
	BasisAnswered OutcomeBasis = "answered"
	// BasisRejected is the upstream's statement that it did not run the attempt.
	BasisRejected OutcomeBasis = "rejected-by-upstream"
	// BasisOtherRun is the answer of another run of the upstream than the expected one.
	BasisOtherRun OutcomeBasis = "other-run-answered"
	// BasisNotConnected is a connection to the upstream that was never made.
	BasisNotConnected OutcomeBasis = "not-connected"
	// BasisUnusableAnswer is an answer that can't be passed on.
	BasisUnusableAnswer OutcomeBasis = "unusable-answer"
	// BasisNoAnswer is a request that was sent and got no whole answer.
	BasisNoAnswer OutcomeBasis = "no-whole-answer"
)

// Event is an input to the reducer.
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
		// FirstSent is the time at which the caller claims to have first sent the key.
		FirstSent time.Time
		// Deadline is zero if the caller set none.
		Deadline time.Time
		// Retries is the number of retries left to the whole chain of calls, or
		// negative if the caller did not specify it.
		Retries int
		// Fingerprint is a hash of the request. It detects a key that is reused for
		// another request and identifies requests that crash upstreams.
		Fingerprint uint64
		// Forwarded means that another entry forwarded the call to this node.
		Forwarded bool
		// RequestID names the request in logs, or is empty.
		RequestID string
		// Routed means that Host and Path select a route of the plan, which then
		// determines the service and the policy.
		Routed bool
		Host   string
		Path   string
		// AccessKeyDigest is the lower-case hexadecimal SHA-256 digest of the caller's access
		// key, or empty without one.
		AccessKeyDigest string
		// Internal means that the upstream on this VM sent the request while it ran another one.
		Internal bool
		// BodyBuffered means that the request has no body or one that is kept whole, so that
		// two attempts can send it at the same time.
		BodyBuffered bool
	}

	// AttemptAnswered reports the head of an answer that carries the attempt's ID.
	AttemptAnswered struct {
		Call    CallID
		Attempt AttemptID
		Status  int
		Load    LoadReport
	}

	// AttemptRefused reports a guard's statement that the attempt has not run and never
	// will.
	AttemptRefused struct {
		Call    CallID
		Attempt AttemptID
		Reason  RefusalReason
		Load    LoadReport
		// BodySpent means that the request's body can't be sent again.
		BodySpent bool
	}

	// AttemptLost reports that an attempt got no answer.
	AttemptLost struct {
		Call    CallID
		Attempt AttemptID
		// Sent is false if no connection was established.
		Sent      bool
		BodySpent bool
		// Dispatched means that the guard reported that the upstream started the attempt.
		Dispatched bool
		// Crash identifies the upstream crash that lost the attempt, or is zero.
		Crash uint64
	}

	// AttemptSettled reports a guard's reply about an attempt of unknown outcome.
	AttemptSettled struct {
		Call      CallID
		Attempt   AttemptID
		Outcome   Outcome
		BodySpent bool
	}

	// AnswerEnded reports the end of an answer's body.
	AnswerEnded struct {
		Call    CallID
		Attempt AttemptID
		// Whole means that the body was read to its end without an error.
		Whole bool
		// Bytes is the total size of the request's and the answer's bodies.
		Bytes int64
	}

	// CallerLeft reports that the caller closed its connection before the answer.
	CallerLeft struct{ Call CallID }

	// CallExpired reports that a call's deadline passed while it waited in this node.
	CallExpired struct{ Call CallID }

	// CallEnded reports that the handler of a call has finished.
	CallEnded struct{ Call CallID }

	// HomeRefused reports that the receiver of a forwarded call isn't the key's home.
	HomeRefused struct{ Call CallID }

	// HomeAnswered reports the end of the home's answer to a forwarded call.
	HomeAnswered struct {
		Call CallID
		// Good means that the call ran and its answer was complete and not a server
		// error.
		Good bool
	}

	// HomeLost reports that a forwarded call got no answer.
	HomeLost struct {
		Call CallID
		Sent bool
	}

	// KeysRequested requests Count newly issued idempotency keys.
	KeysRequested struct {
		Call  CallID
		Count int
	}
)

// The events of the guard role.
type (
	// WorkArrived reports an attempt that reached the guard of its upstream.
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
		// Keyed means that the attempt must run at most once.
		Keyed    bool
		Deadline time.Time
		// Fingerprint is a hash of the request that identifies requests that crash
		// upstreams, or zero.
		Fingerprint uint64
		// Replay requests the stored answer of the first run; it never starts a run.
		Replay bool
		// RefuseIfBusy requests a refusal instead of a long wait for a slot.
		RefuseIfBusy bool
		// Repeat means that another upstream may have received the call.
		Repeat bool
		// Objective is the latency objective as an instant, after which an answer loses
		// most of its value, or zero.
		Objective time.Time
		// RequestID names the caller's request in logs, or is empty.
		RequestID string
		// BodyBytes is the length of a body that is sent only on request, or zero.
		BodyBytes int64
	}

	// BodyReceived reports that the body requested by RequestBody was read into memory and that
	// its requester was still connected a moment later.
	BodyReceived struct{ Work WorkID }

	// WorkEnded reports the end of a started attempt.
	WorkEnded struct {
		Work    WorkID
		Outcome Outcome
		// Basis is what the outcome was concluded from.
		Basis OutcomeBasis
		// Status is the HTTP status of the upstream's answer, or zero without an answer.
		Status int
		// Skipped is the number of answers to other requests that came before this one's.
		Skipped int
		// Answer is the answer to store for replays, or nil.
		Answer *StoredAnswer
		// PacePercent is the upstream's current service time in percent of the usual one, or
		// zero if the upstream does not report it.
		PacePercent int
		// RequesterLeft means that the attempt was canceled by its requester.
		RequesterLeft bool
	}

	// WorkLeft reports that the requester of an attempt no longer waits for it.
	WorkLeft struct{ Work WorkID }

	// SettleRequested requests the outcome of an attempt and prevents its start if it has not
	// started.
	SettleRequested struct {
		Work    WorkID
		Attempt AttemptID
		To      uint64
	}

	// UpstreamAnnounced reports what the upstream announced about itself.
	UpstreamAnnounced struct {
		Service string
		Address string
		// Slots is the number of calls that the upstream runs at a time.
		Slots int
		// Draining means that the upstream wants no new work.
		Draining bool
		// Instance identifies the upstream process, or is empty.
		Instance string
		// Started is the start time of that process by its own clock, or the latest possible one;
		// zero means unknown.
		Started time.Time
		// WarmupRemaining is how long the upstream says it stays cold; zero means that it is warm,
		// and WarmupUnknown that it does not say.
		WarmupRemaining time.Duration
	}

	// UpstreamLeft reports that a run of the upstream wants no new work any more. It may not be
	// the current one.
	UpstreamLeft struct{ Run UpstreamRun }

	// LeavingRunsStored reports that the directory has stored the leaving runs.
	LeavingRunsStored struct{ Runs []UpstreamRun }

	// LeavingConfirmationRequested asks for LeavingConfirmed once the leaving of a run is remembered
	// outside this process. It has no effect after Until.
	LeavingConfirmationRequested struct {
		Work  WorkID
		Run   UpstreamRun
		Until time.Time
	}

	// UpstreamFound reports the reply of a running upstream that has not announced itself
	// to this process, as happens after a restart of the node alone.
	UpstreamFound struct{ Announced UpstreamAnnounced }

	// UpstreamDied reports that the upstream refused a connection right after it
	// broke one.
	UpstreamDied struct{}

	// UpstreamReplaced reports that a different process of the upstream, or a different
	// upstream, answered at the address.
	UpstreamReplaced struct{ Instance string }

	// ProbeEnded reports the result of an active health probe.
	ProbeEnded struct {
		Healthy bool
		// Bytes is the estimated size of the probe's traffic, or zero without an answer.
		Bytes int
	}
)

// The events of the member role and of the platform's log.
type (
	// RecordRead delivers one record of the log.
	RecordRead struct {
		Offset int64
		Record Record
	}

	// LogOpened reports the earliest offset that the log retains.
	LogOpened struct{ Earliest int64 }

	// RecordAppended confirms that the log has appended a record of this node.
	RecordAppended struct {
		ID     string
		Offset int64
	}

	// AppendFailed reports that the log did not confirm the append of a record.
	AppendFailed struct{ ID string }

	// ExchangeReceived reports the data that a peer sent in an exchange.
	ExchangeReceived struct {
		From     string
		Digest   Digest
		Members  []Member
		Plan     *Plan
		State    *Snapshot
		Suspects []Suspect
		// SelfVersion is the version of this node's announcement that the peer was sent, or zero.
		SelfVersion uint64
	}

	// ExchangeRequested reports an exchange initiated by a peer; the reply is ExchangeReply.
	ExchangeRequested struct {
		Work    WorkID
		Digest  Digest
		Members []Member
	}

	// PeerSilent reports that a peer did not answer an exchange.
	PeerSilent struct{ Address string }

	// HandoverOffered reports a peer's offer of partitions of a service's keys.
	HandoverOffered struct {
		Work    WorkID
		Change  TableChange
		Records []HandoverKey
		// Final means that the offering process never dispatches for the partitions
		// again, so that the receiver may append the change.
		Final bool
	}

	// HandoverAnswered reports a peer's answer to this node's offer.
	HandoverAnswered struct {
		Change   TableChange
		Accepted bool
	}

	// AnswersOffered reports a stopping guard's offer of stored answers whose keys have
	// their home at this node.
	AnswersOffered struct {
		Work    WorkID
		Answers []KeptAnswer
	}

	// AnswerOfferEnded reports the end of this node's offer of answers to a home, including
	// a failed one.
	AnswerOfferEnded struct{ Address string }

	// PlanPublished delivers a plan that operators published outside the log.
	PlanPublished struct{ Plan Plan }

	// PlanStoreReachable reports whether the plan store is reachable.
	PlanStoreReachable struct{ Reached bool }

	// StoreEraSeen reports the era in a response of the store.
	StoreEraSeen struct{ Era uint64 }

	// MembersListed delivers the entries of the member directory.
	MembersListed struct {
		Members []Member
		// LeavingRuns are the runs that a process at this node's address stored last as leaving.
		LeavingRuns []UpstreamRun
	}

	// LoadReportReceived delivers a peer's load report.
	LoadReportReceived struct {
		// From is the sender's address: the peer's own, or that of a peer that relayed
		// the report.
		From    string
		Digest  Digest
		Members []Member
	}

	// SuspectReceived reports a peer's notice of a request that crashes upstreams.
	SuspectReceived struct{ Suspect Suspect }

	// SettingsChanged replaces the node's limits and intervals.
	SettingsChanged struct{ Settings Settings }

	// StopRequested requests a graceful stop.
	StopRequested struct{}

	// Tick triggers the work that is due by time.
	Tick struct{}
)

func (CallArrived) event()                  {}
func (AttemptAnswered) event()              {}
func (AttemptRefused) event()               {}
func (AttemptLost) event()                  {}
func (AttemptSettled) event()               {}
func (AnswerEnded) event()                  {}
func (CallerLeft) event()                   {}
func (CallExpired) event()                  {}
func (CallEnded) event()                    {}
func (HomeRefused) event()                  {}
func (HomeAnswered) event()                 {}
func (HomeLost) event()                     {}
func (KeysRequested) event()                {}
func (WorkArrived) event()                  {}
func (WorkEnded) event()                    {}
func (BodyReceived) event()                 {}
func (WorkLeft) event()                     {}
func (SettleRequested) event()              {}
func (UpstreamAnnounced) event()            {}
func (LeavingRunsStored) event()            {}
func (LeavingConfirmationRequested) event() {}
func (UpstreamLeft) event()                 {}
func (UpstreamFound) event()                {}
func (UpstreamDied) event()                 {}
func (UpstreamReplaced) event()             {}
func (ProbeEnded) event()                   {}
func (PlanPublished) event()                {}
func (PlanStoreReachable) event()           {}
func (StoreEraSeen) event()                 {}
func (MembersListed) event()                {}
func (LoadReportReceived) event()           {}
func (RecordRead) event()                   {}
func (LogOpened) event()                    {}
func (RecordAppended) event()               {}
func (AppendFailed) event()                 {}
func (ExchangeReceived) event()             {}
func (ExchangeRequested) event()            {}
func (PeerSilent) event()                   {}
func (HandoverOffered) event()              {}
func (HandoverAnswered) event()             {}
func (AnswersOffered) event()               {}
func (AnswerOfferEnded) event()             {}
func (SuspectReceived) event()              {}
func (SettingsChanged) event()              {}
func (StopRequested) event()                {}
func (Tick) event()                         {}
