package peer

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"time"
)

// errHandlerEnded is returned by reads of a request's body after its handler has ended.
var errHandlerEnded = errors.New("the request's handler has ended")

// RequestBody is a request's body that another goroutine may still be reading when the handler
// ends. The server panics when it then reads the connection itself.
// Its methods may be called concurrently.
type RequestBody struct {
	body       io.ReadCloser
	controller *http.ResponseController

	// reading is held during a read.
	reading sync.Mutex
	mu      sync.Mutex
	active  bool
	ended   bool
}

// NewRequestBody returns a copy of the request whose body is a RequestBody, and that body. The request
// itself keeps its body, in which the server looks up whether the connection can carry another request.
// The handler must call End before it returns.
func NewRequestBody(w http.ResponseWriter, req *http.Request) (*http.Request, *RequestBody) {
	b := &RequestBody{body: req.Body, controller: http.NewResponseController(w)}
	guarded := req.WithContext(req.Context())
	if req.Body != http.NoBody {
		guarded.Body = b
	}
	return guarded, b
}

// Read reads from the request's body. It returns an error once End was called.
func (b *RequestBody) Read(p []byte) (int, error) {
	b.reading.Lock()
	defer b.reading.Unlock()
	if !b.start() {
		return 0, errHandlerEnded
	}
	n, err := b.body.Read(p)
	b.mu.Lock()
	b.active = false
	b.mu.Unlock()
	return n, err
}

// start reports whether a read may begin.
func (b *RequestBody) start() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.active = !b.ended
	return b.active
}

// Close does nothing: the server closes the body after the handler.
func (b *RequestBody) Close() error { return nil }

// End refuses further reads, interrupts one in progress and waits for it: what is left of the
// body is no longer wanted. It reports whether it interrupted a read; the connection must then be
// closed, because the next bytes on it belong to the body.
func (b *RequestBody) End() bool {
	b.mu.Lock()
	b.ended = true
	active := b.active
	b.mu.Unlock()
	if !active {
		return false
	}
	if err := b.controller.SetReadDeadline(time.Unix(1, 0)); err != nil {
		// The read can't be interrupted; it ends with the connection.
		return true
	}
	b.reading.Lock()
	defer b.reading.Unlock()
	return true
}

// EndOrAbort ends the body. If a read was interrupted, it sends what the handler has written and
// closes the connection by a panic with http.ErrAbortHandler.
func (b *RequestBody) EndOrAbort() {
	if !b.End() {
		return
	}
	_ = b.controller.Flush()
	panic(http.ErrAbortHandler)
}
