package pipeline

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tanagerline/tanagerline/internal/edge/budget"
)

const (
	// writeGrace is the least time for writing an answer. Within it, a client that doesn't read
	// can hold the memory of its answers.
	writeGrace = 2 * time.Second
	// lingerTime is how long a connection is still read after its last answer. Closing it with
	// unread requests would reset it, and the client could lose the answer.
	lingerTime = 500 * time.Millisecond
)

// connection serves a connection that was taken over from net/http. One goroutine reads requests
// and starts their handlers, another one writes the answers in order.
type connection struct {
	pipelines *Pipelines
	conn      net.Conn
	address   string
	client    Client
	in        *inbound
	reader    *bufio.Reader
	// ctx is the parent of the requests' contexts; it ends with the connection.
	ctx    context.Context
	cancel context.CancelFunc
	// queue holds the unanswered requests in order; it is closed behind the last one.
	queue chan *answer
	// free holds a token for each further request that may be read.
	free chan struct{}
	// writing is the answer whose turn it is; only the writing goroutine uses it.
	writing *answer
	// last is the latest request; only the reading goroutine uses it.
	last *answer
	// limits are those for the head that is being read, and headDrawn what was drawn since the last
	// one; only the reading goroutine uses them.
	limits    Limits
	headDrawn int64
	// held are the bytes of heads and of answers that wait for their turn.
	held      atomic.Int64
	readEnded atomic.Bool
	work      sync.WaitGroup
	// finished is closed when everything of the connection has ended.
	finished chan struct{}
}

func newConnection(p *Pipelines, conn *watchedConn, first *http.Request, client Client, readAhead []byte) *connection {
	// The contexts of net/http end with the first handler.
	ctx, cancel := context.WithCancel(context.WithoutCancel(first.Context()))
	c := &connection{
		pipelines: p, conn: conn.Conn, address: first.RemoteAddr, client: client,
		in:  newInbound(conn.Conn, client, readAhead),
		ctx: ctx, cancel: cancel, queue: make(chan *answer, p.MaxRequests+1), free: make(chan struct{}, p.MaxRequests),
		finished: make(chan struct{}),
	}
	c.reader = bufio.NewReader(headReader{c})
	for range p.MaxRequests {
		c.free <- struct{}{}
	}
	return c
}

// begin counts the request that net/http had read, with the function that cancels it, and
// returns its answer.
func (c *connection) begin(req *http.Request, cancel context.CancelFunc) *answer {
	<-c.free
	a := newAnswer(c, req)
	context.AfterFunc(c.ctx, cancel)
	c.push(a)
	return a
}

func (c *connection) push(a *answer) {
	c.in.begun()
	c.work.Add(1)
	c.last = a
	c.queue <- a
}

// run serves the connection until it ends.
func (c *connection) run() {
	go c.in.pump(c.cancel)
	reading := make(chan struct{})
	go func() {
		defer close(reading)
		c.readRequests()
	}()
	if c.writeAnswers() {
		c.linger()
	}
	c.abort()
	<-c.in.ended
	c.dropAnswers()
	<-reading
	c.work.Wait()
	c.client.ReleaseAll()
	c.pipelines.forget(c)
	close(c.finished)
}

// dropAnswers gives back the memory of the answers that are not written any more, before the last handler has
// ended. Those of running handlers are given back by them.
func (c *connection) dropAnswers() {
	if c.writing != nil {
		c.writing.dropIfDone()
	}
	for a := range c.queue {
		a.dropIfDone()
	}
}

// abort cancels the requests and closes the connection.
func (c *connection) abort() {
	c.cancel()
	c.in.discard()
	_ = c.conn.Close()
}

// linger discards what the client still sends until it closes the connection.
func (c *connection) linger() {
	c.cancel()
	c.in.discard()
	timer := time.NewTimer(lingerTime)
	defer timer.Stop()
	select {
	case <-c.in.ended:
	case <-timer.C:
	}
}

// readRequests reads requests and starts their handlers until the last one.
func (c *connection) readRequests() {
	defer func() {
		c.readEnded.Store(true)
		close(c.queue)
	}()
	for c.mayRead() {
		req, problem := c.readRequest()
		if problem != nil {
			c.refuse(problem)
			return
		}
		if req == nil || !c.serve(req) {
			return
		}
	}
}

// mayRead waits until a further request may be read. It reports false when there will be none.
func (c *connection) mayRead() bool {
	select {
	case <-c.free:
	case <-c.ctx.Done():
		return false
	}
	if c.held.Load() >= c.maxBytes() && !c.awaitAnswered() {
		return false
	}
	return !c.stopsHere()
}

// stopsHere reports whether the node stops and everything that was read has been parsed.
func (c *connection) stopsHere() bool {
	return c.pipelines.Stopping() && c.reader.Buffered() == 0 && c.in.empty()
}

func (c *connection) maxBytes() int64 {
	if c.pipelines.MaxBytes == 0 {
		return defaultMaxBytes
	}
	return c.pipelines.MaxBytes
}

// awaitAnswered waits until every request so far was answered. It reports false if the
// connection ended before.
func (c *connection) awaitAnswered() bool {
	select {
	case <-c.last.written:
		return true
	case <-c.ctx.Done():
		return false
	}
}

// serve starts a request's handler, and reports whether a further request may be read. A request
// that may not run ahead is served alone.
func (c *connection) serve(req *http.Request) bool {
	alone := !withoutBody(req) || !c.pipelines.MayRunAhead(req)
	if alone && !c.awaitAnswered() {
		return false
	}
	if c.ctx.Err() != nil {
		return false
	}
	ctx, cancel := context.WithCancel(c.ctx)
	req = req.WithContext(ctx)
	a := newAnswer(c, req)
	a.headBytes = headBytes(req)
	c.held.Add(a.headBytes)
	a.headDrawn, c.headDrawn = c.headDrawn, 0
	a.last = req.Close || !req.ProtoAtLeast(1, 1) || c.stopsHere()
	a.guardBody(req)
	c.push(a)
	go c.handle(a, req, cancel)
	if alone && !c.awaitAnswered() {
		return false
	}
	return !a.last
}

// handle runs the handler for one request.
func (c *connection) handle(a *answer, req *http.Request, cancel context.CancelFunc) {
	defer cancel()
	completed := false
	defer func() {
		if r := recover(); r != nil && c.pipelines.ErrorLog != nil {
			if err, ok := r.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
				c.pipelines.ErrorLog.Printf("http: panic serving %v: %v\n%s", c.address, r, debug.Stack())
			}
		}
		a.finish(completed)
	}()
	c.pipelines.Handler.ServeHTTP(a, req)
	completed = true
}

// refuse answers a request that can't be read, after those before it; it is the last one.
func (c *connection) refuse(problem *headProblem) {
	a := newAnswer(c, &http.Request{Method: http.MethodGet, ProtoMajor: 1, ProtoMinor: 1})
	a.last = true
	a.header.Set("Content-Type", "text/plain; charset=utf-8")
	a.WriteHeader(problem.status)
	_, _ = a.Write([]byte(problem.text))
	c.push(a)
	a.finish(true)
}

// writeAnswers writes the answers in order. It reports whether the last one was written and asks
// the client to close the connection.
func (c *connection) writeAnswers() (closing bool) {
	w := bufio.NewWriter(c.conn)
	for a := range c.queue {
		c.writing = a
		close(a.front)
		select {
		case <-a.done:
		case <-c.ctx.Done():
			return false
		}
		if (a.aborted && (!a.flushed || !a.showsBreak())) || c.ctx.Err() != nil {
			return false
		}
		closing = a.closes() || (c.readEnded.Load() && len(c.queue) == 0)
		_ = c.conn.SetWriteDeadline(a.writeDeadline(time.Now()))
		a.writeTo(w, closing)
		if err := w.Flush(); err != nil {
			if errors.Is(err, os.ErrDeadlineExceeded) {
				c.client.Refuse(budget.CauseUnread)
			}
			return false
		}
		if closing {
			// The requests behind it must not see that it was answered: they don't run.
			c.cancel()
			return true
		}
		a.release()
	}
	return false
}

// sendContinue asks the client for the body of the request that is served alone.
func (c *connection) sendContinue() error {
	_ = c.conn.SetWriteDeadline(time.Now().Add(writeGrace))
	_, err := c.conn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	return err
}
