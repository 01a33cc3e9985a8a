package caller

import (
	"bytes"
	"errors"
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

// errBodyTooLong is a body that is longer than callers may send.
var errBodyTooLong = errors.New("longer than the plan allows; send less")

// bodyLimits bound a request's body.
type bodyLimits struct {
	// keep is the longest body that is read whole; a longer one is streamed once.
	keep int64
	// ahead tells that a body of unknown length is read whole, too.
	ahead bool
	// most is the longest body that is taken; zero sets no bound.
	most int64
}

// newRequestBody reads a body whole where that is within the limits.
func newRequestBody(req *http.Request, limits bodyLimits) (*requestBody, error) {
	b := &requestBody{stream: req.Body, length: req.ContentLength}
	if limits.most > 0 && req.ContentLength > limits.most {
		return b, errBodyTooLong
	}
	switch {
	case req.ContentLength > limits.keep, req.ContentLength < 0 && !limits.ahead:
		return b, nil
	case req.ContentLength < 0:
		return b, b.readAhead(limits)
	}
	b.whole = true
	if req.ContentLength == 0 {
		return b, nil
	}
	b.buffered = make([]byte, req.ContentLength)
	_, err := io.ReadFull(req.Body, b.buffered)
	return b, err
}

// readAhead reads a body of unknown length as far as it may be kept.
func (b *requestBody) readAhead(limits bodyLimits) error {
	ahead, err := io.ReadAll(io.LimitReader(b.stream, limits.keep+1))
	if err != nil {
		return err
	}
	if limits.most > 0 && int64(len(ahead)) > limits.most {
		return errBodyTooLong
	}
	if int64(len(ahead)) > limits.keep {
		b.stream = io.MultiReader(bytes.NewReader(ahead), b.stream)
		return nil
	}
	b.whole = true
	b.buffered = ahead
	b.length = int64(len(ahead))
	return nil
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
