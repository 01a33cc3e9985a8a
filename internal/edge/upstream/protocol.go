package upstream

import (
	"errors"
	"net/http"
	"time"

	"github.com/tanagerline/tanagerline/internal/decision/reducer"
	"github.com/tanagerline/tanagerline/internal/mesh/peer"
)

// Attempt is what an upstream is told of an attempt beside the caller's request.
type Attempt struct {
	// ID names the attempt.
	ID reducer.AttemptID
	// Instance names the run of the upstream that may take the attempt, or is empty.
	Instance string
	// Remaining is the time that is left for the answer.
	Remaining time.Duration
}

// Verdict is what an upstream's answer says beside its content.
type Verdict struct {
	// Outcome is ran for an answer, not-run for the upstream's word that it did not
	// start the attempt, and unknown for an answer that can't be passed on.
	Outcome reducer.Outcome
	// Pace is how long work takes now, in percent of the usual, or zero.
	Pace int
	// Replacement names the run that answered in place of the expected one, or is empty.
	Replacement string
}

// Identity is what an upstream says of itself.
type Identity struct {
	// Instance names the upstream's run.
	Instance string
	// Slots is how many requests it runs at a time.
	Slots int
}

// Protocol is how a guard speaks to its upstream.
type Protocol interface {
	// Request completes the headers of a request for an attempt; original are the
	// headers as they came.
	Request(h, original http.Header, attempt Attempt)
	// Belongs reports whether an answer is for the request.
	Belongs(resp *http.Response, req *http.Request) bool
	// Judge returns what the answer's head says.
	Judge(resp *http.Response) Verdict
	// Identify returns what the answer of the health endpoint says of the upstream. One that
	// is not well, or doesn't say, is an error.
	Identify(resp *http.Response) (Identity, error)
	// Whole reports whether answers are passed on only once they are complete, and then
	// at once: nothing else is waited for.
	Whole() bool
}

// nativeProtocol is the node's own protocol for upstreams.
type nativeProtocol struct{}

// Request adds the attempt and what the upstream may pass on in calls of its own.
func (nativeProtocol) Request(h, original http.Header, attempt Attempt) {
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

// Belongs takes answers that echo no attempt, as not every upstream does.
func (nativeProtocol) Belongs(resp *http.Response, req *http.Request) bool {
	echoed := resp.Header.Get(peer.HeaderAttempt)
	return echoed == "" || echoed == req.Header.Get(peer.HeaderAttempt)
}

// Judge takes every answer for one of the request.
func (nativeProtocol) Judge(*http.Response) Verdict { return Verdict{Outcome: reducer.OutcomeRan} }

// Identify takes no answer: an upstream announces itself.
func (nativeProtocol) Identify(*http.Response) (Identity, error) { return Identity{}, errNoIdentity }

var errNoIdentity = errors.New("the health endpoint names no upstream; it announces itself")

// Whole passes answers on as they come.
func (nativeProtocol) Whole() bool { return false }
