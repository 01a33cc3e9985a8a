package caller

import (
	"net/http"

	"github.com/tanagerline/tanagerline/internal/decision/reducer"
)

// MayRunAhead reports whether a request may run while earlier requests on its connection are
// unanswered: its route must be idempotent, because the client sends it again if the connection
// ends before its answer.
func (e *Entry) MayRunAhead(req *http.Request) bool {
	arrived, err := e.Protocol.ParseRequest(req)
	if err != nil || !arrived.Routed {
		return false
	}
	idempotent := false
	e.Loop.Inspect(func(r *reducer.Reducer) { idempotent = r.RouteIdempotent(arrived.Host, arrived.Path) })
	return idempotent
}
