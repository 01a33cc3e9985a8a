package peer

import (
	"net/http"
	"strconv"

	"github.com/gorilla/mux"

	"github.com/tanagerline/tanagerline/internal/decision/loop"
	"github.com/tanagerline/tanagerline/internal/decision/reducer"
)

// Listener answers the other nodes; its exported fields are set before Handler.
type Listener struct {
	// Loop takes control requests.
	Loop *loop.Loop
	// Guard runs attempts.
	Guard http.RoundTripper
	// Home answers calls as the home of their keys.
	Home http.HandlerFunc
	// LimitControl limits the bodies of control requests, which are read whole; nil sets no limit.
	LimitControl func(http.Handler) http.Handler
}

// Handler returns the handler of the peers' listener.
func (l *Listener) Handler() http.Handler {
	server := NewPeerServer(&Server{Loop: l.Loop})
	var control http.Handler = server
	if l.LimitControl != nil {
		control = l.LimitControl(server)
	}
	router := mux.NewRouter().SkipClean(true).UseEncodedPath()
	router.MatcherFunc(hasHeader(HeaderTo)).HandlerFunc(l.runAttempt)
	router.MatcherFunc(hasHeader(HeaderHome)).HandlerFunc(l.answerAsHome)
	router.PathPrefix(server.PathPrefix()).Handler(control)
	return router
}

func hasHeader(name string) mux.MatcherFunc {
	return func(req *http.Request, _ *mux.RouteMatch) bool {
		_, ok := req.Header[name]
		return ok
	}
}

// answerAsHome answers a forwarded call, unless it was meant for an earlier
// process at this address.
func (l *Listener) answerAsHome(w http.ResponseWriter, req *http.Request) {
	var self reducer.NodeID
	l.Loop.Inspect(func(r *reducer.Reducer) { self = reducer.NewNodeID(r.Self.Address, r.Self.Incarnation) })
	if req.Header.Get(HeaderHome) != strconv.FormatUint(self.Incarnation(), 16) {
		w.Header().Set(HeaderNotHome, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	l.Home(w, req)
}

// runAttempt runs an attempt on the upstream of this VM.
func (l *Listener) runAttempt(w http.ResponseWriter, req *http.Request) {
	_ = http.NewResponseController(w).EnableFullDuplex()
	req, body := NewRequestBody(w, req)
	defer body.Abort()
	resp, err := l.Guard.RoundTrip(req)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = resp.Body.Close() }()
	if reducer.Outcome(resp.Header.Get(HeaderOutcome)) == reducer.OutcomeNotRun {
		if body.End() {
			// The guard gave up an attempt while its body was on the way.
			w.Header().Set("Connection", "close")
		}
		if resp.ContentLength >= 0 {
			// The requester knows the refusal's end then, before the rest of its body is read.
			w.Header().Set("Content-Length", strconv.FormatInt(resp.ContentLength, 10))
		}
	}
	WriteHead(w, resp)
	if _, err := RelayBody(w, resp); err != nil {
		panic(http.ErrAbortHandler)
	}
	body.Finish()
}
