package budget

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// readBufferBytes is the size of net/http's read buffer, in which the beginning of a body can arrive
	// with the end of its head.
	readBufferBytes = 4 << 10
	// headLineBytes is what a line of a head costs beside its text: an entry of a map with its value.
	headLineBytes = 128
	// freeHeadBytes is what a head costs as part of its connection; only what is beyond it is drawn
	// from the budget. Most heads cost less.
	freeHeadBytes = 8 << 10
	// headStepBytes is the least that is drawn for a head at once.
	headStepBytes = 4 << 10
	// writeStepBytes is the most that is written before it is counted.
	writeStepBytes = 32 << 10
)

// errLongHead is returned by reads of a head over the limit.
var errLongHead = errors.New("the head is longer than the limit")

// longHeadAnswer answers a request whose head is over the limit. Its head is not complete, so that it has
// not run.
const longHeadAnswer = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"

// phase is what a connection is doing.
type phase int

const (
	// phaseNew is a connection on which nothing has arrived.
	phaseNew phase = iota
	// phaseHead is one on which a part of a head has arrived.
	phaseHead
	// phaseRunning is one whose request is being handled, or was and leaves a body to be read.
	phaseRunning
	// phaseIdle is one between two requests.
	phaseIdle
)

// Conn is a client's connection whose requests draw from a budget.
type Conn struct {
	net.Conn
	budget   *Budget
	listener *Listener

	// The fields below are guarded by the budget's lock.
	holder holder
	phase  phase
	// since is when the phase began.
	since time.Time
	// hijacked is set once the server has given the connection away. TakenOver notes its phases then.
	hijacked bool
	// closed is set once Close has given back what the head held.
	closed bool
	// running is the number of requests that are being handled.
	running int
	// headBytes is the length of the present head so far, headCost what it costs, and headDrawn what
	// was drawn for it.
	headBytes, headCost, headDrawn int64

	deadlines sync.Mutex
	// interrupted is set once reads must fail; deadlines that are set later have no effect.
	interrupted bool
	once        sync.Once
	closeErr    error
}

// Read reads from the connection. What belongs to a head is drawn from the budget; if that has no room,
// the connection is closed.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n <= 0 {
		return n, err
	}
	if headErr := c.received(p[:n]); headErr != nil {
		if errors.Is(headErr, errLongHead) {
			_ = c.SetWriteDeadline(time.Now().Add(time.Second))
			_, _ = io.WriteString(c.Conn, longHeadAnswer)
			c.closeFor(CauseLongHead)
		}
		c.interrupt()
		return 0, headErr
	}
	return n, err
}

// Write writes to the connection. What a client takes of an answer that draws from the budget counts as its
// progress.
func (c *Conn) Write(p []byte) (int, error) {
	c.budget.mu.Lock()
	drawn := c.holder.answers > 0
	c.budget.mu.Unlock()
	if !drawn {
		return c.Conn.Write(p)
	}
	written := 0
	for {
		n, err := c.Conn.Write(p[written:min(len(p), written+writeStepBytes)])
		written += n
		c.budget.mu.Lock()
		c.holder.add(int64(n), c.budget.Clock())
		c.budget.mu.Unlock()
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

// received counts bytes of a head.
func (c *Conn) received(data []byte) error {
	n := int64(len(data))
	b := c.budget
	b.mu.Lock()
	now := b.Clock()
	if c.hijacked {
		c.holder.add(n, now)
		b.mu.Unlock()
		return nil
	}
	switch c.phase {
	case phaseRunning:
		b.mu.Unlock()
		return nil
	case phaseNew, phaseIdle:
		c.phase, c.since, c.headBytes, c.headCost = phaseHead, now, 0, 0
		c.holder.inHead = true
	case phaseHead:
	}
	c.headBytes += n
	c.holder.add(n, now)
	c.headCost += n + headLineBytes*int64(bytes.Count(data, lineEnd))
	more := c.headCost - freeHeadBytes - c.headDrawn
	length := c.headBytes
	b.mu.Unlock()
	if limit := c.listener.headLimit(length - readBufferBytes); limit > 0 && length-readBufferBytes > limit {
		return errLongHead
	}
	if more <= 0 {
		return nil
	}
	more = (more + headStepBytes - 1) / headStepBytes * headStepBytes
	if err := b.draw(c, forHead, more); err != nil {
		return err
	}
	b.mu.Lock()
	if c.closed {
		// Nobody gives the head's bytes back behind Close.
		b.mu.Unlock()
		b.release(c, forHead, more)
		return net.ErrClosed
	}
	c.headDrawn += more
	b.mu.Unlock()
	return nil
}

var lineEnd = []byte{'\n'}

// begin notes that a request is being handled.
func (c *Conn) begin() {
	b := c.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	c.running++
	c.phase, c.since = phaseRunning, b.Clock()
	c.holder.inHead = false
}

// end notes that a request's handler has returned.
func (c *Conn) end() {
	b := c.budget
	b.mu.Lock()
	c.running--
	if c.running > 0 {
		b.mu.Unlock()
		return
	}
	if !c.hijacked {
		// The server still reads what is left of the body before the connection is idle.
		c.since = b.Clock()
	}
	drawn := c.headDrawn
	c.headDrawn = 0
	b.mu.Unlock()
	b.release(c, forHead, drawn)
}

// NoteState follows the state of a server's connection; it is meant for http.Server.
func NoteState(conn net.Conn, state http.ConnState) {
	c := unwrap(conn)
	if c == nil {
		return
	}
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	switch state {
	case http.StateIdle:
		c.phase, c.since = phaseIdle, c.budget.Clock()
		c.holder.inHead = false
	case http.StateHijacked:
		c.hijacked = true
	default:
	}
}

// drains reports whether the server reads what is left of a body whose request was handled. The budget's
// lock must be held.
func (c *Conn) drains() bool { return c.phase == phaseRunning && c.running == 0 && !c.hijacked }

// interrupt lets every read fail from now on. While no request is being handled that could be answered,
// it closes the connection. It also does where an answer waits for the client, and where the server has given the
// connection away.
func (c *Conn) interrupt() {
	c.deadlines.Lock()
	c.interrupted = true
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
	c.deadlines.Unlock()
	c.budget.mu.Lock()
	running := c.running > 0 && !c.hijacked && c.holder.answers == 0
	c.budget.mu.Unlock()
	if !running {
		_ = c.Close()
	}
}

// SetReadDeadline sets the deadline of reads, unless they were interrupted.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.deadlines.Lock()
	defer c.deadlines.Unlock()
	if c.interrupted {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline sets the deadlines of reads and writes.
func (c *Conn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// Close closes the connection and gives back what its head holds.
func (c *Conn) Close() error {
	c.once.Do(func() {
		c.closeErr = c.Conn.Close()
		b := c.budget
		b.mu.Lock()
		delete(b.ledger.holders, &c.holder)
		c.closed = true
		drawn := int64(0)
		if c.running == 0 {
			drawn, c.headDrawn = c.headDrawn, 0
		}
		b.mu.Unlock()
		b.release(c, forHead, drawn)
		c.listener.remove(c)
	})
	return c.closeErr
}

// closeFor closes the connection and reports the cause. Its bodies can't be read any more.
func (c *Conn) closeFor(cause Cause) {
	b := c.budget
	b.mu.Lock()
	b.ledger.end(&c.holder)
	held := c.holder.held
	b.mu.Unlock()
	b.Notify(Event{Cause: cause, Address: c.holder.address, HeldBytes: held})
	_ = c.Close()
}
