package upstream

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/tanagerline/tanagerline/internal/decision/loop"
	"github.com/tanagerline/tanagerline/internal/decision/reducer"
	"github.com/tanagerline/tanagerline/internal/edge/budget"
	"github.com/tanagerline/tanagerline/internal/mesh/peer"
)

const (
	// livenessDialTimeout limits the dial that checks whether the upstream still listens.
	livenessDialTimeout = 200 * time.Millisecond
	// maxDrainedBytes limits how much of an unused answer's body is read so that its
	// connection can be reused.
	maxDrainedBytes = 64 << 10
	// crashNoticeTimeout limits the wait for the peers to learn of a crash.
	crashNoticeTimeout = time.Second
	// crashNoticePollInterval is the interval at which that wait checks for its end.
	crashNoticePollInterval = 2 * time.Millisecond
	// disconnectWait is how long after a body the close of its connection can still arrive:
	// on a link of 10 Mbit/s, a few packets of other requests can come between them.
	disconnectWait = 5 * time.Millisecond
	// maxBufferedBodyBytes is the longest request body that is read into memory before its
	// attempt starts. The entries' limit on bodies that they buffer for retries is the
	// setting kept_body_bytes, independent of this one.
	maxBufferedBodyBytes = 1 << 20
	// maxStoredAnswerBytes limits the body of one answer that is stored for resends.
	maxStoredAnswerBytes = 64 << 10
)

// Guard admits attempts and runs them on the upstream of this VM. Its exported fields must
// be set before Prepare.
type Guard struct {
	// Loop decides when an attempt may run.
	Loop *loop.Loop
	// PendingCrashNotices returns the number of peers that are being notified of a crash at the moment.
	PendingCrashNotices func() int64

	// Protocol formats requests and interprets answers; nil selects the native protocol.
	Protocol Protocol

	pool atomic.Pointer[pool]
}

// Prepare sets the defaults; it must be called once before any other method.
func (g *Guard) Prepare() {
	g.pool.Store(newPool(0))
	if g.Protocol == nil {
		g.Protocol = nativeProtocol{}
	}
}

// LimitConnections limits the connections in use to the upstream; zero means no limit. A
// changed limit replaces the pool and closes its idle connections.
func (g *Guard) LimitConnections(connections int) {
	if g.pool.Load().maxInUse != connections {
		g.pool.Swap(newPool(connections)).closeIdle()
	}
}

// RoundTrip waits until an attempt is admitted and runs it. Failures are answers, too: an attempt
// that has not run and never will has the outcome not-run, one that may have run the outcome unknown.
// The returned error is always nil.
func (g *Guard) RoundTrip(req *http.Request) (*http.Response, error) {
	mailbox := g.Loop.OpenWork()
	arrived, ok := g.parseAttempt(mailbox.ID(), req)
	if !ok {
		g.Loop.CloseWork(mailbox)
		return g.refusal(req, reducer.RefusalMalformed, reducer.OutcomeNotRun), nil
	}
	g.Loop.Do(arrived)
	arrivedAt := g.Loop.Clock()
	effect := g.awaitDecision(req, mailbox, arrived.Deadline)
	switch e := effect.(type) {
	case reducer.StartWork:
		waited := g.Loop.Clock().Sub(arrivedAt)
		return g.run(req, mailbox, arrived, e, waited)
	case reducer.ReplayWork:
		g.Loop.CloseWork(mailbox)
		return g.replayedAnswer(req, e.Answer), nil
	case reducer.RefuseWork:
		g.Loop.CloseWork(mailbox)
		return g.refusal(req, e.Reason, e.Outcome), nil
	default:
		g.Loop.CloseWork(mailbox)
		return g.unknownOutcome(req, arrived.Attempt), nil
	}
}

// parseAttempt parses an attempt from the request's headers. It returns false if a header
// is malformed or missing.
func (g *Guard) parseAttempt(id reducer.WorkID, req *http.Request) (reducer.WorkArrived, bool) {
	h := req.Header
	to, toErr := strconv.ParseUint(h.Get(peer.HeaderTo), 16, 64)
	remaining, remainingErr := time.ParseDuration(h.Get(peer.HeaderTimeout))
	fingerprint, fingerprintErr := strconv.ParseUint(h.Get(peer.HeaderFingerprint), 16, 64)
	if errors.Join(toErr, remainingErr, fingerprintErr) != nil || h.Get(peer.HeaderAttempt) == "" {
		return reducer.WorkArrived{}, false
	}
	return reducer.WorkArrived{
		Work: id, Attempt: reducer.AttemptID(h.Get(peer.HeaderAttempt)), To: to,
		Service: h.Get(peer.HeaderService), Kind: h.Get(peer.HeaderKind),
		Key:    h.Get(peer.HeaderKey),
		Length: reducer.Length(h.Get(peer.HeaderLength)), Keyed: h.Get(peer.HeaderKeyed) != "",
		Deadline: g.Loop.Clock().Add(remaining), Fingerprint: fingerprint,
		Replay: h.Get(peer.HeaderReplay) != "", RefuseIfBusy: h.Get(peer.HeaderImpatient) != "",
		Objective: g.objective(h), RequestID: h.Get(peer.HeaderRequest), BodyBytes: g.bufferableBodyBytes(req),
		Repeat: h.Get(peer.HeaderRepeat) != "",
	}, true
}

// bufferableBodyBytes returns the length in bytes of a body that can be read before its attempt
// starts: its sender waits for 100 Continue and it fits maxBufferedBodyBytes. Otherwise it
// returns zero.
func (g *Guard) bufferableBodyBytes(req *http.Request) int64 {
	if !g.Protocol.BuffersAnswers() || req.Header.Get("Expect") == "" || req.ContentLength > maxBufferedBodyBytes {
		return 0
	}
	return max(0, req.ContentLength)
}

// objective returns the time after which an answer has lost most of its value, or the zero
// time if the attempt has no objective.
func (g *Guard) objective(h http.Header) time.Time {
	remaining, err := time.ParseDuration(h.Get(peer.HeaderObjective))
	if err != nil {
		// The header is optional.
		return time.Time{}
	}
	return g.Loop.Clock().Add(remaining)
}

// awaitDecision returns the reducer's decision on an attempt. Meanwhile it reads the body if the
// reducer asks for it. If the requester disconnects or the deadline passes first, it withdraws
// the attempt.
func (g *Guard) awaitDecision(req *http.Request, mailbox *loop.WorkMailbox, deadline time.Time) reducer.WorkEffect {
	ctx, cancel := g.Loop.WithDeadline(req.Context(), deadline)
	defer cancel()
	var body <-chan io.ReadCloser
	for {
		select {
		case effect := <-mailbox.Effects():
			if _, bodyRequested := effect.(reducer.RequestBody); !bodyRequested {
				return effect
			}
			account := budget.Open(req.Context())
			// The body is kept until the attempt ends, and with it the context of the request.
			context.AfterFunc(req.Context(), account.Release)
			body = readBody(req, account)
		case buffered := <-body:
			if buffered == nil || !stillConnected(ctx) {
				return g.withdraw(mailbox)
			}
			body = nil
			req.Body = buffered
			g.Loop.Do(reducer.BodyReceived{Work: mailbox.ID()})
		case <-ctx.Done():
			return g.withdraw(mailbox)
		}
	}
}

// withdraw withdraws a waiting attempt and returns the decision, which may have been made before, or
// nil if there is none.
func (g *Guard) withdraw(mailbox *loop.WorkMailbox) reducer.WorkEffect {
	g.Loop.Do(reducer.WorkLeft{Work: mailbox.ID()})
	for {
		select {
		case effect := <-mailbox.Effects():
			if _, bodyRequested := effect.(reducer.RequestBody); !bodyRequested {
				return effect
			}
		default:
			return nil
		}
	}
}

// stillConnected reports whether a requester is still connected disconnectWait after its body. If
// the requester disconnected while the body was in transit, the close arrives right after it.
func stillConnected(ctx context.Context) bool {
	timer := time.NewTimer(disconnectWait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// readBody reads a request's body into memory, drawn from the account, in the background. The returned
// channel receives the buffered body, or nil if reading it failed.
func readBody(req *http.Request, account *budget.Account) <-chan io.ReadCloser {
	result := make(chan io.ReadCloser, 1)
	body, length := req.Body, req.ContentLength
	go func() {
		data, err := account.ReadAll(body, length, &budget.Pace{})
		if err != nil || int64(len(data)) < length {
			result <- nil
			return
		}
		result <- io.NopCloser(bytes.NewReader(data))
	}()
	return result
}

// run sends an admitted attempt to the upstream and returns its answer. waited is how long the
// attempt waited for its admission.
func (g *Guard) run(
	req *http.Request, mailbox *loop.WorkMailbox, arrived reducer.WorkArrived, start reducer.StartWork,
	waited time.Duration,
) (*http.Response, error) {
	r := &runningAttempt{guard: g, mailbox: mailbox, arrived: arrived, address: start.Upstream, cold: start.Cold}
	ctx, cancel := g.Loop.WithDeadline(req.Context(), arrived.Deadline)
	r.cancel = cancel
	out := g.newUpstreamRequest(req, arrived, start).WithContext(ctx)
	resp, err := r.send(out)
	if err != nil {
		return r.fail(ctx, req, err)
	}
	verdict := g.Protocol.ClassifyAnswer(resp)
	r.pacePercent = verdict.PacePercent
	r.status = resp.StatusCode
	if verdict.ReplacementInstance != "" {
		g.Loop.Do(reducer.UpstreamReplaced{Instance: verdict.ReplacementInstance})
	}
	switch {
	case verdict.Outcome == reducer.OutcomeNotRun && r.resent:
		// The statement is about the second copy only.
		r.discard(resp)
		r.endWork(reducer.OutcomeUnknown, reducer.BasisNoAnswer, nil)
		return g.unknownOutcome(req, arrived.Attempt), nil
	case verdict.ReplacementInstance != "":
		r.discard(resp)
		r.endWork(reducer.OutcomeNotRun, reducer.BasisOtherRun, nil)
		return g.refusal(req, reducer.RefusalNoUpstream, reducer.OutcomeNotRun), nil
	case verdict.Outcome == reducer.OutcomeNotRun:
		r.discard(resp)
		r.endWork(reducer.OutcomeNotRun, reducer.BasisRejected, nil)
		return g.refusal(req, reducer.RefusalShed, reducer.OutcomeNotRun), nil
	case verdict.Outcome == reducer.OutcomeUnknown, verdict.ClaimsNotRun && arrived.Keyed:
		r.discard(resp)
		r.endWork(reducer.OutcomeUnknown, reducer.BasisUnusableAnswer, nil)
		return g.unknownOutcome(req, arrived.Attempt), nil
	}
	if g.Protocol.BuffersAnswers() {
		if err := peer.ReadWhole(resp); err != nil {
			return r.fail(ctx, req, err)
		}
	}
	resp.Header = peer.EndToEnd(resp.Header)
	resp.Header[peer.HeaderUpstream] = []string{start.Upstream}
	r.setAnswer(resp)
	if g.Protocol.BuffersAnswers() {
		r.endWork(reducer.OutcomeRan, reducer.BasisAnswered, r.bufferAnswer())
	}
	g.setReportHeaders(resp.Header, arrived.Attempt, reducer.OutcomeRan, waited)
	resp.Body = r
	return resp, nil
}

// newUpstreamRequest returns the attempt's request as it is sent to the upstream.
func (g *Guard) newUpstreamRequest(req *http.Request, arrived reducer.WorkArrived, start reducer.StartWork) *http.Request {
	out := &http.Request{
		Method: req.Method, URL: upstreamURL(req, start.Upstream), Host: req.Host,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: peer.EndToEnd(req.Header), Body: req.Body,
		ContentLength: req.ContentLength, Trailer: req.Trailer,
	}
	if req.ContentLength == 0 {
		out.Body = http.NoBody
	}
	if out.Header.Get("User-Agent") == "" {
		// An empty value keeps net/http from adding its own User-Agent.
		out.Header["User-Agent"] = []string{""}
	}
	// Expect is meant for this guard, which has admitted the attempt by now.
	delete(out.Header, "Expect")
	g.Protocol.SetRequestHeaders(out.Header, req.Header, Attempt{
		ID: arrived.Attempt, Instance: start.Instance, Remaining: arrived.Deadline.Sub(g.Loop.Clock()),
	})
	return out
}

// setReportHeaders sets the headers that every answer of a guard carries: the attempt, the
// load, including how long the attempt waited, and the outcome.
func (g *Guard) setReportHeaders(h http.Header, attempt reducer.AttemptID, outcome reducer.Outcome, waited time.Duration) {
	var load reducer.LoadReport
	g.Loop.Inspect(func(r *reducer.Reducer) { load = r.LoadReport() })
	h[peer.HeaderAttempt] = []string{string(attempt)}
	h[peer.HeaderLoad] = []string{load.WithWait(waited).String()}
	h[peer.HeaderOutcome] = []string{string(outcome)}
}

// refusal returns a 503 answer with the reason and the outcome, which is not-run only if the attempt has
// not run and never will.
func (g *Guard) refusal(req *http.Request, reason reducer.RefusalReason, outcome reducer.Outcome) *http.Response {
	resp := g.newAnswer(req, http.StatusServiceUnavailable, nil)
	g.setReportHeaders(resp.Header, reducer.AttemptID(req.Header.Get(peer.HeaderAttempt)), outcome, 0)
	resp.Header[peer.HeaderReason] = []string{string(reason)}
	return resp
}

// unknownOutcome returns a 502 answer for an attempt that was sent to the upstream and whose
// answer was lost.
func (g *Guard) unknownOutcome(req *http.Request, attempt reducer.AttemptID) *http.Response {
	resp := g.newAnswer(req, http.StatusBadGateway, nil)
	g.setReportHeaders(resp.Header, attempt, reducer.OutcomeUnknown, 0)
	var crash uint64
	g.Loop.Inspect(func(r *reducer.Reducer) { crash = r.CrashID() })
	if crash != 0 {
		resp.Header[peer.HeaderCrash] = []string{strconv.FormatUint(crash, 16)}
	}
	return resp
}

// replayedAnswer returns the stored answer of an earlier attempt with the same key.
func (g *Guard) replayedAnswer(req *http.Request, stored *reducer.StoredAnswer) *http.Response {
	resp := g.newAnswer(req, stored.Status, stored.Body)
	peer.CopyHeaders(resp.Header, stored.Header)
	for name, values := range stored.Trailer {
		if resp.Trailer == nil {
			resp.Trailer = http.Header{}
		}
		resp.Trailer[name] = values
	}
	g.setReportHeaders(resp.Header, reducer.AttemptID(req.Header.Get(peer.HeaderAttempt)), reducer.OutcomeRan, 0)
	return resp
}

func (g *Guard) newAnswer(req *http.Request, status int, body []byte) *http.Response {
	return &http.Response{
		StatusCode: status, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Header: http.Header{},
		Body: io.NopCloser(bytes.NewReader(body)), ContentLength: int64(len(body)), Request: req,
	}
}
