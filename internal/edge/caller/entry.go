package caller

import (
	"encoding/json"
	"errors"
	"hash/fnv"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"

	"github.com/tanagerline/tanagerline/internal/decision/loop"
	"github.com/tanagerline/tanagerline/internal/decision/reducer"
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
	if e.Stopping() {
		w.Header().Set("Connection", "close")
	}
	arrived, err := e.Protocol.ParseRequest(req)
	if err != nil {
		e.Protocol.Reject(w, req, reducer.RejectCall{Outcome: reducer.OutcomeNotRun, Problem: ProblemBadRequest}, err.Error())
		return
	}
	arrived.Forwarded = forwarded
	req, requestBody := peer.NewRequestBody(w, req)
	defer requestBody.EndOrAbort()
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(time.Now().Add(e.BodyReadTimeout))
	body, err := newRequestBody(req, bodyLimits{
		maxBuffered: e.MaxBufferedBytes, bufferUnknownLength: e.Protocol.BuffersAnswers(), maxLength: e.maxBodyBytes(),
	})
	if err != nil {
		// The rest of the body is not read: the read deadline stays set, and the
		// connection is closed.
		w.Header().Set("Connection", "close")
		problem := ProblemBadRequest
		if errors.Is(err, errBodyTooLong) {
			problem = ProblemBodyTooLong
		}
		e.Protocol.Reject(w, req, reducer.RejectCall{Outcome: reducer.OutcomeNotRun, Problem: problem}, "body: "+err.Error())
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
	x := &exchange{entry: e, writer: w, req: req, body: body, fingerprint: arrived.Fingerprint}
	x.run(arrived)
}

// maxBodyBytes returns the plan's limit on request bodies, in bytes; zero means no limit.
func (e *Entry) maxBodyBytes() int64 {
	var limit int64
	e.Loop.Inspect(func(r *reducer.Reducer) { limit = r.Plan().Spec().Limits.BodyBytes })
	return limit
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
