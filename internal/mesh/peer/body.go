package peer

import (
	"io"
	"net/http"
	"strings"
)

// repeatingHeaders are the headers by which http.Transport takes a request without a body for one that it
// may repeat after a broken connection, so that a non-idempotent call could run twice.
var repeatingHeaders = []string{HeaderIdempotencyKey, "X-Idempotency-Key"}

// keyHeader is Idempotency-Key as it is written to other nodes and upstreams; see PreventRepeats.
const keyHeader = "idempotency-key"

// PreventRepeats writes the headers of an outgoing request that make http.Transport repeat it in lower case,
// in which it doesn't look for them. Receivers see no difference, since names are compared without case.
func PreventRepeats(h http.Header) {
	for _, name := range repeatingHeaders {
		if values, ok := h[name]; ok {
			delete(h, name)
			h[strings.ToLower(name)] = values
		}
	}
}

// SetKey gives an outgoing request its idempotency key.
func SetKey(h http.Header, key string) {
	delete(h, HeaderIdempotencyKey)
	h[keyHeader] = []string{key}
}

// SingleUse returns the body for an outgoing request that http.Transport must not
// repeat on its own. A request without a body needs a wrapper only where its method
// alone would let the transport repeat it.
func SingleUse(method string, length int64, body io.ReadCloser) io.ReadCloser {
	if length != 0 || body == nil {
		return body
	}
	switch method {
	case http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete:
		return http.NoBody
	default:
		return singleUse{ReadCloser: body}
	}
}

// singleUse hides http.NoBody from the transport.
type singleUse struct{ io.ReadCloser }
