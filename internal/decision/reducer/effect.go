package reducer

import (
	"net/http"
	"time"
)

// Effect is an action that the reducer requests from its node.
type Effect interface{ effect() }

// CallEffect is an effect that the handler of one call executes.
type CallEffect interface {
	Effect
	// ForCall returns the ID of the call whose handler executes the effect.
	ForCall() CallID
}

// WorkEffect is an effect that the handler of one attempt or of one peer's request
// executes at the receiving node.
type WorkEffect interface {
	Effect
	// ForWork returns the ID of the request whose handler executes the effect.
	ForWork() WorkID
}

// ProblemKind states why a call got no answer from an upstream.
type ProblemKind string

// The problems that are reported to callers.
const (
	// ProblemAnswerNotKept means that the answer to replay is not stored.
	ProblemAnswerNotKept   ProblemKind = "answer-not-kept"
	ProblemDeadline        ProblemKind = "deadline-exceeded"
	ProblemHomeUnavailable ProblemKind = "key-home-unavailable"
	// ProblemKeyTooOld means that the home may have forgotten the key.
	ProblemKeyTooOld ProblemKind = "key-too-old"
	// ProblemKeyMemoryFull means that the home can't remember another key.
	ProblemKeyMemoryFull ProblemKind = "key-memory-full"
	// ProblemKeyReused means that the key was used for a request with another fingerprint.
	ProblemKeyReused ProblemKind = "key-reused"
	// ProblemAnswerLost means that an attempt got no answer and its outcome is unknown.
	ProblemAnswerLost     ProblemKind = "answer-lost"
	ProblemNoPlan         ProblemKind = "no-plan"
	ProblemNoUpstream     ProblemKind = "no-upstream"
	ProblemOverloaded     ProblemKind = "overloaded"
	ProblemQuarantined    ProblemKind = "quarantined"
	ProblemStopping       ProblemKind = "stopping"
	ProblemUnknownKind    ProblemKind = "unknown-kind"
	ProblemUnknownRoute   ProblemKind = "unknown-route"
	ProblemUnknownService ProblemKind = "unknown-service"
	// ProblemUnauthorized means that the request has no known access key.
	ProblemUnauthorized ProblemKind = "unauthorized"
	// ProblemQuotaExceeded means that the tenant has used up its quota.
	ProblemQuotaExceeded ProblemKind = "quota-exceeded"
)

// RefusalReason states why a guard did not run an attempt.
type RefusalReason string

// The reasons for a guard's refusal.
const (
	// RefusalAnswerNotKept refuses a replay whose stored answer is gone.
	RefusalAnswerNotKept RefusalReason = "answer-not-kept"
	// RefusalBusy refuses an attempt that asked for a refusal instead of a long wait.
	RefusalBusy RefusalReason = "busy"
	// RefusalDeadline refuses an attempt that can't finish in time.
	RefusalDeadline RefusalReason = "deadline"
	// RefusalDisplaced removes a queued attempt in favor of one with a larger weight.
	RefusalDisplaced RefusalReason = "displaced"
	// RefusalEvacuated means that the guard admits no work to its upstream because the upstream's
	// availability zone is evacuated, or was until a moment ago.
	RefusalEvacuated RefusalReason = "evacuated"
	// RefusalFull means that the queue is full.
	RefusalFull RefusalReason = "full"
	// RefusalLeaving means that the guard admits no more work to its upstream.
	RefusalLeaving RefusalReason = "leaving"
	// RefusalMalformed refuses a request that is no valid attempt.
	RefusalMalformed RefusalReason = "malformed"
	// RefusalMemoryFull means that the guard can't record another attempt.
	RefusalMemoryFull RefusalReason = "memory-full"
	// RefusalNoUpstream means that the guard has no running upstream of the service.
	RefusalNoUpstream RefusalReason = "no-upstream"
	// RefusalQuarantined refuses a request that crashed upstreams.
	RefusalQuarantined RefusalReason = "quarantined"
	// RefusalRestarted means that the attempt was sent to an earlier process at the
	// guard's address.
	RefusalRestarted RefusalReason = "restarted"
	// RefusalSettled means that the attempt's requester already settled it as not run.
	RefusalSettled RefusalReason = "settled"
	// RefusalShed means that the upstream itself rejected the attempt.
	RefusalShed RefusalReason = "shed"
	// RefusalUnreachable is set by the entry when it can't connect to the guard.
	RefusalUnreachable RefusalReason = "unreachable"
)

// StoredAnswer is a complete answer that a guard stores to replay it to resends.
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
		Call    CallID
		Attempt AttemptID
		Target  NodeID
		// Key is the call's idempotency key, or empty.
		Key    string
		Kind   string
		Length Length
		// Keyed means that the attempt must run at most once.
		Keyed    bool
		Deadline time.Time
		// Retries is the number of retries left to the whole chain of calls, or
		// negative if the caller did not specify it.
		Retries int
		// Replay requests the stored answer of the first run; it never starts a run.
		Replay bool
		// Repeat means that another upstream may have received the call.
		Repeat bool
		// RefuseIfBusy requests a refusal instead of a long wait for a slot.
		RefuseIfBusy bool
		// Fingerprint is a hash of the request that identifies requests that crash
		// upstreams.
		Fingerprint uint64
		// RequestID names the caller's request in logs, or is empty.
		RequestID string
		// Service is the name of the service whose upstream runs the attempt.
		Service string
		// Objective is the latency objective as an instant, after which an answer loses
		// most of its value, or zero.
		Objective time.Time
		// Tenant is the name of the caller's tenant, or empty.
		Tenant string
		// HideCredentials means that the request is sent without the caller's access key and
		// without a tenant of the caller's own choice.
		HideCredentials bool
		// HedgeAt is when HedgeDue is to be reported if the attempt is not over by then, or zero.
		// The attempt runs beside the handler then, so that a second one can be started.
		HedgeAt time.Time
		// Hedge means that the attempt is a second one beside the first.
		Hedge bool
	}

	// ForwardCall forwards the call's request to the node that is the home of its key.
	ForwardCall struct {
		Call     CallID
		Target   NodeID
		Key      string
		Deadline time.Time
	}

	// RelayAnswer relays the attempt's answer to the caller.
	RelayAnswer struct {
		Call    CallID
		Attempt AttemptID
		Key     string
		Target  NodeID
	}

	// SettleAttempt requests the outcome of an attempt from its guard, which also
	// prevents its start if it has not started.
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
		// NotHome reports to a forwarding entry that this node is not the key's home,
		// because the entry's home table is outdated.
		NotHome bool
		// ResendAt is the recommended time for a resend by the caller, or zero.
		ResendAt time.Time
	}

	// CancelCall cancels the call's attempt in flight.
	CancelCall struct{ Call CallID }

	// KeysIssued replies to KeysRequested with new idempotency keys.
	KeysIssued struct {
		Call CallID
		Keys []string
	}
)

// The effects of the guard role.
type (
	// StartWork starts an attempt on the upstream.
	StartWork struct {
		Work WorkID
		// Upstream is the upstream's address.
		Upstream string
		// Instance identifies the upstream process that may run the attempt, or is empty.
		Instance string
		// Cold means that the upstream is cold and may get the request only once.
		Cold bool
	}

	// RequestBody requests the body of an attempt that waits for a slot.
	RequestBody struct{ Work WorkID }

	// RefuseWork refuses an attempt.
	RefuseWork struct {
		Work   WorkID
		Reason RefusalReason
		// Outcome is not-run if the attempt has not run and never will. It is unknown if the refusal
		// says nothing of that.
		Outcome Outcome
	}

	// ReplayWork replies to a resend with the stored answer of the first run.
	ReplayWork struct {
		Work   WorkID
		Answer *StoredAnswer
	}

	// SettleReply replies to SettleRequested.
	SettleReply struct {
		Work    WorkID
		Outcome Outcome
	}

	// ProbeUpstream sends one active health probe to HealthPath at the address Upstream.
	ProbeUpstream struct{ Upstream, HealthPath string }
)

// The effects of the member role and those on the platform's log.
type (
	// AppendRecord appends a record to the platform's log.
	AppendRecord struct{ Record Record }

	// SendExchange initiates an exchange with a peer.
	SendExchange struct {
		Address string
		Digest  Digest
		Members []Member
	}

	// ExchangeReply replies to ExchangeRequested.
	ExchangeReply struct {
		Work    WorkID
		Digest  Digest
		Members []Member
		// Plan is nil unless the peer needs it.
		Plan *Plan
		// State is nil unless the peer needs it.
		State    *Snapshot
		Suspects []Suspect
	}

	// OfferHandover offers a service's key partitions and their records to a peer.
	OfferHandover struct {
		Change  TableChange
		Records []HandoverKey
		// Final means that this process never again dispatches for the partitions, so
		// that the receiver may append the change.
		Final bool
	}

	// HandoverReply replies to HandoverOffered.
	HandoverReply struct {
		Work     WorkID
		Accepted bool
	}

	// OfferAnswers offers a stopping guard's stored answers to the home of their keys.
	OfferAnswers struct {
		Address string
		Answers []KeptAnswer
	}

	// AnswersReply replies to AnswersOffered.
	AnswersReply struct{ Work WorkID }

	// SendSuspect notifies a peer of a request that crashes upstreams.
	SendSuspect struct {
		Address string
		Suspect Suspect
	}

	// SendLoadReport sends this node's load report to peers.
	SendLoadReport struct {
		Addresses []string
		Digest    Digest
		Members   []Member
	}

	// StoreLeavingRuns stores the last runs of this node's upstream that announced their leaving,
	// for the next process at this node's address.
	StoreLeavingRuns struct{ Runs []UpstreamRun }

	// RewriteDirectory writes again what this node has written to the directory, whose store came back
	// from a copy and is in a later era.
	RewriteDirectory struct{ Era uint64 }

	// RewriteLeavingRuns writes the leaving runs beside another member's address to the directory again, because
	// the process there seems to be gone and can't.
	RewriteLeavingRuns struct {
		Address string
		Runs    []UpstreamRun
	}

	// LeavingConfirmed replies to LeavingConfirmationRequested.
	LeavingConfirmed struct{ Work WorkID }

	// Stopped reports that the graceful stop is complete and the process may exit.
	Stopped struct{}
)

func (SendAttempt) effect()        {}
func (ForwardCall) effect()        {}
func (RelayAnswer) effect()        {}
func (SettleAttempt) effect()      {}
func (RejectCall) effect()         {}
func (CancelCall) effect()         {}
func (KeysIssued) effect()         {}
func (StartWork) effect()          {}
func (RequestBody) effect()        {}
func (RefuseWork) effect()         {}
func (ReplayWork) effect()         {}
func (SettleReply) effect()        {}
func (ProbeUpstream) effect()      {}
func (AppendRecord) effect()       {}
func (SendExchange) effect()       {}
func (ExchangeReply) effect()      {}
func (OfferHandover) effect()      {}
func (HandoverReply) effect()      {}
func (OfferAnswers) effect()       {}
func (AnswersReply) effect()       {}
func (SendSuspect) effect()        {}
func (SendLoadReport) effect()     {}
func (StoreLeavingRuns) effect()   {}
func (RewriteDirectory) effect()   {}
func (RewriteLeavingRuns) effect() {}
func (LeavingConfirmed) effect()   {}
func (Stopped) effect()            {}

// ForCall returns the ID of the call whose handler executes the effect.
func (e SendAttempt) ForCall() CallID { return e.Call }

// ForCall returns the ID of the call whose handler executes the effect.
func (e ForwardCall) ForCall() CallID { return e.Call }

// ForCall returns the ID of the call whose handler executes the effect.
func (e RelayAnswer) ForCall() CallID { return e.Call }

// ForCall returns the ID of the call whose handler executes the effect.
func (e SettleAttempt) ForCall() CallID { return e.Call }

// ForCall returns the ID of the call whose handler executes the effect.
func (e RejectCall) ForCall() CallID { return e.Call }

// ForCall returns the ID of the call whose handler executes the effect.
func (e CancelCall) ForCall() CallID { return e.Call }

// ForCall returns the ID of the call whose handler executes the effect.
func (e KeysIssued) ForCall() CallID { return e.Call }

// ForWork returns the ID of the request whose handler executes the effect.
func (e StartWork) ForWork() WorkID { return e.Work }

// ForWork returns the ID of the request whose handler executes the effect.
func (e RequestBody) ForWork() WorkID { return e.Work }

// ForWork returns the ID of the request whose handler executes the effect.
func (e RefuseWork) ForWork() WorkID { return e.Work }

// ForWork returns the ID of the request whose handler executes the effect.
func (e ReplayWork) ForWork() WorkID { return e.Work }

// ForWork returns the ID of the request whose handler executes the effect.
func (e SettleReply) ForWork() WorkID { return e.Work }

// ForWork returns the ID of the request whose handler executes the effect.
func (e ExchangeReply) ForWork() WorkID { return e.Work }

// ForWork returns the ID of the request whose handler executes the effect.
func (e AnswersReply) ForWork() WorkID { return e.Work }

// ForWork returns the request that the confirmation replies to.
func (e LeavingConfirmed) ForWork() WorkID { return e.Work }

// ForWork returns the ID of the request whose handler executes the effect.
func (e HandoverReply) ForWork() WorkID { return e.Work }
