package caller

import (
	"encoding/json"
	"errors"
	"hash/fnv"
	"net/http"
	"net/textproto"
	"strconv"
	"time"

	"github.com/gorilla/mux"

	"github.com/tanagerline/tanagerline/internal/decision/loop"
	"github.com/tanagerline/tanagerline/internal/decision/reducer"
	"github.com/tanagerline/tanagerline/internal/edge/budget"
	"github.com/tanagerline/tanagerline/internal/edge/pipeline"
	"github.com/tanagerline/tanagerline/internal/mesh/peer"
)

const (
	// maxKeysPerRequest limits the keys that one POST /-/keys issues.
	maxKeysPerRequest = 1000
	// settleTimeout bounds the query to a guard about an attempt with an unknown outcome.
	settleTimeout = 500 * time.Millisecond
	// homeAnswerGrace is how long after a forwarded call's deadline the entry still waits for
	// the home, the node that coordinates all calls with one key. At the deadline, the home may
	// still be querying a guard for settleTimeout; the rest is for transferring its answer.
	homeAnswerGrace = settleTimeout + 100*time.Millisecond
	// answerWriteGrace is how long after a call's deadline its answer may still be written.
	answerWriteGrace = 2 * time.Second
)

// mesh provides access to the other nodes.
type mesh interface {
	// CallTransport returns the transport for calls of the given length class.
	CallTransport(l reducer.Length) http.RoundTripper
	// Scheme returns the URL scheme of the peers' listeners.
	Scheme() string
	settler
}

// Entry serves callers' requests. Its exported fields must be set before Prepare.
type Entry struct {
	// Loop selects the node that each attempt is sent to.
	Loop *loop.Loop
	// Mesh sends requests to the other nodes.
	Mesh mesh
	// Guard runs attempts on the upstream of this VM.
	Guard http.RoundTripper
	// Self is the ID of this process.
	Self reducer.NodeID
	// Protocol parses requests and formats answers; nil selects the native protocol.
	Protocol Protocol
	// MaxBufferedBytes is the size limit, in bytes, of a request body that is buffered for
	// retries; zero selects 64 KiB.
	MaxBufferedBytes int64
	// BodyReadTimeout is the timeout for reading a buffered body.
	BodyReadTimeout time.Duration
	// PaceBodies requires a buffered body to arrive at a least rate over each BodyReadTimeout,
	// instead of within one.
	PaceBodies bool
	// Stopping reports whether the node is stopping, so that keep-alive connections are
	// closed after their current request.
	Stopping func() bool
}

// Prepare sets the defaults; it must be called once before any other method.
func (e *Entry) Prepare() {
	if e.Protocol == nil {
		e.Protocol = nativeProtocol{clock: e.Loop.Clock}
	}
	if e.MaxBufferedBytes == 0 {
		e.MaxBufferedBytes = defaultMaxBufferedBytes
	}
}

// Handler returns the handler of the callers' listener.
func (e *Entry) Handler() http.Handler {
	if e.Protocol.BuffersAnswers() {
		// The protocol passes every path on to the services, so none is reserved for the node.
		return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) { e.serve(w, req, false) })
	}
	router := mux.NewRouter().SkipClean(true).UseEncodedPath()
	router.HandleFunc("/-/keys", e.issueKeys).Methods(http.MethodPost)
	router.PathPrefix("/").HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		e.serve(w, req, false)
	})
	return router
}

// ServeForwarded answers a call that another entry forwarded to this node as the
// home of its key.
func (e *Entry) ServeForwarded(w http.ResponseWriter, req *http.Request) {
	e.serve(w, req, true)
}

func (e *Entry) serve(w http.ResponseWriter, req *http.Request, forwarded bool) {
	if e.Stopping() && !pipeline.ClosesOnStop(w) {
		w.Header().Set("Connection", "close")
	}
	arrived, err := e.Protocol.ParseRequest(req)
	if err != nil {
		e.Protocol.Reject(w, req, reducer.RejectCall{Outcome: reducer.OutcomeNotRun, Problem: ProblemBadRequest}, err.Error())
		return
	}
	arrived.Forwarded = forwarded
	req, requestBody := peer.NewRequestBody(w, req)
	defer requestBody.Abort()
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(time.Now().Add(e.BodyReadTimeout))
	account := budget.Open(req.Context())
	defer account.Release()
	limits := e.limits()
	if !forwarded && limits.HeaderBytes > 0 && headBytes(req) > limits.HeaderBytes {
		account.Refuse(budget.CauseLongHead)
		e.refuse(w, req, ProblemHeadTooLong, "head: longer than the plan allows")
		requestBody.Finish()
		return
	}
	bodyLimits := bodyLimits{
		maxBuffered: e.MaxBufferedBytes, bufferUnknownLength: e.Protocol.BuffersAnswers(), maxLength: limits.BodyBytes,
		account: account,
	}
	if e.PaceBodies {
		bodyLimits.pace = budget.Pace{Window: e.BodyReadTimeout, SetDeadline: controller.SetReadDeadline}
	}
	body, err := newRequestBody(req, bodyLimits)
	if err != nil {
		if errors.Is(err, errBodyTooLong) {
			account.Refuse(budget.CauseLongBody)
		}
		e.refuse(w, req, bodyProblem(err), bodyDetail(err))
		// The rest of the body is not needed: Finish limits the time in which the server reads it.
		requestBody.Finish()
		return
	}
	_ = controller.SetReadDeadline(time.Time{})
	arrived.Fingerprint = fingerprint(req, body)
	arrived.BodyBuffered = body.fullyBuffered
	if forwarded {
		// The entry that forwarded the call computed the fingerprint of the original request.
		if forwardedFingerprint, err := strconv.ParseUint(req.Header.Get(peer.HeaderFingerprint), 16, 64); err == nil {
			arrived.Fingerprint = forwardedFingerprint
		}
	}
	// Without full duplex, an HTTP/1 server reads the rest of the request's body before it
	// writes the answer.
	_ = controller.EnableFullDuplex()
	answerAccount := account
	if forwarded {
		// The entry that forwarded the call draws its answer: a peer's connection isn't closed for its callers.
		answerAccount = &budget.Account{}
	}
	x := &exchange{entry: e, writer: w, req: req, body: body, answers: answerAccount, fingerprint: arrived.Fingerprint}
	x.run(arrived)
	requestBody.Finish()
}

// refuse answers a request that has not run and whose body is not read to its end: the read deadline
// stays set, and the connection is closed.
func (e *Entry) refuse(w http.ResponseWriter, req *http.Request, problem reducer.ProblemKind, detail string) {
	w.Header().Set("Connection", "close")
	e.Protocol.Reject(w, req, reducer.RejectCall{Outcome: reducer.OutcomeNotRun, Problem: problem}, detail)
}

// bodyProblem returns the problem of a body that could not be read.
func bodyProblem(err error) reducer.ProblemKind {
	switch {
	case errors.Is(err, errBodyTooLong):
		return ProblemBodyTooLong
	case errors.Is(err, budget.ErrShort):
		return reducer.ProblemOverloaded
	case errors.Is(err, budget.ErrTooSlow):
		return ProblemBodyTooSlow
	default:
		return ProblemBadRequest
	}
}

// bodyDetail describes why a body could not be read. The text of a protocol error can quote a line of the
// trailer, and so an access key.
func bodyDetail(err error) string {
	var malformed textproto.ProtocolError
	if errors.As(err, &malformed) {
		return "body: malformed"
	}
	return "body: " + err.Error()
}

// limits returns the plan's limits on callers.
func (e *Entry) limits() reducer.CallerLimits {
	var limits reducer.CallerLimits
	e.Loop.Inspect(func(r *reducer.Reducer) { limits = r.Plan().Spec().Limits })
	return limits
}

// headBytes returns the length of a request's head in bytes, without what a client may add around
// the values of headers.
func headBytes(req *http.Request) int {
	const lineEnd, separators = 2, 2
	n := len(req.Method) + len(req.RequestURI) + len(req.Proto) + separators + lineEnd + len("Host:") + len(req.Host) + lineEnd
	for name, values := range req.Header {
		for _, value := range values {
			n += len(name) + len(":") + len(value) + lineEnd
		}
	}
	return n + lineEnd
}

// fingerprint returns a hash of the method, path, query, body length and, if buffered, the
// body, so that equal requests have equal fingerprints. It is never zero: the reducer takes
// zero as no fingerprint.
func fingerprint(req *http.Request, body *requestBody) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(req.Method))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(req.URL.RequestURI()))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write(strconv.AppendInt(nil, body.length, 10))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write(body.buffered)
	return max(h.Sum64(), 1)
}

// issueKeys handles POST /-/keys?count=N.
func (e *Entry) issueKeys(w http.ResponseWriter, req *http.Request) {
	count := 1
	if text := req.URL.Query().Get("count"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > maxKeysPerRequest {
			e.Protocol.Reject(w, req, reducer.RejectCall{Outcome: reducer.OutcomeNotRun, Problem: ProblemBadRequest},
				"query count: give a number from 1 to "+strconv.Itoa(maxKeysPerRequest))
			return
		}
		count = n
	}
	mailbox := e.Loop.OpenCall(func() {})
	defer e.Loop.CloseCall(mailbox)
	e.Loop.Do(reducer.KeysRequested{Call: mailbox.ID(), Count: count})
	issued, _ := (<-mailbox.Effects()).(reducer.KeysIssued)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(issuedKeys{Keys: issued.Keys})
}

type issuedKeys struct {
	Keys []string `json:"keys"`
}
