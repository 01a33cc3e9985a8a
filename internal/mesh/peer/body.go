package peer

import (
	"io"
	"net/http"
)

// keyHeader is Idempotency-Key as it is written to other nodes and upstreams.
// http.Transport repeats a request that has no body after a broken connection if
// it finds the header under its canonical name, and a non-idempotent call could
// run twice. Receivers see no difference, since names are compared without case.
const keyHeader = "idempotency-key"

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
