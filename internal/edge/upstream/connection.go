package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/tanagerline/tanagerline/internal/edge/http1"
)

const (
	// connectionBufferBytes is the size of a connection's read buffer. Long bodies are read
	// past it.
	connectionBufferBytes = 4 << 10
	// maxMismatchedAnswers is the number of answers to other requests at which an exchange
	// fails; fewer are skipped.
	maxMismatchedAnswers = 4
	// maxMismatchedBytes limits the body of a skipped answer; an exchange fails once this
	// many bytes were read.
	maxMismatchedBytes = 1 << 20
	// keepAliveMargin is subtracted from the upstream's keep-alive timeout, so that no
	// request is sent while the upstream closes the connection.
	keepAliveMargin = 500 * time.Millisecond
	// repeatMargin is how long after its deadline a request may still come again: each VM counts the
	// time left anew, and the request was on its way meanwhile.
	repeatMargin = time.Second
)

// errMismatchedAnswer is returned when the upstream answered another request instead.
var errMismatchedAnswer = errors.New("the upstream's answer belongs to another request")

// errUnidentifiedAnswer is returned for an answer that doesn't tell which of the connection's requests it
// belongs to.
var errUnidentifiedAnswer = errors.New("the upstream's answer does not tell which request it belongs to")

// errProtocolSwitched is returned when the upstream switches to a protocol that it was not asked for.
var errProtocolSwitched = fmt.Errorf("%w: the upstream switched protocols", http1.ErrMalformed)

// errAnswerBroken is returned when the connection ends an answer without a length before the upstream has
// taken the whole request.
var errAnswerBroken = errors.New("the upstream's answer broke off")

// connection is one TCP connection to the upstream with its read buffer.
type connection struct {
	pool    *pool
	conn    net.Conn
	limited *headLimit
	reader  *bufio.Reader
	address string
	// reused reports that the connection has carried a request before.
	reused bool
	// keepAlive is how long the upstream keeps the connection open while idle, less
	// keepAliveMargin.
	keepAlive time.Duration
	// carried holds the requests that the connection has carried and that may still come again.
	carried []carriedRequest
	// idleSince is when the last exchange ended.
	idleSince time.Time
	// idleUntil is when an idle connection expires.
	idleUntil time.Time
}

func newConnection(p *pool, conn net.Conn, address string) *connection {
	limited := &headLimit{source: conn}
	return &connection{
		pool: p, conn: conn, limited: limited, reader: bufio.NewReaderSize(limited, connectionBufferBytes),
		address: address, keepAlive: maxIdleTime,
	}
}

// carriedRequest is a request that a connection has carried.
type carriedRequest struct {
	id string
	// until is when the request can't come again any more.
	until time.Time
}

// carry remembers a request, and forgets those that can't come again.
func (c *connection) carry(id string, deadline, now time.Time) {
	c.carried = slices.DeleteFunc(c.carried, func(r carriedRequest) bool { return r.until.Before(now) })
	if id != "" {
		c.carried = append(c.carried, carriedRequest{id: id, until: deadline.Add(repeatMargin)})
	}
}

// hasCarried reports whether the connection has carried a request with the ID.
func (c *connection) hasCarried(id string) bool {
	return id != "" && slices.ContainsFunc(c.carried, func(r carriedRequest) bool { return r.id == id })
}

// openAndSilent reports whether an idle connection is open and has no unread bytes. It peeks
// at the socket without blocking.
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
	openAndSilent := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, readErr := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		openAndSilent = errors.Is(readErr, syscall.EAGAIN)
		return true
	})
	return err == nil && openAndSilent
}

// exchange sends one request on a connection and reads its answer.
type exchange struct {
	pool    *pool
	address string
	// requestID is the ID by which the upstream's answer names the request, or empty. No connection
	// carries the same ID twice, because a second answer to the earlier request can't be told
	// from the answer to the later one.
	requestID string
	// maxIdle limits how long a reused connection may have been idle; zero requires a new
	// connection.
	maxIdle time.Duration
	// match tells whose answer it is; nil takes any answer for the request's own.
	match func(*http.Response) AnswerOwner
	// skipMismatched allows answers to other requests before the request's own.
	skipMismatched bool

	connection *connection
	// ctx is the context of the request.
	ctx context.Context
	// stop cancels the AfterFunc that closes the connection when the request's context
	// ends. It returns false if the function has already started.
	stop func() bool
	// connected reports that a connection was obtained, so the request may have reached
	// the upstream.
	connected bool
	// skipped is the number of answers to other requests that were read.
	skipped int
	// answered reports that the head of an answer was read, also of an informational
	// answer or one to another request.
	answered bool
	// writeResult receives the result of writing the request.
	writeResult chan error
}

// run sends the request and returns its answer, whose body must be closed. Reading the body
// to its end returns the connection to the pool.
func (x *exchange) run(req *http.Request) (*http.Response, error) {
	ctx := req.Context()
	x.ctx = ctx
	c, err := x.pool.get(ctx, x.address, x.requestID, x.maxIdle)
	if err != nil {
		return nil, err
	}
	if deadline, ok := ctx.Deadline(); ok {
		c.carry(x.requestID, deadline, time.Now())
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

// send writes the request. A request with a body is written concurrently with reading the
// answer, because the upstream may answer before it has read the whole body.
func (x *exchange) send(req *http.Request) {
	x.writeResult = make(chan error, 1)
	if req.Body == nil || req.Body == http.NoBody {
		x.writeResult <- req.Write(x.connection.conn)
		return
	}
	go func() { x.writeResult <- req.Write(x.connection.conn) }()
}

// readAnswer reads the head of the request's own answer. It skips informational answers and,
// if skipMismatched is set, answers to other requests.
func (x *exchange) readAnswer(req *http.Request) (*http.Response, error) {
	x.connection.limited.expectHead()
	for {
		x.connection.limited.recordHead(x.connection.reader)
		resp, err := http.ReadResponse(x.connection.reader, req)
		malformed := x.connection.limited.checkHead()
		if err != nil {
			return nil, x.readError(err)
		}
		x.answered = true
		if malformed != nil {
			return nil, malformed
		}
		if resp.StatusCode < http.StatusOK {
			if resp.StatusCode == http.StatusSwitchingProtocols {
				return nil, errProtocolSwitched
			}
			continue
		}
		x.connection.limited.headRead()
		switch x.ownerOf(resp) {
		case OwnAnswer:
			return resp, nil
		case UnidentifiedAnswer:
			return nil, errUnidentifiedAnswer
		default:
		}
		x.skipped++
		n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxMismatchedBytes))
		if err != nil || !x.skipMismatched || n == maxMismatchedBytes || resp.Close || x.skipped == maxMismatchedAnswers {
			return nil, errMismatchedAnswer
		}
		x.connection.limited.expectHead()
	}
}

// ownerOf tells whose answer it is. The first answer on a connection needs no identification.
func (x *exchange) ownerOf(resp *http.Response) AnswerOwner {
	if x.match == nil {
		return OwnAnswer
	}
	owner := x.match(resp)
	if owner == UnidentifiedAnswer && !x.connection.reused && x.skipped == 0 {
		return OwnAnswer
	}
	return owner
}

// readError wraps a read error. If writing the request has failed by now, it returns the
// write error instead, which is the cause.
func (x *exchange) readError(err error) error {
	select {
	case writeErr := <-x.writeResult:
		x.writeResult <- writeErr
		if writeErr != nil {
			return fmt.Errorf("send request to upstream %s: %w", x.address, writeErr)
		}
	default:
	}
	return fmt.Errorf("read answer from upstream %s: %w", x.address, err)
}

// closeConnection closes the connection and releases its place in the pool.
func (x *exchange) closeConnection() {
	x.stop()
	_ = x.connection.conn.Close()
	x.pool.release()
}

// releaseConnection returns the connection to the pool for reuse, or closes it if it can't
// carry another request.
func (x *exchange) releaseConnection(resp *http.Response) {
	if !x.stop() || !x.reusable(resp) {
		_ = x.connection.conn.Close()
		x.pool.release()
		return
	}
	x.pool.put(x.connection)
	x.pool.release()
}

// reusable reports whether the connection can carry another request: the answer was framed
// and has no bytes after it, and the request was written to its end.
func (x *exchange) reusable(resp *http.Response) bool {
	if resp.Close || !framed(resp) || x.connection.reader.Buffered() > 0 {
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

// framed reports whether an answer tells its end itself, and does not end with its connection.
func framed(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
}

// checkEnd returns an error if an answer whose end was read is not complete. A reset of the connection
// looks like its regular end to the reader if the write of the request has met it before. So an answer
// that ends with the connection is complete only if the whole request was sent.
func (x *exchange) checkEnd(resp *http.Response) error {
	if framed(resp) {
		return http1.CheckFieldNames(resp.Trailer)
	}
	select {
	case err := <-x.writeResult:
		x.writeResult <- err
		if err != nil {
			return fmt.Errorf("%w: %w", errAnswerBroken, err)
		}
		return nil
	case <-x.ctx.Done():
		return fmt.Errorf("%w: %w", errAnswerBroken, x.ctx.Err())
	}
}

// keepAliveTimeout returns the timeout of the Keep-Alive header less keepAliveMargin, or
// maxIdleTime without one.
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

// answerBody is the body of an answer. It releases the connection at the body's end and
// closes it on an error or an early Close.
type answerBody struct {
	io.ReadCloser
	exchange *exchange
	resp     *http.Response
	once     sync.Once
	// broken is the error of an answer whose end was read and that is not complete.
	broken error
}

// Read reads the answer's body and releases the connection at its end.
func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	switch {
	case errors.Is(err, io.EOF):
		b.once.Do(func() {
			if b.broken = b.exchange.checkEnd(b.resp); b.broken != nil {
				b.exchange.closeConnection()
				return
			}
			b.exchange.releaseConnection(b.resp)
		})
		if b.broken != nil {
			return n, b.broken
		}
	case err != nil:
		b.once.Do(b.exchange.closeConnection)
	}
	return n, err
}

// Close closes the connection unless the body was read to its end.
func (b *answerBody) Close() error {
	b.once.Do(b.exchange.closeConnection)
	return nil
}
