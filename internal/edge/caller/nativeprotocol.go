package caller

import (
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/tanagerline/tanagerline/internal/decision/reducer"
	"github.com/tanagerline/tanagerline/internal/mesh/peer"
)

// nativeProtocol implements Protocol with Tanagerline headers and problem documents.
type nativeProtocol struct{ clock func() time.Time }

// ParseRequest parses the call from the request's path and headers. It returns a HeaderError for
// a malformed header.
func (p nativeProtocol) ParseRequest(req *http.Request) (reducer.CallArrived, error) {
	// Negative Retries mean that the caller did not limit them.
	arrived := reducer.CallArrived{
		Service: serviceFromPath(req), Kind: req.Header.Get(peer.HeaderKind),
		Key: req.Header.Get(peer.HeaderIdempotencyKey), Retries: -1,
	}
	if text := req.Header.Get(peer.HeaderTimeout); text != "" {
		remaining, err := time.ParseDuration(text)
		if err != nil || remaining <= 0 {
			return arrived, HeaderError{Name: peer.HeaderTimeout, Remedy: "give what remains as a positive duration, such as 250ms"}
		}
		arrived.Deadline = p.clock().Add(remaining)
	}
	if text := req.Header.Get(peer.HeaderRetries); text != "" {
		retries, err := strconv.Atoi(text)
		if err != nil || retries < 0 {
			return arrived, HeaderError{Name: peer.HeaderRetries, Remedy: "give a whole number that is not negative, or leave it out"}
		}
		arrived.Retries = retries
	}
	if text := req.Header.Get(peer.HeaderFirstSent); text != "" {
		sent, err := time.Parse(time.RFC3339Nano, text)
		if err != nil {
			return arrived, HeaderError{Name: peer.HeaderFirstSent, Remedy: "give an RFC 3339 instant, or leave it out"}
		}
		arrived.FirstSent = sent
	}
	const maxKeyBytes = 256
	if len(arrived.Key) > maxKeyBytes {
		return arrived, HeaderError{Name: peer.HeaderIdempotencyKey, Remedy: "use at most 256 bytes, such as a UUIDv7"}
	}
	return arrived, nil
}

// SetRequestHeaders sets the service and appends the caller's address to X-Forwarded-For.
func (nativeProtocol) SetRequestHeaders(h http.Header, req *http.Request) {
	h[peer.HeaderService] = []string{serviceFromPath(req)}
	const forwardedFor = "X-Forwarded-For"
	if host, _, err := net.SplitHostPort(req.RemoteAddr); err == nil {
		h[forwardedFor] = append(h[forwardedFor][:len(h[forwardedFor]):len(h[forwardedFor])], host)
	}
}

// SetTenant removes the Authorization header. The native protocol has no header for tenants.
func (nativeProtocol) SetTenant(h http.Header, _ string) { delete(h, "Authorization") }

// SetAnswerHeaders sets the attempt, the outcome and the key.
func (nativeProtocol) SetAnswerHeaders(h http.Header, relay reducer.RelayAnswer) {
	h[peer.HeaderAttempt] = []string{string(relay.Attempt)}
	h[peer.HeaderOutcome] = []string{string(reducer.OutcomeRan)}
	if relay.Key != "" {
		h[peer.HeaderKey] = []string{relay.Key}
	}
}

// Reject writes a problem document.
func (nativeProtocol) Reject(w http.ResponseWriter, _ *http.Request, reject reducer.RejectCall, detail string) {
	writeProblem(w, reject, detail)
}

// BuffersAnswers returns false: answers are streamed.
func (nativeProtocol) BuffersAnswers() bool { return false }

// serviceFromPath returns the first segment of the path.
func serviceFromPath(req *http.Request) string {
	path := strings.TrimPrefix(req.URL.Path, "/")
	name, _, _ := strings.Cut(path, "/")
	return name
}

// HeaderError reports a malformed request header.
type HeaderError struct {
	// Name is the header's name.
	Name string
	// Remedy tells the caller how to correct the header.
	Remedy string
}

// Error returns the header's name and the remedy.
func (e HeaderError) Error() string { return "header " + e.Name + ": " + e.Remedy }
