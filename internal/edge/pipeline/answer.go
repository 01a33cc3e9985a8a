package pipeline

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"net/http/httputil"
	"strconv"
	"strings"
	"time"

	"golang.org/x/net/http/httpguts"
)

// answer holds the answer to one request until it is written to the connection. It is the
// http.ResponseWriter of the request's handler.
type answer struct {
	c         *connection
	req       *http.Request
	headBytes int64
	// headDrawn and drawn are the bytes that are drawn for the head and for the content, expected the
	// length that ExpectContent announced.
	headDrawn, drawn, expected int64
	// body is the request's body, or nil.
	body *clientBody
	// last is set if no request behind this one is read.
	last bool

	// Only the handler uses these until done is closed.
	header  http.Header
	sent    http.Header
	status  int
	content []byte
	// skipped is the length of the content that is not sent.
	skipped int64
	writeBy time.Time
	held    int64
	// aborted is set if the handler broke the answer off, flushed if it had sent a part before.
	aborted, flushed bool

	// front is closed when all earlier answers were written, done when the handler has ended,
	// and written when the answer was written.
	front, done, written chan struct{}
}

func newAnswer(c *connection, req *http.Request) *answer {
	return &answer{
		c: c, req: req, header: http.Header{},
		front: make(chan struct{}), done: make(chan struct{}), written: make(chan struct{}),
	}
}

// guardBody gives the request a body that follows how much of it is read.
func (a *answer) guardBody(req *http.Request) {
	if req.Body == nil || req.Body == http.NoBody {
		return
	}
	a.body = &clientBody{ReadCloser: req.Body}
	if expectsContinue(req) && req.ProtoAtLeast(1, 1) {
		a.body.askFirst = a.c.sendContinue
	}
	req.Body = a.body
}

// Header returns the answer's headers.
func (a *answer) Header() http.Header { return a.header }

// WriteHeader sets the answer's status. Informational answers are left out.
func (a *answer) WriteHeader(status int) {
	if a.status != 0 || status < http.StatusOK {
		return
	}
	a.status = status
	a.sent = a.header.Clone()
}

// Write adds to the answer's content. When the connection holds too many bytes, it waits until the
// earlier answers were written.
func (a *answer) Write(p []byte) (int, error) {
	a.WriteHeader(http.StatusOK)
	switch {
	case !bodyAllowed(a.status):
		return 0, http.ErrBodyNotAllowed
	case a.req.Method == http.MethodHead:
		a.skipped += int64(len(p))
		return len(p), nil
	}
	if declared := a.declaredLength(); declared >= 0 && int64(len(a.content)+len(p)) > declared {
		return 0, http.ErrContentLength
	}
	// The handler may have the whole answer while it waits below.
	if err := a.hold(int64(len(a.content) + len(p))); err != nil {
		return 0, err
	}
	if a.c.held.Load()+int64(len(p)) > a.c.maxBytes() {
		select {
		case <-a.front:
		case <-a.c.ctx.Done():
			return 0, a.c.ctx.Err()
		}
	}
	a.c.held.Add(int64(len(p)))
	a.held += int64(len(p))
	if int64(cap(a.content)) < a.drawn {
		a.content = append(make([]byte, 0, a.drawn), a.content...)
	}
	a.content = append(a.content, p...)
	return len(p), nil
}

// Flush only has an effect if the handler breaks the answer off later: what was flushed is then
// written. Other answers are written once they are complete.
func (a *answer) Flush() {
	a.WriteHeader(http.StatusOK)
	a.flushed = true
}

// EnableFullDuplex does nothing: the handler may always write before it has read the body.
func (a *answer) EnableFullDuplex() error { return nil }

// SetReadDeadline sets the deadline for reading the request's body.
func (a *answer) SetReadDeadline(t time.Time) error {
	if a.body != nil {
		a.c.in.SetReadDeadline(t)
	}
	return nil
}

// SetWriteDeadline sets the deadline for writing the answer, which is not before writeGrace
// from when its turn comes. Resetting it has no effect: the answer is written after the handler.
func (a *answer) SetWriteDeadline(t time.Time) error {
	if !t.IsZero() {
		a.writeBy = t
	}
	return nil
}

func (a *answer) writeDeadline(now time.Time) time.Time {
	least := now.Add(writeGrace)
	if a.writeBy.After(least) {
		return a.writeBy
	}
	return least
}

// finish ends the answer; completed is false if the handler broke it off. An answer shorter than
// its Content-Length must not look complete either.
func (a *answer) finish(completed bool) {
	if completed {
		a.WriteHeader(http.StatusOK)
		completed = a.req.Method == http.MethodHead || !bodyAllowed(a.status) || a.declaredLength() < 0 ||
			a.declaredLength() == int64(len(a.content))
	}
	a.aborted = !completed
	if a.c.ctx.Err() != nil {
		a.drop()
	}
	close(a.done)
	a.c.work.Done()
}

// drop gives back the memory of an answer whose handler has ended and that is not written any more.
func (a *answer) drop() {
	a.content = nil
	a.c.client.Release(a.headDrawn, a.drawn)
	a.headDrawn, a.drawn = 0, 0
}

func (a *answer) dropIfDone() {
	select {
	case <-a.done:
		a.drop()
	default:
	}
}

// release gives back what a written answer held.
func (a *answer) release() {
	a.c.held.Add(-a.held - a.headBytes)
	a.drop()
	a.c.in.answered()
	close(a.written)
	a.c.free <- struct{}{}
}

// closes reports whether no request may follow on the connection.
func (a *answer) closes() bool {
	return a.last || a.aborted || (a.body != nil && !a.body.complete.Load()) ||
		httpguts.HeaderValuesContainsToken(a.sent["Connection"], "close")
}

// showsBreak reports whether the client can tell the part that was flushed of an answer that was broken off from
// a complete answer.
func (a *answer) showsBreak() bool {
	return a.req.ProtoAtLeast(1, 1) || a.declaredLength() >= 0
}

// declaredLength returns the answer's Content-Length as the handler set it, or -1.
func (a *answer) declaredLength() int64 {
	length, err := strconv.ParseInt(a.sent.Get("Content-Length"), 10, 64)
	if err != nil {
		return -1
	}
	return length
}

// framing are the headers that writeTo sets itself.
var framing = map[string]bool{"Connection": true, "Content-Length": true, "Transfer-Encoding": true, "Trailer": true}

// writeTo writes the answer. The writer keeps the first error.
func (a *answer) writeTo(w *bufio.Writer, closing bool) {
	trailer := a.trailer()
	_, _ = fmt.Fprintf(w, "HTTP/1.%d %03d %s\r\n", min(a.req.ProtoMinor, 1), a.status, statusText(a.status))
	if a.sent.Get("Date") == "" {
		a.sent.Set("Date", time.Now().UTC().Format(http.TimeFormat))
	}
	_, hasType := a.sent["Content-Type"]
	if !hasType && len(a.content) > 0 && a.sent.Get("Content-Encoding") == "" {
		a.sent.Set("Content-Type", http.DetectContentType(a.content))
	}
	if a.status == http.StatusNotModified {
		a.sent.Del("Content-Type")
	}
	_ = a.sent.WriteSubset(w, framing)
	if closing {
		_, _ = w.WriteString("Connection: close\r\n")
	}
	switch {
	case !bodyAllowed(a.status):
		_, _ = w.WriteString("\r\n")
	case a.req.Method == http.MethodHead:
		if length := max(a.declaredLength(), a.skipped); length > 0 || a.declaredLength() == 0 {
			_, _ = fmt.Fprintf(w, "Content-Length: %d\r\n", length)
		}
		_, _ = w.WriteString("\r\n")
	case a.aborted && a.declaredLength() >= 0:
		_, _ = fmt.Fprintf(w, "Content-Length: %d\r\n\r\n", a.declaredLength())
		_, _ = w.Write(a.content)
	case (len(trailer) > 0 || a.aborted) && a.req.ProtoAtLeast(1, 1):
		a.writeChunked(w, trailer)
	default:
		_, _ = fmt.Fprintf(w, "Content-Length: %d\r\n\r\n", len(a.content))
		_, _ = w.Write(a.content)
	}
}

// writeChunked writes the content and the trailers, without the end if the answer was broken off.
func (a *answer) writeChunked(w *bufio.Writer, trailer http.Header) {
	for _, names := range a.sent["Trailer"] {
		_, _ = fmt.Fprintf(w, "Trailer: %s\r\n", names)
	}
	_, _ = w.WriteString("Transfer-Encoding: chunked\r\n\r\n")
	chunks := httputil.NewChunkedWriter(w)
	if len(a.content) > 0 {
		_, _ = chunks.Write(a.content)
	}
	if a.aborted {
		return
	}
	_ = chunks.Close()
	_ = trailer.Write(w)
	_, _ = io.WriteString(w, "\r\n")
}

// trailer returns the trailers: the headers with http.TrailerPrefix, and those that the Trailer
// header names.
func (a *answer) trailer() http.Header {
	trailer := http.Header{}
	for name, values := range a.header {
		if bare, ok := strings.CutPrefix(name, http.TrailerPrefix); ok {
			trailer[http.CanonicalHeaderKey(bare)] = values
			delete(a.sent, name)
		}
	}
	for _, line := range a.sent["Trailer"] {
		for name := range strings.SplitSeq(line, ",") {
			name = http.CanonicalHeaderKey(strings.TrimSpace(name))
			if values, ok := a.header[name]; ok && !framing[name] {
				trailer[name] = values
				delete(a.sent, name)
			}
		}
	}
	return trailer
}

// bodyAllowed reports whether an answer of the status has content.
func bodyAllowed(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}

func statusText(status int) string {
	if text := http.StatusText(status); text != "" {
		return text
	}
	return "status code " + strconv.Itoa(status)
}
