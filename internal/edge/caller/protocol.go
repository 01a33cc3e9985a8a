package caller

import (
	"net/http"

	"github.com/tanagerline/tanagerline/internal/decision/reducer"
)

// Protocol is how callers speak to an entry.
type Protocol interface {
	// Read returns the call that a request's head stands for. Its error tells the
	// caller what to change.
	Read(req *http.Request) (reducer.CallArrived, error)
	// Pass completes the headers of a request that is passed on to a guard.
	Pass(h http.Header, req *http.Request)
	// Answer completes the headers of an upstream's answer.
	Answer(h http.Header, relay reducer.RelayAnswer)
	// Reject writes what the node answers itself; detail may say more than the problem.
	Reject(w http.ResponseWriter, req *http.Request, reject reducer.RejectCall, detail string)
	// Whole reports whether answers are passed on only once they are complete.
	Whole() bool
}
