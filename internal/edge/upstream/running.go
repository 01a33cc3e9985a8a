package upstream

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/tanagerline/tanagerline/internal/decision/loop"
	"github.com/tanagerline/tanagerline/internal/decision/reducer"
	"github.com/tanagerline/tanagerline/internal/edge/http1"
	"github.com/tanagerline/tanagerline/internal/mesh/peer"
)

// runningAttempt is an admitted attempt. As the body of its answer, it ends the attempt in the
// reducer when the answer ends.
type runningAttempt struct {
	guard   *Guard
	mailbox *loop.WorkMailbox
	arrived reducer.WorkArrived
	// address is the upstream's host:port.
	address string
	// cold means that the upstream may get the request only once.
	cold   bool
	cancel context.CancelFunc
	// connected reports that the request may have reached the upstream.
	connected bool
	// resent reports that the request was sent a second time, and that the first copy may have run.
	resent bool
	// pacePercent is AnswerClass.PacePercent.
	pacePercent int
	// status is the status of the upstream's answer, or zero without one.
	status int
	// skipped is the number of answers to other requests that came before this attempt's.
	skipped int
	// requesterLeft reports that the requester canceled the attempt before its deadline.
	requesterLeft bool

	resp *http.Response
	body io.ReadCloser
	// storedBody is the part of the answer's body read so far, if it is kept for resends.
	storedBody []byte
	// overflow reports that the body exceeds maxStoredAnswerBytes and is not kept.
	overflow bool
	once     sync.Once
}

// send sends the request. If a reused connection fails before any answer, a request without
// a key and without a body is sent once more, on a new connection, unless the upstream was cold or is
// closed to new work by now.
func (r *runningAttempt) send(out *http.Request) (*http.Response, error) {
	x := &exchange{
		pool: r.guard.pool.Load(), address: r.address, requestID: r.arrived.RequestID, maxIdle: maxIdleTime,
		skipMismatched: r.guard.Protocol.BuffersAnswers(),
	}
	x.match = func(resp *http.Response) AnswerOwner { return r.guard.Protocol.MatchAnswer(resp, out) }
	if r.arrived.Keyed || r.cold {
		x.maxIdle = maxIdleTimeKeyed
	}
	resp, err := x.run(out)
	r.connected = x.connected
	r.skipped = x.skipped
	if err == nil || r.arrived.Keyed || r.cold || x.connection == nil || !x.connection.reused || x.answered {
		return resp, err
	}
	if out.Context().Err() != nil || out.Body != http.NoBody || !r.guard.allowsResend() {
		return resp, err
	}
	retry := &exchange{
		pool: x.pool, address: r.address, requestID: x.requestID, match: x.match, skipMismatched: x.skipMismatched,
	}
	r.resent = true
	return retry.run(out)
}

// allowsResend reports whether the reducer allows to send a running attempt once more.
func (g *Guard) allowsResend() bool {
	allowed := false
	g.Loop.Inspect(func(r *reducer.Reducer) { allowed = r.AllowsResend() })
	return allowed
}

// discard reads a short answer to its end so that its connection can be reused.
func (r *runningAttempt) discard(resp *http.Response) {
	_, _ = io.CopyN(io.Discard, resp.Body, maxDrainedBytes)
	_ = resp.Body.Close()
	r.cancel()
}

// bufferAnswer returns a buffered answer for resends, or nil if it is not kept: the attempt has
// no key, or the body is too long.
func (r *runningAttempt) bufferAnswer() *reducer.StoredAnswer {
	if !r.arrived.Keyed {
		return nil
	}
	body, err := io.ReadAll(r.body)
	if err != nil {
		return nil
	}
	r.body = io.NopCloser(bytes.NewReader(body))
	r.appendStored(body)
	return r.storedAnswer()
}

// fail ends an attempt whose answer could not be read. It returns a refusal if no connection
// was made, and otherwise an answer with the outcome unknown. If the upstream refused the
// connection or has died, it reports that to the reducer.
func (r *runningAttempt) fail(ctx context.Context, req *http.Request, err error) (*http.Response, error) {
	defer r.cancel()
	if !r.connected {
		if errors.Is(err, syscall.ECONNREFUSED) {
			r.guard.Loop.Do(reducer.UpstreamDied{})
		}
		r.endWork(reducer.OutcomeNotRun, reducer.BasisNotConnected, nil)
		return r.guard.refusal(req, reducer.RefusalNoUpstream, reducer.OutcomeNotRun), nil
	}
	if ctx.Err() == nil && !showsLife(err) {
		r.reportDeath()
	}
	r.requesterLeft = errors.Is(ctx.Err(), context.Canceled)
	r.endWork(reducer.OutcomeUnknown, reducer.BasisNoAnswer, nil)
	return r.guard.unknownOutcome(req, r.arrived.Attempt), nil
}

// showsLife reports whether the error of an exchange is an answer of the upstream that can't be used.
func showsLife(err error) bool {
	return errors.Is(err, errMismatchedAnswer) || errors.Is(err, errUnidentifiedAnswer) || errors.Is(err, http1.ErrMalformed)
}

// reportDeath checks whether the upstream has died after it broke a connection, and if so,
// reports its death to the reducer. It then waits until the peers know of the crash, unless
// the protocol buffers answers.
func (r *runningAttempt) reportDeath() {
	linger := processExitTime
	if r.guard.Protocol.BuffersAnswers() {
		// With this kind of protocol, answers aren't delayed to see whether the process exits.
		linger = 0
	}
	if !listenerGone(r.address, linger) {
		return
	}
	r.guard.Loop.Do(reducer.UpstreamDied{})
	if !r.guard.Protocol.BuffersAnswers() {
		r.guard.awaitCrashNotices()
	}
}

// processExitTime is how long after the first broken connection of an exiting process its
// other connections may stay open.
const processExitTime = 30 * time.Millisecond

// listenerGone reports whether no process listens on an address. An exiting process may still
// accept a connection; it closes that one as well, within the linger time.
func listenerGone(address string, linger time.Duration) bool {
	deadline := time.Now().Add(linger)
	for {
		conn, err := net.DialTimeout("tcp", address, livenessDialTimeout)
		if err != nil {
			return errors.Is(err, syscall.ECONNREFUSED)
		}
		closed := closesBefore(conn, deadline)
		_ = conn.Close()
		if !closed {
			return false
		}
	}
}

// closesBefore reports whether a connection is closed before the deadline.
func closesBefore(conn net.Conn, deadline time.Time) bool {
	if err := conn.SetReadDeadline(deadline); err != nil {
		return false
	}
	var one [1]byte
	_, err := conn.Read(one[:])
	return err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
}

// awaitCrashNotices waits until the peers know of a crash, for at most crashNoticeTimeout, so that
// a resend of the request does not reach a peer that doesn't know yet.
func (g *Guard) awaitCrashNotices() {
	deadline := g.Loop.Clock().Add(crashNoticeTimeout)
	for g.PendingCrashNotices() > 0 && g.Loop.Clock().Before(deadline) {
		time.Sleep(crashNoticePollInterval)
	}
}

// setAnswer stores the head and the body of the upstream's answer.
func (r *runningAttempt) setAnswer(resp *http.Response) {
	r.resp = resp
	r.body = resp.Body
}

// Read reads the answer's body and ends the attempt at the body's end or on an error.
func (r *runningAttempt) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	r.appendStored(p[:n])
	switch {
	case errors.Is(err, io.EOF):
		r.endWork(reducer.OutcomeRan, reducer.BasisAnswered, r.storedAnswer())
	case err != nil:
		if !errors.Is(err, context.Canceled) && !errors.Is(err, context.DeadlineExceeded) {
			r.reportDeath()
		}
		r.endWork(reducer.OutcomeRan, reducer.BasisNoAnswer, nil)
	}
	return n, err
}

// Close closes the answer's body and ends the attempt. An answer that was not read to its end
// is not kept.
func (r *runningAttempt) Close() error {
	err := r.body.Close()
	r.endWork(reducer.OutcomeRan, reducer.BasisNoAnswer, nil)
	r.cancel()
	return err
}

// appendStored appends a part of the answer's body if the answer is kept for resends.
func (r *runningAttempt) appendStored(part []byte) {
	if !r.arrived.Keyed || r.overflow {
		return
	}
	if len(r.storedBody)+len(part) > maxStoredAnswerBytes {
		r.overflow = true
		r.storedBody = nil
		return
	}
	r.storedBody = append(r.storedBody, part...)
}

// storedAnswer returns the whole answer for resends, or nil if it is not kept.
func (r *runningAttempt) storedAnswer() *reducer.StoredAnswer {
	if !r.arrived.Keyed || r.overflow {
		return nil
	}
	header := peer.EndToEnd(r.resp.Header)
	header[peer.HeaderUpstream] = []string{r.address}
	return &reducer.StoredAnswer{
		Status: r.resp.StatusCode, Header: header, Body: r.storedBody, Trailer: r.resp.Trailer.Clone(),
	}
}

// endWork reports the attempt's end to the reducer, which frees its slot. Only the first call
// has an effect.
func (r *runningAttempt) endWork(outcome reducer.Outcome, basis reducer.OutcomeBasis, answer *reducer.StoredAnswer) {
	r.once.Do(func() {
		r.guard.Loop.Do(reducer.WorkEnded{
			Work: r.mailbox.ID(), Outcome: outcome, Basis: basis, Status: r.status, Skipped: r.skipped, Answer: answer,
			PacePercent: r.pacePercent, RequesterLeft: r.requesterLeft,
		})
		r.guard.Loop.CloseWork(r.mailbox)
	})
}
