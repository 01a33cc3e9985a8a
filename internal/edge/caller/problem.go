package caller

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/tanagerline/tanagerline/internal/decision/reducer"
	"github.com/tanagerline/tanagerline/internal/mesh/peer"
)

// Problem is an RFC 9457 problem document.
type Problem struct {
	Type    string              `json:"type"`
	Title   string              `json:"title"`
	Status  int                 `json:"status"`
	Detail  string              `json:"detail"`
	Kind    reducer.ProblemKind `json:"kind"`
	Outcome reducer.Outcome     `json:"outcome"`
	Key     string              `json:"key,omitempty"`
}

const (
	// problemTypePrefix precedes the problem's kind in its type URN.
	problemTypePrefix = "urn:tanagerline:problem:"
	// retryAfterSeconds is the value of Retry-After in answers with status 503.
	retryAfterSeconds = 1
)

// Problems detected by the entry before the reducer sees the call.
const (
	// ProblemBadRequest reports a malformed request.
	ProblemBadRequest reducer.ProblemKind = "bad-request"
	// ProblemBodyTooLong reports a request body that exceeds the plan's limit.
	ProblemBodyTooLong reducer.ProblemKind = "body-too-long"
	// ProblemBodyTooSlow reports a request body that arrives below the least rate.
	ProblemBodyTooSlow reducer.ProblemKind = "body-too-slow"
	// ProblemHeadTooLong reports a request whose head exceeds the plan's limit.
	ProblemHeadTooLong reducer.ProblemKind = "head-too-long"
)

type problemText struct {
	status int
	title  string
	remedy string
}

var problemTexts = map[reducer.ProblemKind]problemText{
	ProblemBadRequest:              {http.StatusBadRequest, "The request can't be read", "correct the named part and send the request again"},
	ProblemBodyTooLong:             {http.StatusRequestEntityTooLarge, "The body is too long", "send a shorter body"},
	ProblemBodyTooSlow:             {http.StatusRequestTimeout, "The body arrives too slowly", "send the body without pauses"},
	ProblemHeadTooLong:             {http.StatusRequestHeaderFieldsTooLarge, "The head is too long", "send fewer or shorter headers"},
	reducer.ProblemUnknownRoute:    {http.StatusNotFound, "The plan has no route for the path", "begin the path with the prefix of a route of the host"},
	reducer.ProblemAnswerNotKept:   {http.StatusConflict, "The first answer is no longer kept", "read the state that the request was to change before sending it with a new key"},
	reducer.ProblemDeadline:        {http.StatusGatewayTimeout, "The deadline passed", "send the request again with the same key, or allow more time in Tanagerline-Timeout"},
	reducer.ProblemHomeUnavailable: {http.StatusServiceUnavailable, "The home of the key can't be asked", "send the request again later with the same key"},
	reducer.ProblemKeyTooOld:       {http.StatusConflict, "The key is older than the memory of keys", "read the state that the request was to change before sending it with a new key"},
	reducer.ProblemKeyMemoryFull:   {http.StatusServiceUnavailable, "The memory of keys is full", "send the request again later, or use a key that another node issued"},
	reducer.ProblemKeyReused:       {http.StatusUnprocessableEntity, "The key belongs to another request", "send each request with a key of its own, such as a UUIDv7"},
	reducer.ProblemAnswerLost:      {http.StatusBadGateway, "The answer was lost", "send the request again with the same key"},
	reducer.ProblemNoPlan:          {http.StatusServiceUnavailable, "The node has no plan yet", "send the request again later, or to another node"},
	reducer.ProblemNoUpstream:      {http.StatusServiceUnavailable, "No upstream can take the request", "send the request again later; operators find the service's members with the status command"},
	reducer.ProblemOverloaded:      {http.StatusServiceUnavailable, "The service is overloaded", "send the request again later, with backoff"},
	reducer.ProblemQuarantined:     {http.StatusUnprocessableEntity, "The request was in flight when upstreams crashed", "don't send it again; report it to the service's owners"},
	reducer.ProblemStopping:        {http.StatusServiceUnavailable, "The node is stopping", "send the request to another node"},
	reducer.ProblemUnauthorized:    {http.StatusUnauthorized, "The access key is unknown", "send an access key that the plan gives to a tenant"},
	reducer.ProblemQuotaExceeded:   {http.StatusTooManyRequests, "The tenant has used up its quota", "send the request again later"},
	reducer.ProblemUnknownKind:     {http.StatusBadRequest, "The plan has no such kind", "name one of the service's kinds in Tanagerline-Kind"},
	reducer.ProblemUnknownService:  {http.StatusNotFound, "The plan has no such service", "begin the path with a service of the plan"},
}

// writeProblem answers a call with a problem document. A non-empty detail precedes the
// remedy.
func writeProblem(w http.ResponseWriter, reject reducer.RejectCall, detail string) {
	text := problemTexts[reject.Problem]
	problem := Problem{
		Type: problemTypePrefix + string(reject.Problem), Title: text.title, Status: text.status,
		Detail: text.remedy, Kind: reject.Problem, Outcome: reject.Outcome, Key: reject.Key,
	}
	if detail != "" {
		problem.Detail = detail + "; " + text.remedy
	}
	h := w.Header()
	h.Set("Content-Type", "application/problem+json")
	h.Set(peer.HeaderOutcome, string(reject.Outcome))
	if reject.Key != "" {
		h.Set(peer.HeaderKey, reject.Key)
	}
	if reject.NotHome {
		h.Set(peer.HeaderNotHome, "1")
	}
	if text.status == http.StatusServiceUnavailable {
		h.Set("Retry-After", strconv.Itoa(retryAfterSeconds))
	}
	w.WriteHeader(text.status)
	_ = json.NewEncoder(w).Encode(problem)
}
