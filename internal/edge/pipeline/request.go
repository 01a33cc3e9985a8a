package pipeline

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"golang.org/x/net/http/httpguts"

	"github.com/tanagerline/tanagerline/internal/edge/budget"
)

// headProblem is a fault of a request's head that the client is told of.
type headProblem struct {
	status int
	text   string
}

func newHeadProblem(status int, detail string) *headProblem {
	text := http.StatusText(status)
	if detail != "" {
		text += ": " + detail
	}
	return &headProblem{status: status, text: text}
}

// readRequest reads the next request's head within the limits of the listener. The request is nil
// if there is none.
func (c *connection) readRequest() (*http.Request, *headProblem) {
	c.limits = c.pipelines.Limits()
	c.in.awaitHead(c.limits)
	if c.last.req.Method == http.MethodPost {
		skipEmptyLines(c.reader)
	}
	if _, err := c.reader.Peek(1); err != nil {
		c.in.endHead()
		c.noteTimeout(err, budget.CauseIdle)
		return nil, nil
	}
	c.in.startHead(time.Now().Add(c.limits.HeaderTime))
	req, err := http.ReadRequest(c.reader)
	tooLong := c.in.endHead()
	if tooLong {
		c.client.Refuse(budget.CauseLongHead)
	}
	if err != nil {
		c.noteTimeout(err, budget.CauseSlowHead)
		return nil, describe(err, tooLong)
	}
	if problem := checkHead(req); problem != nil {
		return nil, problem
	}
	req.RemoteAddr = c.address
	return req, nil
}

// noteTimeout reports the cause if reading failed because its time was over.
func (c *connection) noteTimeout(err error, cause budget.Cause) {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.client.Refuse(cause)
	}
}

// skipEmptyLines skips what some old clients send behind a body; net/http skips as much.
func skipEmptyLines(r *bufio.Reader) {
	const maxSkippedBytes = 4
	for range maxSkippedBytes {
		b, err := r.Peek(1)
		if err != nil || (b[0] != '\r' && b[0] != '\n') {
			return
		}
		_, _ = r.Discard(1)
	}
}

// describe returns what the client is told of an error, or nil if it is told nothing.
func describe(err error, tooLong bool) *headProblem {
	var network net.Error
	switch {
	case tooLong:
		return newHeadProblem(http.StatusRequestHeaderFieldsTooLarge, "")
	case errors.Is(err, budget.ErrShort), errors.Is(err, context.Canceled):
		return nil
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, errStopped), errors.As(err, &network):
		return nil
	default:
		return newHeadProblem(http.StatusBadRequest, "")
	}
}

// checkHead makes the checks that net/http's server makes beyond http.ReadRequest.
func checkHead(req *http.Request) *headProblem {
	switch {
	case req.ProtoMajor != 1:
		return newHeadProblem(http.StatusHTTPVersionNotSupported, "unsupported protocol version")
	case req.ProtoAtLeast(1, 1) && req.Host == "" && req.Method != http.MethodConnect:
		return newHeadProblem(http.StatusBadRequest, "missing required Host header")
	case !httpguts.ValidHostHeader(req.Host):
		return newHeadProblem(http.StatusBadRequest, "malformed Host header")
	}
	for name, values := range req.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return newHeadProblem(http.StatusBadRequest, "invalid header name")
		}
		for _, value := range values {
			if !httpguts.ValidHeaderFieldValue(value) {
				return newHeadProblem(http.StatusBadRequest, "invalid header value")
			}
		}
	}
	if expect := req.Header.Get("Expect"); expect != "" && !expectsContinue(req) {
		return newHeadProblem(http.StatusExpectationFailed, "")
	}
	return nil
}

func expectsContinue(req *http.Request) bool {
	return strings.EqualFold(req.Header.Get("Expect"), "100-continue")
}

// headBytes returns the size of a request's head in memory.
func headBytes(req *http.Request) int64 {
	// perField is what a field takes beside its text.
	const perField = 64
	size := len(req.RequestURI) + len(req.Host)
	for name, values := range req.Header {
		for _, value := range values {
			size += len(name) + len(value) + perField
		}
	}
	return int64(size)
}

// clientBody is the body of a request that is served alone.
type clientBody struct {
	io.ReadCloser
	// askFirst asks the client for the body before its first read; it may be nil.
	askFirst func() error
	// complete is set once the body was read to its end.
	complete atomic.Bool
}

// Read reads the body. It must not be called concurrently.
func (b *clientBody) Read(p []byte) (int, error) {
	if b.askFirst != nil {
		if err := b.askFirst(); err != nil {
			return 0, err
		}
		b.askFirst = nil
	}
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.complete.Store(true)
	}
	return n, err
}

// Close leaves what is unread to the connection, which is closed then.
func (b *clientBody) Close() error { return nil }
