package caller

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/tanagerline/tanagerline/internal/decision/loop"
	"github.com/tanagerline/tanagerline/internal/decision/reducer"
	"github.com/tanagerline/tanagerline/internal/edge/budget"
	"github.com/tanagerline/tanagerline/internal/edge/http1"
	"github.com/tanagerline/tanagerline/internal/edge/pipeline"
	"github.com/tanagerline/tanagerline/internal/mesh/peer"
)

// expectContinueThreshold is the longest body, in bytes, that is sent without waiting for
// 100 Continue. Up to this size, the extra round trip costs more than sending a body that
// is then refused.
const expectContinueThreshold = 16 << 10

// settler queries guards about attempts with an unknown outcome.
type settler interface {
	// Settle returns the outcome of an attempt, or OutcomeUnknown if the guard does not answer.
	Settle(ctx context.Context, settle reducer.SettleAttempt) reducer.Outcome
}

// exchange executes the reducer's effects for one call. resp is the answer to relay.
type exchange struct {
	entry   *Entry
	writer  http.ResponseWriter
	req     *http.Request
	body    *requestBody
	answers *budget.Account
	mailbox *loop.CallMailbox
	ctx     context.Context
	resp    *http.Response

	fingerprint uint64
	// hedging runs the attempts of a call that may be hedged, or is nil.
	hedging *hedgedAttempts
}

// run submits the call to the loop and executes its effects until the call is over.
func (x *exchange) run(arrived reducer.CallArrived) {
	// The call is not canceled with the caller's request: a resend with the same key may wait
	// for its answer.
	ctx, cancel := context.WithCancel(context.WithoutCancel(x.req.Context()))
	defer cancel()
	x.ctx = ctx
	x.body.setAbort(cancel)
	x.mailbox = x.entry.Loop.OpenCall(cancel)
	defer x.entry.Loop.CloseCall(x.mailbox)
	arrived.Call = x.mailbox.ID()
	x.entry.Loop.Do(arrived)
	stop := context.AfterFunc(x.req.Context(), func() {
		x.entry.Loop.Do(reducer.CallerLeft{Call: x.mailbox.ID()})
	})
	defer stop()
	// The write deadline keeps a caller that does not read its answer from occupying a slot.
	controller := http.NewResponseController(x.writer)
	remaining := x.entry.Loop.CallDeadline(x.mailbox).Sub(x.entry.Loop.Clock())
	_ = controller.SetWriteDeadline(time.Now().Add(remaining + answerWriteGrace))
	defer func() { _ = controller.SetWriteDeadline(time.Time{}) }()
	defer x.closeHedged()
	for !x.applyEffect(x.nextEffect()) {
		continue
	}
}

// nextEffect returns the call's next effect, or nil when the caller has left or the
// deadline passed without an effect.
func (x *exchange) nextEffect() reducer.CallEffect {
	select {
	case effect := <-x.mailbox.Effects():
		return effect
	default:
	}
	if x.hedging.inFlight() {
		return x.nextHedgedEffect()
	}
	expires := x.entry.Loop.CallDeadline(x.mailbox)
	timer := time.NewTimer(expires.Sub(x.entry.Loop.Clock()))
	defer timer.Stop()
	select {
	case effect := <-x.mailbox.Effects():
		return effect
	case <-x.req.Context().Done():
		return nil
	case <-timer.C:
	}
	return x.expire()
}

// expire reports that the call's deadline has passed, and returns the effect that follows, or nil.
func (x *exchange) expire() reducer.CallEffect {
	x.entry.Loop.Do(reducer.CallExpired{Call: x.mailbox.ID()})
	select {
	case effect := <-x.mailbox.Effects():
		return effect
	default:
		return nil
	}
}

// applyEffect executes one effect and reports whether the call is over. A nil effect gives the
// call up.
func (x *exchange) applyEffect(effect reducer.CallEffect) bool {
	switch e := effect.(type) {
	case reducer.SendAttempt:
		if e.Hedge || !e.HedgeAt.IsZero() {
			x.startHedged(e)
			return false
		}
		x.sendAttempt(e)
		return false
	case reducer.PostponeHedge:
		x.hedging.postpone(e)
		return false
	case reducer.CancelAttempt:
		x.hedging.cancel(e.Attempt)
		return false
	case reducer.SettleAttempt:
		x.settleAttempt(e)
		return false
	case reducer.ForwardCall:
		return x.forwardCall(e)
	case reducer.RelayAnswer:
		x.takeHedgedAnswer(e.Attempt)
		x.relayAnswer(e)
		return true
	case reducer.RejectCall:
		if !x.body.fullyBuffered {
			// The server doesn't read the rest of a long body.
			x.writer.Header().Set("Connection", "close")
		}
		x.entry.Protocol.Reject(x.writer, x.req, e, "")
		return true
	default:
		// net/http would complete the answer of a handler that returns: as an empty one with status 200. Not
		// only callers that left read it, but also those that merely ended their own side of the connection.
		panic(http.ErrAbortHandler)
	}
}

// sendAttempt sends one attempt and reports its result to the reducer.
func (x *exchange) sendAttempt(e reducer.SendAttempt) {
	result := x.runAttempt(x.ctx, e)
	if result.resp != nil {
		x.resp = result.resp
	}
	x.entry.Loop.Do(result.event)
}

// newRequest returns the caller's request as sent to the target node.
func (x *exchange) newRequest(target reducer.NodeID, deadline time.Time, retries int) *http.Request {
	out := &http.Request{
		Method: x.req.Method, Host: x.req.Host, URL: x.url(target),
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: peer.EndToEnd(x.req.Header), ContentLength: x.body.length, Trailer: x.req.Trailer,
		Body: peer.SingleUse(x.req.Method, x.body.length, x.body.newReader()),
	}
	h := out.Header
	delete(h, "Expect")
	if !x.body.fullyBuffered || (x.body.length > expectContinueThreshold && target != x.entry.Self) {
		// The guard decides before the body is sent, so a refused attempt transfers none.
		h["Expect"] = []string{"100-continue"}
	}
	h[peer.HeaderTimeout] = []string{deadline.Sub(x.entry.Loop.Clock()).String()}
	h[peer.HeaderRetries] = []string{strconv.Itoa(retries)}
	x.entry.Protocol.SetRequestHeaders(h, x.req)
	peer.PreventRepeats(h)
	return out
}

func (x *exchange) url(target reducer.NodeID) *url.URL {
	u := *x.req.URL
	u.Scheme = x.entry.Mesh.Scheme()
	u.Host = target.Address()
	return &u
}

// settleAttempt asks the guard for the outcome of an attempt whose answer was lost.
func (x *exchange) settleAttempt(e reducer.SettleAttempt) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(x.ctx), settleTimeout)
	defer cancel()
	outcome := x.entry.Mesh.Settle(ctx, e)
	x.entry.Loop.Do(reducer.AttemptSettled{
		Call: e.Call, Attempt: e.Attempt, Outcome: outcome, BodySpent: x.body.endAttempt(),
	})
}

// forwardCall forwards the call to the home of its key and reports whether the call is over.
func (x *exchange) forwardCall(e reducer.ForwardCall) bool {
	// The home answers by the deadline itself and knows the outcome, so this entry
	// waits slightly longer.
	ctx, cancel := x.entry.Loop.WithDeadline(x.ctx, e.Deadline.Add(homeAnswerGrace))
	defer cancel()
	traced, connected := peer.TraceConnection(ctx)
	out := x.newRequest(e.Target, e.Deadline, 0).WithContext(traced)
	h := out.Header
	h[peer.HeaderHome] = []string{strconv.FormatUint(e.Target.Incarnation(), 16)}
	h[peer.HeaderFingerprint] = []string{strconv.FormatUint(x.fingerprint, 16)}
	peer.SetKey(h, e.Key)
	// The home needs these headers as the caller sent them; newRequest drops or replaces them.
	for _, name := range []string{peer.HeaderKind, peer.HeaderFirstSent, peer.HeaderRetries} {
		delete(h, name)
		if values := x.req.Header[name]; len(values) > 0 {
			h[name] = values
		}
	}
	resp, err := x.entry.Mesh.CallTransport(reducer.LengthShort).RoundTrip(out)
	if err != nil {
		x.entry.Loop.Do(reducer.HomeLost{Call: e.Call, Sent: connected.Load()})
		return false
	}
	if http1.CheckResponse(resp) != nil {
		_ = resp.Body.Close()
		x.entry.Loop.Do(reducer.HomeLost{Call: e.Call, Sent: true})
		return false
	}
	if resp.Header.Get(peer.HeaderNotHome) != "" {
		drain(resp)
		if x.body.endAttempt() {
			x.entry.Loop.Do(reducer.HomeLost{Call: e.Call, Sent: true})
			return false
		}
		x.entry.Loop.Do(reducer.HomeRefused{Call: e.Call})
		return false
	}
	x.resp = resp
	outcome := reducer.Outcome(resp.Header.Get(peer.HeaderOutcome))
	x.copyAnswer(homeAnswerHeaders(resp.Header), func(_ int64, whole bool) {
		x.entry.Loop.Do(reducer.HomeAnswered{
			Call: e.Call, Good: whole && outcome == reducer.OutcomeRan && resp.StatusCode < http.StatusInternalServerError,
		})
	})
	return true
}

// homeAnswerHeaders returns the headers of the home's answer that are sent to the caller.
func homeAnswerHeaders(h http.Header) http.Header {
	out := peer.EndToEnd(h)
	for _, name := range []string{peer.HeaderAttempt, peer.HeaderKey, peer.HeaderOutcome, peer.HeaderUpstream} {
		if values := h[name]; len(values) > 0 {
			out[name] = values
		}
	}
	return out
}

// relayAnswer sends the attempt's answer to the caller.
func (x *exchange) relayAnswer(e reducer.RelayAnswer) {
	header := peer.EndToEnd(x.resp.Header)
	if upstream := x.resp.Header[peer.HeaderUpstream]; len(upstream) > 0 && !x.entry.Protocol.BuffersAnswers() {
		header[peer.HeaderUpstream] = upstream
	}
	x.entry.Protocol.SetAnswerHeaders(header, e)
	x.copyAnswer(header, func(answerBytes int64, whole bool) {
		x.entry.Loop.Do(reducer.AnswerEnded{
			Call: e.Call, Attempt: e.Attempt, Whole: whole,
			// ContentLength is negative if unknown.
			Bytes: answerBytes + max(0, x.req.ContentLength),
		})
	})
}

// drawAnswer draws the memory of a buffered answer, which is held until the caller has read it. Without room for
// it, the caller's connection must be closed: the request has run.
func (x *exchange) drawAnswer() error {
	length := x.resp.ContentLength
	if !x.entry.Protocol.BuffersAnswers() || length <= 0 || x.req.Method == http.MethodHead ||
		pipeline.ExpectContent(x.writer, length) {
		return nil
	}
	return x.answers.DrawAnswer(length)
}

// showLength gives the answer to a client of HTTP/1.0 a length, because such a client knows no chunks and
// could not tell an answer that breaks off. It returns an error if the answer can't be read to its end.
func (x *exchange) showLength() error {
	switch {
	case x.req.ProtoAtLeast(1, 1), x.req.Method == http.MethodHead,
		x.resp.StatusCode == http.StatusNoContent, x.resp.StatusCode == http.StatusNotModified:
		return nil
	}
	if err := peer.ReadWhole(x.resp); err != nil {
		return err
	}
	x.resp.Header["Content-Length"] = []string{strconv.FormatInt(x.resp.ContentLength, 10)}
	return nil
}

// copyAnswer writes the answer in x.resp to the caller and reports its length in bytes and
// whether it was complete. If the answer is truncated, the caller's connection is aborted
// so that the caller can't take it for a complete one.
func (x *exchange) copyAnswer(header http.Header, ended func(answerBytes int64, whole bool)) {
	defer func() { _ = x.resp.Body.Close() }()
	x.resp.Header = header
	if x.req.Context().Err() != nil {
		// The caller left, but a resend with the same key may wait for the answer.
		n, err := io.Copy(io.Discard, x.resp.Body)
		ended(n, err == nil)
		panic(http.ErrAbortHandler)
	}
	if err := x.drawAnswer(); err != nil {
		n, err := io.Copy(io.Discard, x.resp.Body)
		ended(n, err == nil)
		panic(http.ErrAbortHandler)
	}
	if err := x.showLength(); err != nil {
		ended(0, false)
		panic(http.ErrAbortHandler)
	}
	peer.WriteHead(x.writer, x.resp)
	n, err := peer.RelayBody(x.writer, x.resp)
	ended(n, err == nil)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
}
