package peer

import (
	"net/http"
	"net/textproto"
	"strings"
)

// The headers of callers, nodes and upstreams.
const (
	HeaderAttempt        = "Tanagerline-Attempt"
	HeaderLength         = "Tanagerline-Length"
	HeaderCrash          = "Tanagerline-Crash"
	HeaderFingerprint    = "Tanagerline-Fingerprint"
	HeaderFirstSent      = "Tanagerline-First-Sent"
	HeaderHome           = "Tanagerline-Home"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderImpatient      = "Tanagerline-Impatient"
	HeaderKey            = "Tanagerline-Key"
	HeaderKeyed          = "Tanagerline-Keyed"
	HeaderKind           = "Tanagerline-Kind"
	HeaderLoad           = "Tanagerline-Load"
	HeaderNotHome        = "Tanagerline-Not-Home"
	HeaderObjective      = "Tanagerline-Objective"
	HeaderOutcome        = "Tanagerline-Outcome"
	HeaderReason         = "Tanagerline-Reason"
	HeaderRepeat         = "Tanagerline-Repeat"
	HeaderReplay         = "Tanagerline-Replay"
	HeaderRequest        = "Tanagerline-Request"
	HeaderRetries        = "Tanagerline-Retries"
	HeaderService        = "Tanagerline-Service"
	HeaderTimeout        = "Tanagerline-Timeout"
	HeaderTo             = "Tanagerline-To"
	HeaderUpstream       = "Tanagerline-Upstream"
)

const headerPrefix = "Tanagerline-"

// hopByHop are the headers that belong to one connection.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// EndToEnd returns the headers that are passed on: those that belong to one
// connection, this system's own, and the idempotency key are left out.
func EndToEnd(h http.Header) http.Header {
	out := make(http.Header, len(h)+8)
	for name, values := range h {
		if !strings.HasPrefix(name, headerPrefix) {
			out[name] = values
		}
	}
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			delete(out, textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)))
		}
	}
	for _, name := range hopByHop {
		delete(out, name)
	}
	delete(out, HeaderIdempotencyKey)
	return out
}

// CopyHeaders adds every value of from to to.
func CopyHeaders(to, from http.Header) {
	for name, values := range from {
		to[name] = append(to[name], values...)
	}
}
