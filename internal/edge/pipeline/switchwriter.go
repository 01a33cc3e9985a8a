package pipeline

import (
	"context"
	"net/http"
	"sync"
	"time"
)

// switchWriter writes an answer through net/http until its connection is taken over, and to an
// answer of that connection from then on.
type switchWriter struct {
	http.ResponseWriter
	// req is a copy of the request, cancel cancels its context.
	req    *http.Request
	cancel context.CancelFunc

	mu sync.Mutex
	// started is set when a part of the answer was written through net/http, finished when the
	// handler has returned.
	started, finished bool
	// writeBy is the deadline for writing the answer.
	writeBy time.Time
	// answer is set once the connection was taken over.
	answer *answer
}

// current returns the writer for a call that starts the answer. Unless the connection was taken
// over before, it stays with net/http.
func (s *switchWriter) current() http.ResponseWriter {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.answer != nil {
		return s.answer
	}
	s.started = true
	return s.ResponseWriter
}

// Header returns the answer's headers.
func (s *switchWriter) Header() http.Header {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.answer != nil {
		return s.answer.Header()
	}
	return s.ResponseWriter.Header()
}

// WriteHeader writes the answer's status.
func (s *switchWriter) WriteHeader(status int) { s.current().WriteHeader(status) }

// Write writes a part of the answer's body.
func (s *switchWriter) Write(p []byte) (int, error) { return s.current().Write(p) }

// FlushError sends what was written, which a connection that was taken over does only for
// complete answers.
func (s *switchWriter) FlushError() error {
	return http.NewResponseController(s.current()).Flush()
}

// Flush is FlushError without its error.
func (s *switchWriter) Flush() { _ = s.FlushError() }

// SetReadDeadline sets the deadline for reading the request's body.
func (s *switchWriter) SetReadDeadline(t time.Time) error {
	return s.control(func(w *http.ResponseController) error { return w.SetReadDeadline(t) })
}

// SetWriteDeadline sets the deadline for writing the answer. The takeover resets that of the
// connection, so the answer gets it again.
func (s *switchWriter) SetWriteDeadline(t time.Time) error {
	return s.control(func(w *http.ResponseController) error {
		s.writeBy = t
		return w.SetWriteDeadline(t)
	})
}

// EnableFullDuplex lets the handler write before it has read the request's body.
func (s *switchWriter) EnableFullDuplex() error {
	return s.control((*http.ResponseController).EnableFullDuplex)
}

// control holds the lock, so that a deadline isn't set on a connection that was taken over
// meanwhile.
func (s *switchWriter) control(apply func(*http.ResponseController) error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.answer != nil {
		return apply(http.NewResponseController(s.answer))
	}
	return apply(http.NewResponseController(s.ResponseWriter))
}

// finish ends the handler; completed is false after a panic.
func (s *switchWriter) finish(completed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.finished = true
	if s.answer != nil {
		s.answer.finish(completed)
	}
}
