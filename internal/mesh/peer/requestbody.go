package peer

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// maxRestBytes is how much of a body that was not read to its end is read behind the answer, so that
	// the connection can carry another request. It is net/http's own limit.
	maxRestBytes = 256 << 10
	// restTimeout bounds that read. A lost packet arrives again within a few hundred milliseconds.
	restTimeout = 2 * time.Second
)

// errHandlerEnded is returned by reads of a request's body after its handler has ended.
var errHandlerEnded = errors.New("the request's handler has ended")

// errReadPanic is returned by a read of a request's body in which net/http panicked.
var errReadPanic = errors.New("reading the request's body panicked")

// RequestBody is the body of a request whose handler answers in full duplex, and which another goroutine
// may still be reading when the handler ends.
//
// In full duplex, net/http's server must not be left to read the rest of a body behind the handler:
// at the body's end it starts a background read, which then meets the read of the next request or,
// if that is already buffered, of the next request's body. Both panic, and a body is read in
// goroutines where a panic ends the process. So the handler itself ends the readers and reads the
// rest before it returns, or the connection carries no further request.
//
// Its methods may be called concurrently, except for Finish and Abort.
type RequestBody struct {
	body       io.ReadCloser
	writer     http.ResponseWriter
	request    *http.Request
	controller *http.ResponseController
	// finished is set once the handler called Finish.
	finished bool

	// reading is held during a read.
	reading sync.Mutex
	mu      sync.Mutex
	active  bool
	ended   bool
	// started is set once a read began, and err is the result of the last read: io.EOF behind the
	// whole body.
	started bool
	err     error
}

// NewRequestBody returns a copy of the request whose body is a RequestBody, and that body. The request
// itself keeps its body, in which the server looks up whether the connection can carry another request.
// The handler must defer Abort, and call Finish behind its answer.
func NewRequestBody(w http.ResponseWriter, req *http.Request) (*http.Request, *RequestBody) {
	b := &RequestBody{body: req.Body, writer: w, request: req, controller: http.NewResponseController(w)}
	guarded := req.WithContext(req.Context())
	if req.Body == http.NoBody {
		b.err = io.EOF
		return guarded, b
	}
	guarded.Body = b
	return guarded, b
}

// Read reads from the request's body. It returns an error once End was called. A panic of the server's
// reader becomes an error: the goroutines that read bodies have no handler of net/http around them, so
// it would end the process.
func (b *RequestBody) Read(p []byte) (n int, err error) {
	b.reading.Lock()
	defer b.reading.Unlock()
	if !b.start() {
		return 0, errHandlerEnded
	}
	defer func() {
		if panicked := recover(); panicked != nil {
			n, err = 0, fmt.Errorf("%w: %v", errReadPanic, panicked)
		}
		b.mu.Lock()
		b.active = false
		b.err = err
		b.mu.Unlock()
	}()
	return b.body.Read(p)
}

// start reports whether a read may begin.
func (b *RequestBody) start() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.active = !b.ended
	b.started = b.started || b.active
	return b.active
}

// Close does nothing: the server closes the body after the handler.
func (b *RequestBody) Close() error { return nil }

// refuse refuses further reads.
func (b *RequestBody) refuse() {
	b.mu.Lock()
	b.ended = true
	b.mu.Unlock()
}

// End refuses further reads, interrupts one in progress and waits for it: what is left of the
// body is no longer wanted. It reports whether it interrupted a read; the connection must then be
// closed, because the next bytes on it belong to the body.
func (b *RequestBody) End() bool {
	b.refuse()
	b.mu.Lock()
	interrupts := b.active
	b.mu.Unlock()
	if !interrupts {
		return false
	}
	if err := b.controller.SetReadDeadline(time.Unix(1, 0)); errors.Is(err, http.ErrNotSupported) {
		// The read can't be interrupted; it ends with the connection.
		return true
	}
	b.reading.Lock()
	defer b.reading.Unlock()
	return true
}

// Finish ends the body behind the handler's answer. It reads what is left of the body if that is short
// and the answer's end is known to the requester; otherwise it lets the server close the connection.
func (b *RequestBody) Finish() {
	b.finished = true
	b.refuse()
	started, err := b.result()
	if errors.Is(err, io.EOF) || b.request.ProtoMajor != 1 {
		b.End()
		return
	}
	if !started && b.request.Header.Get("Expect") != "" && b.request.ProtoAtLeast(1, 1) {
		// The requester was never asked for the body, and the server closes the connection.
		return
	}
	// The server may read on as well.
	_ = b.controller.SetReadDeadline(time.Now().Add(restTimeout))
	if err == nil && b.expectsRest() && b.readRest() {
		return
	}
	b.End()
	b.closeConnection()
}

// result reports whether a read has begun, and the result of the last one.
func (b *RequestBody) result() (started bool, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.started, b.err
}

// Abort ends the body if the handler panics: Finish was not called then, and the server closes the
// connection without reading on.
func (b *RequestBody) Abort() {
	if b.finished {
		return
	}
	b.End()
	if _, err := b.result(); !errors.Is(err, io.EOF) {
		_ = b.controller.SetReadDeadline(time.Unix(1, 0))
	}
}

// expectsRest reports whether the rest of the body is worth reading.
func (b *RequestBody) expectsRest() bool {
	head := b.writer.Header()
	if b.request.Close || strings.EqualFold(head.Get("Connection"), "close") || b.request.Header.Get("Expect") != "" {
		// The server closes the connection anyway.
		return false
	}
	// Without a length, the answer ends only with the handler.
	return head.Get("Content-Length") != "" && b.request.ContentLength <= maxRestBytes
}

// readRest reads the rest of the body, behind a read in progress, and reports whether it got to its end.
func (b *RequestBody) readRest() bool {
	if err := b.controller.Flush(); err != nil {
		return false
	}
	b.reading.Lock()
	defer b.reading.Unlock()
	if _, err := b.result(); err != nil {
		return errors.Is(err, io.EOF)
	}
	_, err := io.CopyN(io.Discard, b.body, maxRestBytes+1)
	return errors.Is(err, io.EOF)
}

// closeConnection lets the server close the connection behind the answer, after a moment in which
// the requester can read it. net/http offers that only through the limit on a body's length.
func (b *RequestBody) closeConnection() {
	_, _ = io.Copy(io.Discard, http.MaxBytesReader(b.writer, io.NopCloser(strings.NewReader("x")), 0))
}
