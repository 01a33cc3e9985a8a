package caller

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync"

	"github.com/tanagerline/tanagerline/internal/edge/budget"
)

// defaultMaxBufferedBytes is the default size limit, in bytes, of a request body that is
// buffered so that another attempt can send it again.
const defaultMaxBufferedBytes = 64 << 10

// requestBody provides a request's body to successive attempts. length is in bytes and
// negative when unknown; buffered holds the body only when fullyBuffered is set.
type requestBody struct {
	stream        io.Reader
	buffered      []byte
	fullyBuffered bool
	length        int64

	// mu guards the fields below, which concern a streamed body.
	mu sync.Mutex
	// current is the reader of the attempt in flight, the only one that may read the stream,
	// or nil.
	current *streamReader
	// onAbort cancels the attempts when the body turns out to be too long, or is nil.
	onAbort func()
	// readStarted is set once an attempt began to read the stream.
	readStarted bool
}

// errAttemptEnded is returned to a transport that reads a streamed body after its attempt has ended.
var errAttemptEnded = errors.New("the attempt has ended; its body belongs to the next one")

// errBodyTooLong is returned for a body that exceeds the plan's limit.
var errBodyTooLong = errors.New("longer than the plan allows; send less")

// bodyLimits holds the size limits of a request's body, in bytes.
type bodyLimits struct {
	// maxBuffered is the longest body that is buffered; a longer one is streamed and can
	// be sent only once.
	maxBuffered int64
	// bufferUnknownLength selects buffering for bodies of unknown length as well.
	bufferUnknownLength bool
	// maxLength is the longest body that is accepted; zero means no limit.
	maxLength int64
	// account is drawn on by bodies that are buffered, and pace is required of them.
	account *budget.Account
	pace    budget.Pace
}

// newRequestBody buffers the body if the limits allow it; otherwise the body is streamed.
// It returns errBodyTooLong for a body above maxLength, or the caller's read error.
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
	var err error
	b.buffered, err = limits.readAll(req.Body, req.ContentLength)
	if err == nil && int64(len(b.buffered)) < req.ContentLength {
		err = io.ErrUnexpectedEOF
	}
	return b, err
}

// readAll reads at most length bytes of a body as the limits require.
func (l bodyLimits) readAll(body io.Reader, length int64) ([]byte, error) {
	account := l.account
	if account == nil {
		account = new(budget.Account)
	}
	return account.ReadAll(body, length, &l.pace)
}

// bufferUpToLimit reads a body of unknown length up to maxBuffered. A longer body is
// streamed, starting with the bytes already read.
func (b *requestBody) bufferUpToLimit(limits bodyLimits) error {
	prefix, err := limits.readAll(b.stream, limits.maxBuffered+1)
	if err != nil {
		return err
	}
	if limits.maxLength > 0 && int64(len(prefix)) > limits.maxLength {
		return errBodyTooLong
	}
	if int64(len(prefix)) > limits.maxBuffered {
		b.stream = io.MultiReader(bytes.NewReader(prefix), b.stream)
		if limits.maxLength > 0 {
			b.stream = &boundedReader{reader: b.stream, left: limits.maxLength, exceeded: b.abort}
		}
		return nil
	}
	b.fullyBuffered = true
	b.buffered = prefix
	b.length = int64(len(prefix))
	return nil
}

// boundedReader returns errBodyTooLong once more than left bytes were read, and calls exceeded.
type boundedReader struct {
	reader   io.Reader
	left     int64
	exceeded func()
}

// Read reads at most one byte more than is left.
func (r *boundedReader) Read(p []byte) (int, error) {
	if int64(len(p)) > r.left+1 {
		p = p[:r.left+1]
	}
	n, err := r.reader.Read(p)
	if r.left -= int64(n); r.left < 0 {
		r.exceeded()
		return 0, errBodyTooLong
	}
	return n, err
}

// setAbort sets what cancels the attempts when the body turns out to be too long: an upstream waits for the
// rest of a body that it never gets.
func (b *requestBody) setAbort(cancel func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.onAbort = cancel
}

// abort cancels the attempts.
func (b *requestBody) abort() {
	b.mu.Lock()
	cancel := b.onAbort
	b.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

// newReader returns a reader of the body for the next attempt. Earlier readers of a streamed
// body return errAttemptEnded from then on.
func (b *requestBody) newReader() io.ReadCloser {
	switch {
	case !b.fullyBuffered:
		return io.NopCloser(b.newStreamReader())
	case b.length == 0:
		return http.NoBody
	default:
		return io.NopCloser(bytes.NewReader(b.buffered))
	}
}

func (b *requestBody) newStreamReader() *streamReader {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.current = &streamReader{body: b}
	return b.current
}

// endAttempt ends the reading of the attempt in flight and reports whether the body is spent,
// which means that it can't be sent again. The transport may read the body even after it has
// returned the attempt's answer, so only what endAttempt reports is final.
func (b *requestBody) endAttempt() (spent bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.current = nil
	return b.readStarted
}

// startRead reports whether r may read the stream, which is spent then.
func (b *requestBody) startRead(r *streamReader) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.current != r {
		return false
	}
	b.readStarted = true
	return true
}

// streamReader reads a streamed body for one attempt.
type streamReader struct{ body *requestBody }

// Read reads from the caller's request body. It returns errAttemptEnded once the attempt has ended.
func (r *streamReader) Read(p []byte) (int, error) {
	if !r.body.startRead(r) {
		return 0, errAttemptEnded
	}
	return r.body.stream.Read(p)
}
