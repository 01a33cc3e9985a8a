package caller

import (
	"bytes"
	"io"
	"net/http"
	"sync/atomic"
)

// maxBufferedBytes bounds the request bodies that are kept for another attempt.
const maxBufferedBytes = 64 << 10

// requestBody gives a request's body to one attempt after another.
type requestBody struct {
	stream   io.Reader
	buffered []byte
	whole    bool
	length   int64
	read     atomic.Bool
}

// newRequestBody reads a small body whole; a large one is streamed once.
func newRequestBody(req *http.Request) (*requestBody, error) {
	b := &requestBody{stream: req.Body, length: req.ContentLength}
	if req.ContentLength < 0 || req.ContentLength > maxBufferedBytes {
		return b, nil
	}
	b.whole = true
	if req.ContentLength == 0 {
		return b, nil
	}
	b.buffered = make([]byte, req.ContentLength)
	_, err := io.ReadFull(req.Body, b.buffered)
	return b, err
}

// next returns the body for one more attempt.
func (b *requestBody) next() io.ReadCloser {
	switch {
	case !b.whole:
		return io.NopCloser(&trackedReader{body: b})
	case b.length == 0:
		return http.NoBody
	default:
		return io.NopCloser(bytes.NewReader(b.buffered))
	}
}

// spent reports whether the body can't be sent again.
func (b *requestBody) spent() bool { return !b.whole && b.read.Load() }

// trackedReader notes that a streamed body was read.
type trackedReader struct{ body *requestBody }

// Read reads from the caller.
func (t *trackedReader) Read(p []byte) (int, error) {
	t.body.read.Store(true)
	return t.body.stream.Read(p)
}
