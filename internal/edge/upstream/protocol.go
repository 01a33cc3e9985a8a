package upstream

import (
	"errors"
	"net/http"
	"time"

	"github.com/tanagerline/tanagerline/internal/decision/reducer"
	"github.com/tanagerline/tanagerline/internal/mesh/peer"
)

// Attempt holds what the protocol adds to the caller's request for one attempt.
type Attempt struct {
	// ID identifies the attempt.
	ID reducer.AttemptID
	// Instance identifies the run of the upstream process that may execute the attempt;
	// empty if unknown.
	Instance string
	// Remaining is the time until the attempt's deadline.
	Remaining time.Duration
}

// AnswerClass is what the head of an upstream's answer says about the attempt.
type AnswerClass struct {
	// Outcome is ran for an answer, not-run if the upstream states that it did not start
	// the attempt, and unknown for an answer that can't be passed on.
	Outcome reducer.Outcome
	// ClaimsNotRun reports that callers take the answer's status for a promise that the request has not
	// run, which the upstream doesn't state.
	ClaimsNotRun bool
	// PacePercent is the upstream's current service time in percent of the usual; zero if unknown.
	PacePercent int
	// ReplacementInstance identifies the run of the upstream that answered in place of
	// Attempt.Instance; otherwise it is empty. The attempt then counts as not run.
	ReplacementInstance string
}

// AnswerOwner is the request that an answer belongs to, as far as its head tells.
type AnswerOwner int

// The owners of an answer.
const (
	// OwnAnswer belongs to the request at hand.
	OwnAnswer AnswerOwner = iota
	// ForeignAnswer belongs to another request.
	ForeignAnswer
	// UnidentifiedAnswer doesn't tell. On a connection that has carried other requests, it can't be told
	// from a late answer to one of them.
	UnidentifiedAnswer
)

// Identity is what an upstream's health endpoint reports about it.
type Identity struct {
	// Instance identifies the run of the upstream process.
	Instance string
	// Slots is the number of requests that the upstream runs at a time.
	Slots int
	// WarmupRemaining is how long the upstream stays cold, or reducer.WarmupUnknown.
	WarmupRemaining time.Duration
}

// Protocol defines how a guard communicates with its upstream.
type Protocol interface {
	// SetRequestHeaders adds the attempt's headers to h, the headers of the request to the upstream.
	// original holds the headers that the guard received.
	SetRequestHeaders(h, original http.Header, attempt Attempt)
	// MatchAnswer tells whose answer it is by what the answer echoes of the request.
	MatchAnswer(resp *http.Response, req *http.Request) AnswerOwner
	// ClassifyAnswer classifies an answer by its status and headers.
	ClassifyAnswer(resp *http.Response) AnswerClass
	// Identify returns the identity in an answer of the health endpoint. It fails if the
	// upstream is unhealthy or the answer has no identity.
	Identify(resp *http.Response) (Identity, error)
	// BuffersAnswers reports whether the guard buffers an answer until it is complete. If so, it also
	// answers a failure at once, without waiting until the upstream's process has exited or
	// the peers know of its crash.
	BuffersAnswers() bool
}

// nativeProtocol implements Protocol with Tanagerline headers for upstreams that announce
// themselves.
type nativeProtocol struct{}

// SetRequestHeaders sets the attempt, the time left and the key, and copies the headers that the
// upstream may pass on in its own calls.
func (nativeProtocol) SetRequestHeaders(h, original http.Header, attempt Attempt) {
	h[peer.HeaderAttempt] = []string{string(attempt.ID)}
	h[peer.HeaderTimeout] = []string{attempt.Remaining.String()}
	for _, name := range []string{peer.HeaderRetries, peer.HeaderKind} {
		if values := original[name]; len(values) > 0 {
			h[name] = values
		}
	}
	if key := original.Get(peer.HeaderKey); key != "" {
		peer.SetKey(h, key)
	}
}

// MatchAnswer compares the attempt that the answer echoes. It takes an answer without one for the
// request's own, because not every upstream echoes it.
func (nativeProtocol) MatchAnswer(resp *http.Response, req *http.Request) AnswerOwner {
	if echoed := resp.Header.Get(peer.HeaderAttempt); echoed != "" && echoed != req.Header.Get(peer.HeaderAttempt) {
		return ForeignAnswer
	}
	return OwnAnswer
}

// ClassifyAnswer classifies every answer as ran.
func (nativeProtocol) ClassifyAnswer(*http.Response) AnswerClass {
	return AnswerClass{Outcome: reducer.OutcomeRan}
}

// Identify returns errNoIdentity: the upstream announces itself.
func (nativeProtocol) Identify(*http.Response) (Identity, error) { return Identity{}, errNoIdentity }

// errNoIdentity is returned for upstreams that announce themselves.
var errNoIdentity = errors.New("the health endpoint does not identify the upstream; it must announce itself")

// BuffersAnswers returns false: answers are streamed.
func (nativeProtocol) BuffersAnswers() bool { return false }
