package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	connectionBufferBytes = 16 << 10
	// maxMismatchedAnswers bounds the answers to other requests that are passed over.
	maxMismatchedAnswers = 4
	// maxMismatchedBytes bounds the body of such an answer.
	maxMismatchedBytes = 1 << 20
	// keepAliveMargin is how much earlier than the upstream says a connection is given
	// up: a request must not cross the upstream's close.
	keepAliveMargin = 500 * time.Millisecond
)

// errMismatchedAnswer is an answer that belongs to another request.
var errMismatchedAnswer = errors.New("the upstream's answer belongs to another request")

// connection is one connection to the upstream.
type connection struct {
	pool    *pool
	conn    net.Conn
	reader  *bufio.Reader
	address string
	// reused tells that the connection has carried a request before.
	reused      bool
	keepAlive time.Duration
	idleSince time.Time
	idleUntil time.Time
}

func newConnection(p *pool, conn net.Conn, address string) *connection {
	return &connection{
		pool: p, conn: conn, reader: bufio.NewReaderSize(conn, connectionBufferBytes), address: address, keepAlive: maxIdleTime,
	}
}

// openAndSilent reports whether an idle connection is open and the upstream has sent nothing.
func (c *connection) openAndSilent() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	source, ok := c.conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return false
	}
	silent := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, readErr := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		silent = errors.Is(readErr, syscall.EAGAIN)
		return true
	})
	return err == nil && silent
}

// exchange is one request and its answer on a connection.
type exchange struct {
	pool    *pool
	address string
	// maxIdle is how long the connection may have been maxIdle.
	maxIdle time.Duration
	// matches reports whether an answer is for the request; nil takes any.
	matches func(*http.Response) bool
	// skipMismatched tells that answers to other requests may come before the own one.
	skipMismatched bool

	connection *connection
	stop       func() bool
	// connected tells that the request may have reached the upstream.
	connected bool
	// answered tells that bytes of an answer came.
	answered bool
	writeResult  chan error
}

// run sends the request and returns the head of its answer. The answer's body must be
// closed; read to its end, it gives the connection back.
func (x *exchange) run(req *http.Request) (*http.Response, error) {
	ctx := req.Context()
	c, err := x.pool.get(ctx, x.address, x.maxIdle)
	if err != nil {
		return nil, err
	}
	x.connection = c
	x.connected = true
	x.stop = context.AfterFunc(ctx, func() { _ = c.conn.Close() })
	x.send(req)
	resp, err := x.readAnswer(req)
	if err != nil {
		x.closeConnection()
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		return nil, err
	}
	resp.Body = &answerBody{ReadCloser: resp.Body, exchange: x, resp: resp}
	return resp, nil
}

// send writes the request; a body is written beside the reading of the answer, which
// may come first.
func (x *exchange) send(req *http.Request) {
	x.writeResult = make(chan error, 1)
	if req.Body == nil || req.Body == http.NoBody {
		x.writeResult <- req.Write(x.connection.conn)
		return
	}
	go func() { x.writeResult <- req.Write(x.connection.conn) }()
}

// readAnswer reads the head of the request's own answer. Answers that came for an
// earlier request are passed over.
func (x *exchange) readAnswer(req *http.Request) (*http.Response, error) {
	mismatched := 0
	for {
		resp, err := http.ReadResponse(x.connection.reader, req)
		if err != nil {
			return nil, x.readError(err)
		}
		x.answered = true
		switch {
		case resp.StatusCode < http.StatusOK:
			continue
		case x.matches == nil || x.matches(resp):
			return resp, nil
		}
		mismatched++
		n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxMismatchedBytes))
		if err != nil || !x.skipMismatched || n == maxMismatchedBytes || resp.Close || mismatched == maxMismatchedAnswers {
			return nil, errMismatchedAnswer
		}
	}
}

// readError prefers the error of a write that failed first.
func (x *exchange) readError(err error) error {
	select {
	case writeErr := <-x.writeResult:
		x.writeResult <- writeErr
		if writeErr != nil {
			return fmt.Errorf("send to upstream %s: %w", x.address, writeErr)
		}
	default:
	}
	return fmt.Errorf("read the answer of upstream %s: %w", x.address, err)
}

// closeConnection closes the connection.
func (x *exchange) closeConnection() {
	x.stop()
	_ = x.connection.conn.Close()
	x.pool.release()
}

// releaseConnection keeps the connection if nothing is left on it.
func (x *exchange) releaseConnection(resp *http.Response) {
	if !x.stop() || !x.reusable(resp) {
		_ = x.connection.conn.Close()
		x.pool.release()
		return
	}
	x.pool.put(x.connection)
	x.pool.release()
}

// reusable reports whether the connection can carry another request.
func (x *exchange) reusable(resp *http.Response) bool {
	framed := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	if resp.Close || !framed || x.connection.reader.Buffered() > 0 {
		return false
	}
	select {
	case err := <-x.writeResult:
		x.connection.keepAlive = keepAliveTimeout(resp.Header)
		return err == nil
	default:
		// The upstream still expects the rest of the request's body.
		return false
	}
}

// keepAliveTimeout returns how long the upstream keeps an idle connection, less a margin.
func keepAliveTimeout(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		seconds, err := strconv.Atoi(value)
		if strings.EqualFold(name, "timeout") && err == nil {
			return max(0, time.Duration(seconds)*time.Second-keepAliveMargin)
		}
	}
	return maxIdleTime
}

// answerBody gives the connection back at the answer's end.
type answerBody struct {
	io.ReadCloser
	exchange *exchange
	resp     *http.Response
	once     sync.Once
}

// Read reads the answer's body.
func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	switch {
	case errors.Is(err, io.EOF):
		b.once.Do(func() { b.exchange.releaseConnection(b.resp) })
	case err != nil:
		b.once.Do(b.exchange.closeConnection)
	}
	return n, err
}

// Close closes the connection unless the answer was read to its end.
func (b *answerBody) Close() error {
	b.once.Do(b.exchange.closeConnection)
	return nil
}
