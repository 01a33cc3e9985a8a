package upstream

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/tanagerline/tanagerline/internal/decision/loop"
	"github.com/tanagerline/tanagerline/internal/decision/reducer"
	"github.com/tanagerline/tanagerline/internal/mesh/peer"
)

const (
	dialTimeout      = time.Second
	deathDialTimeout = 200 * time.Millisecond
	idleTime         = 4 * time.Second
	answerHeadBytes  = 64 << 10
	tellAllowance    = time.Second
	tellPoll         = 2 * time.Millisecond
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

	transport atomic.Pointer[http.Transport]
}

// Prepare readies the guard; it must be called once before any other method.
func (g *Guard) Prepare() { g.transport.Store(newTransport(0)) }

// newTransport returns a pool of connections to the upstream, at most as many as
// given where that is not zero. Idle connections are closed early, before most
// servers close them: one that closes under a request leaves its outcome unknown.
func newTransport(connections int) *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext:            dialer.DialContext,
		DisableCompression:     true,
		MaxConnsPerHost:        connections,
		MaxIdleConnsPerHost:    256,
		IdleConnTimeout:        idleTime,
		MaxResponseHeaderBytes: answerHeadBytes,
		WriteBufferSize:        16 << 10,
		ReadBufferSize:         16 << 10,
	}
}

// LimitConnections bounds the connections to the upstream; zero sets no bound.
func (g *Guard) LimitConnections(connections int) {
	if g.transport.Load().MaxConnsPerHost != connections {
		g.transport.Swap(newTransport(connections)).CloseIdleConnections()
	}
}

// RoundTrip runs one attempt, waiting for its turn. A refusal is an answer with
// the outcome "not-run"; an error means that the attempt may have run.
func (g *Guard) RoundTrip(req *http.Request) (*http.Response, error) {
	mailbox := g.Loop.OpenWork()
	arrived, ok := g.arrival(mailbox.ID(), req)
	if !ok {
		g.Loop.CloseWork(mailbox)
		return g.refusal(req, reducer.RefusalMalformed), nil
	}
	g.Loop.Do(arrived)
	arrivedAt := g.Loop.Clock()
	effect := g.await(req.Context(), mailbox, arrived.Deadline)
	switch e := effect.(type) {
	case reducer.StartWork:
		waited := g.Loop.Clock().Sub(arrivedAt)
		return g.run(req, mailbox, arrived, e.Upstream, waited)
	case reducer.ReplayWork:
		g.Loop.CloseWork(mailbox)
		return g.replayed(req, e.Answer), nil
	case reducer.RefuseWork:
		g.Loop.CloseWork(mailbox)
		return g.refusal(req, e.Reason), nil
	default:
		g.Loop.CloseWork(mailbox)
		return g.refusal(req, reducer.RefusalDeadline), nil
	}
}

// arrival reads an attempt from its headers; it is false when one is malformed.
func (g *Guard) arrival(id reducer.WorkID, req *http.Request) (reducer.WorkArrived, bool) {
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
	}, true
}

// await returns the decision on an attempt. When the requester leaves or the
// deadline passes first, the attempt is taken back; a decision that was already
// made still counts.
func (g *Guard) await(ctx context.Context, mailbox *loop.WorkMailbox, deadline time.Time) reducer.WorkEffect {
	select {
	case effect := <-mailbox.Effects():
		return effect
	default:
	}
	timer := time.NewTimer(deadline.Sub(g.Loop.Clock()))
	defer timer.Stop()
	select {
	case effect := <-mailbox.Effects():
		return effect
	case <-ctx.Done():
	case <-timer.C:
	}
	g.Loop.Do(reducer.WorkLeft{Work: mailbox.ID()})
	select {
	case effect := <-mailbox.Effects():
		return effect
	default:
		return nil
	}
}

// run sends a started attempt to the upstream.
func (g *Guard) run(
	req *http.Request, mailbox *loop.WorkMailbox, arrived reducer.WorkArrived, address string,
	waited time.Duration,
) (*http.Response, error) {
	r := &running{guard: g, mailbox: mailbox, arrived: arrived, address: address}
	ctx, cancel := context.WithDeadline(req.Context(), arrived.Deadline)
	r.cancel = cancel
	out := g.outgoing(req, arrived, address)
	ctx, r.connected = peer.TraceConnection(ctx)
	out = out.WithContext(ctx)
	resp, err := g.transport.Load().RoundTrip(out)
	if err != nil {
		return r.failed(ctx, req, err)
	}
	if echoed := resp.Header.Get(peer.HeaderAttempt); echoed != "" && echoed != string(arrived.Attempt) {
		_ = resp.Body.Close()
		return r.failed(ctx, req, errCrossed)
	}
	resp.Header = peer.EndToEnd(resp.Header)
	g.sign(resp.Header, arrived.Attempt, reducer.OutcomeRan, waited)
	resp.Header[peer.HeaderUpstream] = []string{address}
	r.head(resp)
	resp.Body = r
	return resp, nil
}

var errCrossed = errors.New("the upstream's answer carries another attempt's ID")

// outgoing is the attempt's request as the upstream gets it.
func (g *Guard) outgoing(req *http.Request, arrived reducer.WorkArrived, address string) *http.Request {
	out := &http.Request{
		Method: req.Method, URL: cloneURL(req, address), Host: req.Host,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: peer.EndToEnd(req.Header), Body: peer.SingleUse(req.Method, req.ContentLength, req.Body),
		ContentLength: req.ContentLength, Trailer: req.Trailer,
	}
	out.Header[peer.HeaderAttempt] = []string{string(arrived.Attempt)}
	out.Header[peer.HeaderTimeout] = []string{arrived.Deadline.Sub(g.Loop.Clock()).String()}
	for _, name := range []string{peer.HeaderRetries, peer.HeaderKind} {
		if values := req.Header[name]; len(values) > 0 {
			out.Header[name] = values
		}
	}
	if key := req.Header.Get(peer.HeaderKey); key != "" {
		peer.SetKey(out.Header, key)
	}
	// Nodes use Expect between themselves; the attempt is admitted by now.
	delete(out.Header, "Expect")
	return out
}

// sign adds what every answer of a guard carries.
func (g *Guard) sign(h http.Header, attempt reducer.AttemptID, outcome reducer.Outcome, waited time.Duration) {
	var load reducer.LoadReport
	g.Loop.Inspect(func(r *reducer.Reducer) { load = r.LoadReport() })
	h[peer.HeaderAttempt] = []string{string(attempt)}
	h[peer.HeaderLoad] = []string{load.WithWait(waited).String()}
	h[peer.HeaderOutcome] = []string{string(outcome)}
}

func (g *Guard) refusal(req *http.Request, reason reducer.RefusalReason) *http.Response {
	resp := g.answer(req, http.StatusServiceUnavailable, nil)
	g.sign(resp.Header, reducer.AttemptID(req.Header.Get(peer.HeaderAttempt)), reducer.OutcomeNotRun, 0)
	resp.Header[peer.HeaderReason] = []string{string(reason)}
	return resp
}

// doubtful is the answer for an attempt that was dispatched and whose own answer
// is lost.
func (g *Guard) doubtful(req *http.Request, attempt reducer.AttemptID) *http.Response {
	resp := g.answer(req, http.StatusBadGateway, nil)
	g.sign(resp.Header, attempt, reducer.OutcomeUnknown, 0)
	var crash uint64
	g.Loop.Inspect(func(r *reducer.Reducer) { crash = r.Crash() })
	if crash != 0 {
		resp.Header[peer.HeaderCrash] = []string{strconv.FormatUint(crash, 16)}
	}
	return resp
}

func (g *Guard) replayed(req *http.Request, stored *reducer.StoredAnswer) *http.Response {
	resp := g.answer(req, stored.Status, stored.Body)
	peer.CopyHeaders(resp.Header, stored.Header)
	for name, values := range stored.Trailer {
		if resp.Trailer == nil {
			resp.Trailer = http.Header{}
		}
		resp.Trailer[name] = values
	}
	g.sign(resp.Header, reducer.AttemptID(req.Header.Get(peer.HeaderAttempt)), reducer.OutcomeRan, 0)
	return resp
}

func (g *Guard) answer(req *http.Request, status int, body []byte) *http.Response {
	return &http.Response{
		StatusCode: status, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Header: http.Header{},
		Body: io.NopCloser(bytes.NewReader(body)), ContentLength: int64(len(body)), Request: req,
	}
}

// running is an attempt on the upstream and the body of its answer.
type running struct {
	guard     *Guard
	mailbox   *loop.WorkMailbox
	arrived   reducer.WorkArrived
	address   string
	cancel    context.CancelFunc
	connected *atomic.Bool

	resp     *http.Response
	body     io.ReadCloser
	stored   []byte
	overflow bool
	once     sync.Once
}

// failed ends an attempt without an answer.
func (r *running) failed(ctx context.Context, req *http.Request, err error) (*http.Response, error) {
	defer r.cancel()
	if !r.connected.Load() {
		if errors.Is(err, syscall.ECONNREFUSED) {
			r.guard.Loop.Do(reducer.UpstreamDied{})
		}
		r.end(reducer.OutcomeNotRun, nil)
		return r.guard.refusal(req, reducer.RefusalNoUpstream), nil
	}
	if ctx.Err() == nil && !errors.Is(err, errCrossed) {
		r.checkDeath()
	}
	r.end(reducer.OutcomeUnknown, nil)
	return r.guard.doubtful(req, r.arrived.Attempt), nil
}

// checkDeath finds out whether the upstream that broke a connection is gone.
func (r *running) checkDeath() {
	conn, err := net.DialTimeout("tcp", r.address, deathDialTimeout)
	if err == nil {
		_ = conn.Close()
		return
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		r.guard.Loop.Do(reducer.UpstreamDied{})
		r.guard.awaitTold()
	}
}

// awaitTold waits until the peers know of a crash, before its caller can send the
// request to them again.
func (g *Guard) awaitTold() {
	deadline := g.Loop.Clock().Add(tellAllowance)
	for g.Telling() > 0 && g.Loop.Clock().Before(deadline) {
		time.Sleep(tellPoll)
	}
}

// head takes the head of the upstream's answer.
func (r *running) head(resp *http.Response) {
	r.resp = resp
	r.body = resp.Body
}

// Read reads the answer's body and notes its end.
func (r *running) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	r.store(p[:n])
	switch {
	case errors.Is(err, io.EOF):
		r.end(reducer.OutcomeRan, r.answer())
	case err != nil:
		if !errors.Is(err, context.Canceled) && !errors.Is(err, context.DeadlineExceeded) {
			r.checkDeath()
		}
		r.end(reducer.OutcomeRan, nil)
	}
	return n, err
}

// Close ends the attempt; an answer that was not read to its end is cut off.
func (r *running) Close() error {
	err := r.body.Close()
	r.end(reducer.OutcomeRan, nil)
	r.cancel()
	return err
}

func (r *running) store(part []byte) {
	if !r.arrived.Keyed || r.overflow {
		return
	}
	if len(r.stored)+len(part) > maxStoredAnswerBytes {
		r.overflow = true
		r.stored = nil
		return
	}
	r.stored = append(r.stored, part...)
}

// answer is the whole answer for resends, or nil when it is not kept.
func (r *running) answer() *reducer.StoredAnswer {
	if !r.arrived.Keyed || r.overflow {
		return nil
	}
	header := peer.EndToEnd(r.resp.Header)
	header[peer.HeaderUpstream] = []string{r.address}
	return &reducer.StoredAnswer{
		Status: r.resp.StatusCode, Header: header, Body: r.stored, Trailer: r.resp.Trailer.Clone(),
	}
}

// end frees the attempt's slot once.
func (r *running) end(outcome reducer.Outcome, answer *reducer.StoredAnswer) {
	r.once.Do(func() {
		status := 0
		if r.resp != nil {
			status = r.resp.StatusCode
		}
		r.guard.Loop.Do(reducer.WorkEnded{
			Work: r.mailbox.ID(), Outcome: outcome, Status: status, Answer: answer,
		})
		r.guard.Loop.CloseWork(r.mailbox)
	})
}
