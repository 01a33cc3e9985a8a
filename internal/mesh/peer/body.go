package peer

import "io"

// SingleUse wraps a request's body so that http.Transport can't send the request
// again on its own. Without it, a request that has no body and carries an
// Idempotency-Key is repeated by the transport after a broken connection, and a
// non-idempotent call could run twice.
func SingleUse(body io.ReadCloser) io.ReadCloser {
	return singleUse{ReadCloser: body}
}

// singleUse hides http.NoBody from the transport.
type singleUse struct{ io.ReadCloser }
