package caller

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
)

// defaultMaxBufferedBytes bounds the request bodies that are kept for another attempt.
const defaultMaxBufferedBytes = 64 << 10

// requestBody gives a request's body to one attempt after another.
type requestBody struct {
	stream   io.Reader
	buffered []byte
	fullyBuffered    bool
	length   int64
	readStarted     atomic.Bool
}

// errBodyTooLong is a body that is longer than callers may send.
var errBodyTooLong = errors.New("longer than the plan allows; send less")

// bodyLimits bound a request's body.
type bodyLimits struct {
	// maxBuffered is the longest body that is read whole; a longer one is streamed once.
	maxBuffered int64
	// bufferUnknownLength tells that a body of unknown length is read whole, too.
	bufferUnknownLength bool
	// maxLength is the longest body that is taken; zero sets no bound.
	maxLength int64
}

// newRequestBody reads a body whole where that is within the limits.
func newRequestBody(req *http.Request, limits bodyLimits) (*requestBody, error) {
	b := &requestBody{stream: req.Body, length: req.ContentLength}
	if limits.maxLength > 0 && req.ContentLength > limits.maxLength {
		return b, errBodyTooLong
	}
	switch {
	case req.ContentLength > limits.maxBuffered, req.ContentLength < 0 && !limits.bufferUnknownLength:
		return b, nil
	case req.ContentLength < 0:
		return b, b.bufferUpToLimit(limits)
	}
	b.fullyBuffered = true
	if req.ContentLength == 0 {
		return b, nil
	}
	b.buffered = make([]byte, req.ContentLength)
	_, err := io.ReadFull(req.Body, b.buffered)
	return b, err
}

// bufferUpToLimit reads a body of unknown length as far as it may be kept.
func (b *requestBody) bufferUpToLimit(limits bodyLimits) error {
	prefix, err := io.ReadAll(io.LimitReader(b.stream, limits.maxBuffered+1))
	if err != nil {
		return err
	}
	if limits.maxLength > 0 && int64(len(prefix)) > limits.maxLength {
		return errBodyTooLong
	}
	if int64(len(prefix)) > limits.maxBuffered {
		b.stream = io.MultiReader(bytes.NewReader(prefix), b.stream)
		return nil
	}
	b.fullyBuffered = true
	b.buffered = prefix
	b.length = int64(len(prefix))
	return nil
}

// newReader returns the body for one more attempt.
func (b *requestBody) newReader() io.ReadCloser {
	switch {
	case !b.fullyBuffered:
		return io.NopCloser(&trackedReader{body: b})
	case b.length == 0:
		return http.NoBody
	default:
		return io.NopCloser(bytes.NewReader(b.buffered))
	}
}

// consumed reports whether the body can't be sent again.
func (b *requestBody) consumed() bool { return !b.fullyBuffered && b.readStarted.Load() }

// trackedReader notes that a streamed body was read.
type trackedReader struct{ body *requestBody }

// Read reads from the caller.
func (t *trackedReader) Read(p []byte) (int, error) {
	t.body.readStarted.Store(true)
	return t.body.stream.Read(p)
}
