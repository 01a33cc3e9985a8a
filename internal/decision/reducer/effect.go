package reducer

import (
	"net/http"
	"time"
)

// Effect is something that a node must do.
type Effect interface{ effect() }

// CallEffect is an effect that the handler of one call carries out.
type CallEffect interface {
	Effect
	ForCall() CallID
}

// WorkEffect is an effect that the handler of one attempt's arrival, or of one
// peer's question, carries out.
type WorkEffect interface {
	Effect
	ForWork() WorkID
}

// ProblemKind names why a call was not answered by an upstream.
type ProblemKind string

// The problems that callers are told of.
const (
	ProblemAnswerNotKept   ProblemKind = "answer-not-kept"
	ProblemDeadline        ProblemKind = "deadline-exceeded"
	ProblemHomeUnavailable ProblemKind = "key-home-unavailable"
	ProblemKeyTooOld       ProblemKind = "key-too-old"
	ProblemKeyMemoryFull   ProblemKind = "key-memory-full"
	ProblemKeyReused       ProblemKind = "key-reused"
	ProblemLost            ProblemKind = "answer-lost"
	ProblemNoPlan          ProblemKind = "no-plan"
	ProblemNoUpstream      ProblemKind = "no-upstream"
	ProblemOverloaded      ProblemKind = "overloaded"
	ProblemQuarantined     ProblemKind = "quarantined"
	ProblemStopping        ProblemKind = "stopping"
	ProblemUnknownKind     ProblemKind = "unknown-kind"
	ProblemUnknownRoute    ProblemKind = "unknown-route"
	ProblemUnknownService  ProblemKind = "unknown-service"
)

// RefusalReason names why a guard did not run an attempt.
type RefusalReason string

// The reasons of a guard's refusal.
const (
	RefusalAnswerNotKept RefusalReason = "answer-not-kept"
	// RefusalBusy is for attempts that would rather try elsewhere than wait.
	RefusalBusy        RefusalReason = "busy"
	RefusalDeadline    RefusalReason = "deadline"
	RefusalDisplaced   RefusalReason = "displaced"
	RefusalFull        RefusalReason = "full"
	RefusalLeaving     RefusalReason = "leaving"
	RefusalMalformed   RefusalReason = "malformed"
	RefusalMemoryFull  RefusalReason = "memory-full"
	RefusalNoUpstream  RefusalReason = "no-upstream"
	RefusalQuarantined RefusalReason = "quarantined"
	RefusalRestarted   RefusalReason = "restarted"
	RefusalSettled     RefusalReason = "settled"
	// RefusalShed is for attempts that the upstream itself turned away.
	RefusalShed        RefusalReason = "shed"
	RefusalUnreachable RefusalReason = "unreachable"
)

// StoredAnswer is a whole answer that a guard keeps for resends.
type StoredAnswer struct {
	Status  int
	Header  http.Header
	Body    []byte
	Trailer http.Header
}

// The effects of the entry role.
type (
	// SendAttempt sends the call's request to the guard of an upstream.
	SendAttempt struct {
		Call     CallID
		Attempt  AttemptID
		Target   NodeID
		Key      string
		Kind     string
		Length   Length
		Keyed    bool
		Deadline time.Time
		Retries  int
		Replay   bool
		// Repeat tells that another upstream may have seen the call.
		Repeat bool
		// Impatient asks the guard to refuse rather than to let the attempt wait.
		Impatient   bool
		Fingerprint uint64
		// RequestID names the caller's request in logs, or is empty.
		RequestID string
		// Service is the service that the attempt is for.
		Service string
		// Objective is when an answer loses most of its worth, or zero.
		Objective time.Time
	}

	// ForwardCall sends the call's request to the home of its key.
	ForwardCall struct {
		Call     CallID
		Target   NodeID
		Key      string
		Deadline time.Time
	}

	// RelayAnswer passes the attempt's answer to the caller.
	RelayAnswer struct {
		Call    CallID
		Attempt AttemptID
		Key     string
		Target  NodeID
	}

	// SettleAttempt asks a guard for the outcome of a doubtful attempt.
	SettleAttempt struct {
		Call    CallID
		Attempt AttemptID
		Target  NodeID
	}

	// RejectCall answers the caller with a problem.
	RejectCall struct {
		Call    CallID
		Outcome Outcome
		Problem ProblemKind
		Key     string
		// NotHome tells a forwarding entry that its home table is old.
		NotHome bool
		// ReturnAt is when the caller may best send the request again, or zero.
		ReturnAt time.Time
	}

	// CancelCall ends the call's attempt in flight.
	CancelCall struct{ Call CallID }

	// KeysIssued answers KeysRequested.
	KeysIssued struct {
		Call CallID
		Keys []string
	}
)

// The effects of the guard role.
type (
	// StartWork lets an attempt run on the upstream at Upstream.
	StartWork struct {
		Work     WorkID
		Upstream string
		// Instance names the run of the upstream that may take the attempt, or is empty.
		Instance string
	}

	// TakeBody asks for the body of an attempt that waits for a slot.
	TakeBody struct{ Work WorkID }

	// RefuseWork answers an attempt that will never run.
	RefuseWork struct {
		Work   WorkID
		Reason RefusalReason
	}

	// ReplayWork answers a resend with the first run's answer.
	ReplayWork struct {
		Work   WorkID
		Answer *StoredAnswer
	}

	// SettleReply answers SettleAsked.
	SettleReply struct {
		Work    WorkID
		Outcome Outcome
	}

	// ProbeUpstream sends one health probe to the upstream.
	ProbeUpstream struct{ Upstream, HealthPath string }
)

// The effects of the member role and on the platform's log.
type (
	// AppendRecord appends a record to the platform's log.
	AppendRecord struct{ Record Record }

	// AskPeer begins an exchange with a peer.
	AskPeer struct {
		Address string
		Digest  Digest
		Members []Member
	}

	// ExchangeReply answers PeerAsked.
	ExchangeReply struct {
		Work     WorkID
		Digest   Digest
		Members  []Member
		Plan     *Plan
		State    *Snapshot
		Suspects []Suspect
	}

	// OfferHandover offers shares of a service's keys to a peer.
	OfferHandover struct {
		Change  TableChange
		Records []KeyMemory
		Final   bool
	}

	// HandoverReply answers HandoverOffered.
	HandoverReply struct {
		Work     WorkID
		Accepted bool
	}

	// OfferAnswers offers this guard's answers to the home of their keys.
	OfferAnswers struct {
		Address string
		Answers []KeptAnswer
	}

	// AnswersReply answers AnswersOffered.
	AnswersReply struct{ Work WorkID }

	// TellSuspect tells a peer of a request that crashes upstreams.
	TellSuspect struct {
		Address string
		Suspect Suspect
	}

	// TellLoad reports this node's load to peers.
	TellLoad struct {
		Addresses []string
		Digest    Digest
		Members   []Member
	}

	// Stopped tells that the node has nothing left to do.
	Stopped struct{}
)

func (SendAttempt) effect()   {}
func (ForwardCall) effect()   {}
func (RelayAnswer) effect()   {}
func (SettleAttempt) effect() {}
func (RejectCall) effect()    {}
func (CancelCall) effect()    {}
func (KeysIssued) effect()    {}
func (StartWork) effect()     {}
func (TakeBody) effect()      {}
func (RefuseWork) effect()    {}
func (ReplayWork) effect()    {}
func (SettleReply) effect()   {}
func (ProbeUpstream) effect() {}
func (AppendRecord) effect()  {}
func (AskPeer) effect()       {}
func (ExchangeReply) effect() {}
func (OfferHandover) effect() {}
func (HandoverReply) effect() {}
func (OfferAnswers) effect()  {}
func (AnswersReply) effect()  {}
func (TellSuspect) effect()   {}
func (TellLoad) effect()      {}
func (Stopped) effect()       {}

// ForCall returns the call that the effect is for.
func (e SendAttempt) ForCall() CallID { return e.Call }

// ForCall returns the call that the effect is for.
func (e ForwardCall) ForCall() CallID { return e.Call }

// ForCall returns the call that the effect is for.
func (e RelayAnswer) ForCall() CallID { return e.Call }

// ForCall returns the call that the effect is for.
func (e SettleAttempt) ForCall() CallID { return e.Call }

// ForCall returns the call that the effect is for.
func (e RejectCall) ForCall() CallID { return e.Call }

// ForCall returns the call that the effect is for.
func (e CancelCall) ForCall() CallID { return e.Call }

// ForCall returns the call that the effect is for.
func (e KeysIssued) ForCall() CallID { return e.Call }

// ForWork returns the work that the effect is for.
func (e StartWork) ForWork() WorkID { return e.Work }

// ForWork returns the work that the effect is for.
func (e TakeBody) ForWork() WorkID { return e.Work }

// ForWork returns the work that the effect is for.
func (e RefuseWork) ForWork() WorkID { return e.Work }

// ForWork returns the work that the effect is for.
func (e ReplayWork) ForWork() WorkID { return e.Work }

// ForWork returns the work that the effect is for.
func (e SettleReply) ForWork() WorkID { return e.Work }

// ForWork returns the work that the effect is for.
func (e ExchangeReply) ForWork() WorkID { return e.Work }

// ForWork returns the work that the effect is for.
func (e AnswersReply) ForWork() WorkID { return e.Work }

// ForWork returns the work that the effect is for.
func (e HandoverReply) ForWork() WorkID { return e.Work }
