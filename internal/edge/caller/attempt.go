package caller

import (
	"context"
	"io"
	"net/http"
	"strconv"

	"github.com/tanagerline/tanagerline/internal/decision/reducer"
	"github.com/tanagerline/tanagerline/internal/edge/http1"
	"github.com/tanagerline/tanagerline/internal/mesh/peer"
)

// attemptResult is the result of an attempt: the event that reports it, and the answer or nil.
type attemptResult struct {
	event reducer.Event
	resp  *http.Response
}

// runAttempt sends one attempt and returns its result.
func (x *exchange) runAttempt(ctx context.Context, e reducer.SendAttempt) attemptResult {
	ctx, cancel := x.entry.Loop.WithDeadline(ctx, e.Deadline)
	traced, connected := peer.TraceConnection(ctx)
	out := x.newRequest(e.Target, e.Deadline, e.Retries).WithContext(traced)
	h := out.Header
	if e.HideCredentials {
		x.entry.Protocol.SetTenant(h, e.Tenant)
		x.hideInTrailer(out)
	}
	h[peer.HeaderAttempt] = []string{string(e.Attempt)}
	h[peer.HeaderFingerprint] = []string{strconv.FormatUint(e.Fingerprint, 16)}
	h[peer.HeaderKind] = []string{e.Kind}
	h[peer.HeaderLength] = []string{string(e.Length)}
	if e.Service != "" {
		h[peer.HeaderService] = []string{e.Service}
	}
	if e.RequestID != "" {
		h[peer.HeaderRequest] = []string{e.RequestID}
	}
	if !e.Objective.IsZero() {
		h[peer.HeaderObjective] = []string{e.Objective.Sub(x.entry.Loop.Clock()).String()}
	}
	h[peer.HeaderTo] = []string{strconv.FormatUint(e.Target.Incarnation(), 16)}
	if e.Key != "" {
		h[peer.HeaderKey] = []string{e.Key}
	}
	if e.Keyed {
		h[peer.HeaderKeyed] = []string{"1"}
	}
	if e.RefuseIfBusy {
		h[peer.HeaderImpatient] = []string{"1"}
	}
	if e.Repeat {
		h[peer.HeaderRepeat] = []string{"1"}
	}
	if e.Replay {
		// A replay only fetches a stored answer, so it needs no body.
		h[peer.HeaderReplay] = []string{"1"}
		out.ContentLength = 0
		out.Body = peer.SingleUse(out.Method, 0, http.NoBody)
		delete(h, "Expect")
	}
	var transport http.RoundTripper
	if e.Target == x.entry.Self {
		transport = x.entry.Guard
		connected.Store(true)
	} else {
		transport = x.entry.Mesh.CallTransport(e.Length)
	}
	resp, err := transport.RoundTrip(out)
	if err != nil {
		cancel()
		return attemptResult{event: reducer.AttemptLost{
			Call: e.Call, Attempt: e.Attempt, Sent: connected.Load(), BodySpent: x.body.endAttempt(),
		}}
	}
	resp.Body = &cancelingBody{ReadCloser: resp.Body, cancel: cancel}
	return x.classifyAnswer(e, resp)
}

// classifyAnswer returns the result of an attempt that got an answer.
func (x *exchange) classifyAnswer(e reducer.SendAttempt, resp *http.Response) attemptResult {
	if resp.Header.Get(peer.HeaderAttempt) != string(e.Attempt) || http1.CheckResponse(resp) != nil {
		// The answer is not the guard's answer to this attempt, so the outcome is unknown.
		_ = resp.Body.Close()
		return attemptResult{event: reducer.AttemptLost{
			Call: e.Call, Attempt: e.Attempt, Sent: true, BodySpent: x.body.endAttempt(),
		}}
	}
	load, err := reducer.ParseLoadReport(resp.Header.Get(peer.HeaderLoad))
	if err != nil {
		load = reducer.LoadReport{}
	}
	reason := reducer.RefusalReason(resp.Header.Get(peer.HeaderReason))
	switch outcome := reducer.Outcome(resp.Header.Get(peer.HeaderOutcome)); {
	case outcome == reducer.OutcomeRan:
		if x.entry.Protocol.BuffersAnswers() && peer.ReadWhole(resp) != nil {
			// A truncated answer may be retried: nothing of it has been sent to the caller.
			return attemptResult{event: reducer.AttemptLost{
				Call: e.Call, Attempt: e.Attempt, Sent: true, BodySpent: x.body.endAttempt(),
			}}
		}
		return attemptResult{resp: resp, event: reducer.AttemptAnswered{
			Call: e.Call, Attempt: e.Attempt, Status: resp.StatusCode, Load: load,
		}}
	case outcome == reducer.OutcomeNotRun, e.Replay && reason != "":
		// A refused replay has a reason, too, whatever became of the attempt.
		drain(resp)
		return attemptResult{event: reducer.AttemptRefused{
			Call: e.Call, Attempt: e.Attempt, Load: load, BodySpent: x.body.endAttempt(), Reason: reason,
		}}
	default:
		drain(resp)
		crash, err := strconv.ParseUint(resp.Header.Get(peer.HeaderCrash), 16, 64)
		if err != nil {
			crash = 0
		}
		return attemptResult{event: reducer.AttemptLost{
			Call: e.Call, Attempt: e.Attempt, Sent: true, Dispatched: true, Crash: crash, BodySpent: x.body.endAttempt(),
		}}
	}
}

// drain reads a short answer to its end so that its connection can be reused.
func drain(resp *http.Response) {
	const maxDrainedBytes = 4 << 10
	_, _ = io.CopyN(io.Discard, resp.Body, maxDrainedBytes)
	_ = resp.Body.Close()
}

// cancelingBody cancels the attempt's context when the answer's body is closed.
type cancelingBody struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close closes the answer's body and cancels its attempt.
func (b *cancelingBody) Close() error {
	err := b.ReadCloser.Close()
	b.cancel()
	return err
}
