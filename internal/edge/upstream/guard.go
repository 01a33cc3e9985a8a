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
	"github.com/tanagerline/tanagerline/internal/mesh/peer"
)

const (
	livenessDialTimeout = 200 * time.Millisecond
	maxDrainedBytes  = 64 << 10
	crashNoticeTimeout    = time.Second
	crashNoticePollInterval         = 2 * time.Millisecond
	// disconnectWait is how long after a body the close of its connection may come: a few
	// packets of other requests over 10 Mbit/s.
	disconnectWait = 5 * time.Millisecond
	// maxBufferedBodyBytes is the longest body that is read before its attempt starts: the most
	// that entries keep for another attempt.
	maxBufferedBodyBytes = 1 << 20
	// maxStoredAnswerBytes bounds one answer that is kept for resends.
	maxStoredAnswerBytes = 64 << 10
)

// Guard runs attempts on the upstream of this VM; its exported fields are set
// before Prepare.
type Guard struct {
	// Loop decides when an attempt may run.
	Loop *loop.Loop
	// Telling counts the peers that are being told of a crash just now.
	Telling func() int64

	// Protocol is how the upstream is spoken to; nil is the node's own protocol.
	Protocol Protocol

	pool atomic.Pointer[pool]
}

// Prepare readies the guard; it must be called once before any other method.
func (g *Guard) Prepare() {
	g.pool.Store(newPool(0))
	if g.Protocol == nil {
		g.Protocol = nativeProtocol{}
	}
}

// LimitConnections bounds the connections to the upstream; zero sets no bound.
func (g *Guard) LimitConnections(connections int) {
	if g.pool.Load().maxInUse != connections {
		g.pool.Swap(newPool(connections)).closeIdle()
	}
}

// RoundTrip runs one attempt, waiting for its turn. A refusal is an answer with
// the outcome "not-run"; an error means that the attempt may have run.
func (g *Guard) RoundTrip(req *http.Request) (*http.Response, error) {
	mailbox := g.Loop.OpenWork()
	arrived, ok := g.parseAttempt(mailbox.ID(), req)
	if !ok {
		g.Loop.CloseWork(mailbox)
		return g.refusal(req, reducer.RefusalMalformed), nil
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
		return g.refusal(req, e.Reason), nil
	default:
		g.Loop.CloseWork(mailbox)
		return g.refusal(req, reducer.RefusalDeadline), nil
	}
}

// parseAttempt reads an attempt from its headers; it is false when one is malformed.
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
		Replay: h.Get(peer.HeaderReplay) != "", Impatient: h.Get(peer.HeaderImpatient) != "",
		Objective: g.objective(h), RequestID: h.Get(peer.HeaderRequest), BodyBytes: g.bufferableBodyBytes(req),
		Repeat: h.Get(peer.HeaderRepeat) != "",
	}, true
}

// bufferableBodyBytes is the length of a body that is sent once it is asked for and that fits into
// memory, or zero.
func (g *Guard) bufferableBodyBytes(req *http.Request) int64 {
	if !g.Protocol.Whole() || req.Header.Get("Expect") == "" || req.ContentLength > maxBufferedBodyBytes {
		return 0
	}
	return max(0, req.ContentLength)
}

// objective returns when an answer loses most of its worth, or zero.
func (g *Guard) objective(h http.Header) time.Time {
	remaining, err := time.ParseDuration(h.Get(peer.HeaderObjective))
	if err != nil {
		// The attempt comes without an objective.
		return time.Time{}
	}
	return g.Loop.Clock().Add(remaining)
}

// awaitDecision returns the decision on an attempt, and reads its body when that is asked for.
// When the requester leaves or the deadline passes first, the attempt is taken back.
func (g *Guard) awaitDecision(req *http.Request, mailbox *loop.WorkMailbox, deadline time.Time) reducer.WorkEffect {
	ctx, cancel := g.Loop.WithDeadline(req.Context(), deadline)
	defer cancel()
	var body <-chan io.ReadCloser
	for {
		select {
		case effect := <-mailbox.Effects():
			if _, wanted := effect.(reducer.TakeBody); !wanted {
				return effect
			}
			body = readBody(req)
		case taken := <-body:
			if taken == nil || !stillConnected(ctx) {
				return g.withdraw(mailbox)
			}
			body = nil
			req.Body = taken
			g.Loop.Do(reducer.BodyTaken{Work: mailbox.ID()})
		case <-ctx.Done():
			return g.withdraw(mailbox)
		}
	}
}

// withdraw ends an attempt that waits; a decision that was already made still counts.
func (g *Guard) withdraw(mailbox *loop.WorkMailbox) reducer.WorkEffect {
	g.Loop.Do(reducer.WorkLeft{Work: mailbox.ID()})
	for {
		select {
		case effect := <-mailbox.Effects():
			if _, wanted := effect.(reducer.TakeBody); !wanted {
				return effect
			}
		default:
			return nil
		}
	}
}

// stillConnected reports whether a requester is still there a moment after its body. One that left
// while the body was on the way has closed its connection right behind it.
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

// readBody reads a request's body into memory and hands it over, or nil when its requester
// broke it off.
func readBody(req *http.Request) <-chan io.ReadCloser {
	taken := make(chan io.ReadCloser, 1)
	body, length := req.Body, req.ContentLength
	go func() {
		data := make([]byte, length)
		if _, err := io.ReadFull(body, data); err != nil {
			taken <- nil
			return
		}
		taken <- io.NopCloser(bytes.NewReader(data))
	}()
	return taken
}

// run sends a started attempt to the upstream.
func (g *Guard) run(
	req *http.Request, mailbox *loop.WorkMailbox, arrived reducer.WorkArrived, start reducer.StartWork,
	waited time.Duration,
) (*http.Response, error) {
	r := &runningAttempt{guard: g, mailbox: mailbox, arrived: arrived, address: start.Upstream}
	ctx, cancel := g.Loop.WithDeadline(req.Context(), arrived.Deadline)
	r.cancel = cancel
	out := g.newUpstreamRequest(req, arrived, start).WithContext(ctx)
	resp, err := r.send(out)
	if err != nil {
		return r.fail(ctx, req, err)
	}
	verdict := g.Protocol.Judge(resp)
	r.pacePercent = verdict.Pace
	switch {
	case verdict.Replacement != "":
		r.discard(resp)
		g.Loop.Do(reducer.UpstreamReplaced{Instance: verdict.Replacement})
		r.endWork(reducer.OutcomeNotRun, nil)
		return g.refusal(req, reducer.RefusalNoUpstream), nil
	case verdict.Outcome == reducer.OutcomeNotRun:
		r.discard(resp)
		r.endWork(reducer.OutcomeNotRun, nil)
		return g.refusal(req, reducer.RefusalShed), nil
	case verdict.Outcome == reducer.OutcomeUnknown:
		r.discard(resp)
		r.endWork(reducer.OutcomeUnknown, nil)
		return g.unknownOutcome(req, arrived.Attempt), nil
	}
	if g.Protocol.Whole() {
		if err := peer.ReadWhole(resp); err != nil {
			return r.fail(ctx, req, err)
		}
	}
	resp.Header = peer.EndToEnd(resp.Header)
	resp.Header[peer.HeaderUpstream] = []string{start.Upstream}
	r.setAnswer(resp)
	if g.Protocol.Whole() {
		r.endWork(reducer.OutcomeRan, r.bufferAnswer())
	}
	g.setReportHeaders(resp.Header, arrived.Attempt, reducer.OutcomeRan, waited)
	resp.Body = r
	return resp, nil
}

// newUpstreamRequest is the attempt's request as the upstream gets it.
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
		// An empty value keeps the library from adding its own.
		out.Header["User-Agent"] = []string{""}
	}
	// Nodes use Expect between themselves; the attempt is admitted by now.
	delete(out.Header, "Expect")
	g.Protocol.Request(out.Header, req.Header, Attempt{
		ID: arrived.Attempt, Instance: start.Instance, Remaining: arrived.Deadline.Sub(g.Loop.Clock()),
	})
	return out
}

// setReportHeaders adds what every answer of a guard carries.
func (g *Guard) setReportHeaders(h http.Header, attempt reducer.AttemptID, outcome reducer.Outcome, waited time.Duration) {
	var load reducer.LoadReport
	g.Loop.Inspect(func(r *reducer.Reducer) { load = r.LoadReport() })
	h[peer.HeaderAttempt] = []string{string(attempt)}
	h[peer.HeaderLoad] = []string{load.WithWait(waited).String()}
	h[peer.HeaderOutcome] = []string{string(outcome)}
}

func (g *Guard) refusal(req *http.Request, reason reducer.RefusalReason) *http.Response {
	resp := g.newAnswer(req, http.StatusServiceUnavailable, nil)
	g.setReportHeaders(resp.Header, reducer.AttemptID(req.Header.Get(peer.HeaderAttempt)), reducer.OutcomeNotRun, 0)
	resp.Header[peer.HeaderReason] = []string{string(reason)}
	return resp
}

// unknownOutcome is the answer for an attempt that was dispatched and whose own answer
// is lost.
func (g *Guard) unknownOutcome(req *http.Request, attempt reducer.AttemptID) *http.Response {
	resp := g.newAnswer(req, http.StatusBadGateway, nil)
	g.setReportHeaders(resp.Header, attempt, reducer.OutcomeUnknown, 0)
	var crash uint64
	g.Loop.Inspect(func(r *reducer.Reducer) { crash = r.Crash() })
	if crash != 0 {
		resp.Header[peer.HeaderCrash] = []string{strconv.FormatUint(crash, 16)}
	}
	return resp
}

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
