package pipeline

import (
	"time"

	"github.com/tanagerline/tanagerline/internal/edge/budget"
)

// Limits are the limits on a connection.
type Limits struct {
	// HeaderBytes limits a request's head, HeaderTime the time in which it must arrive.
	HeaderBytes int
	HeaderTime  time.Duration
	// IdleTime is the timeout of a connection without an unanswered request.
	IdleTime time.Duration
}

// Client is the client of a connection that was taken over. What the connection holds is drawn from the memory
// for clients.
type Client interface {
	// DrawReadAhead draws bytes of a head that is read before earlier requests were answered, and
	// reports false where there is no room to read ahead.
	DrawReadAhead(n int64) bool
	// DrawHead draws bytes of a head while no request is unanswered, DrawAnswer those of an answer. After an
	// error, the connection must be closed.
	DrawHead(n int64) error
	DrawAnswer(n int64) error
	// Release gives bytes of heads and answers back, ReleaseAll all that are left.
	Release(heads, answers int64)
	ReleaseAll()
	// NoteHead notes that the client sends a head while no request is unanswered, NoteRunning that a
	// request is unanswered, and NoteIdle that there is no request.
	NoteHead()
	NoteRunning()
	NoteIdle()
	// Refuse reports why the connection is closed.
	Refuse(cause budget.Cause)
}

const (
	// connectionBytes is drawn for each connection: what is read ahead, and buffers of 4 KiB for reading,
	// parsing and writing.
	connectionBytes = maxReadAhead + 3*headSlackBytes
	// headLineBytes is what a line of a head costs beside its text: an entry of a map with its value.
	headLineBytes = 128
)

// headReader reads a connection for the parser, and draws heads as they arrive.
type headReader struct{ c *connection }

// Read reads what the connection has sent. Where there is no room to read ahead, it waits for earlier answers.
func (r headReader) Read(p []byte) (int, error) {
	n, err := r.c.in.Read(p)
	if n == 0 || !r.c.in.readsHead() {
		return n, err
	}
	if drawErr := r.c.drawHead(headCost(p[:n])); drawErr != nil {
		return 0, drawErr
	}
	return n, err
}

// headCost returns what a part of a head costs in memory.
func headCost(data []byte) int64 {
	cost := int64(len(data))
	for _, b := range data {
		if b == '\n' {
			cost += headLineBytes
		}
	}
	return cost
}

// drawHead draws bytes of the head that is being read.
func (c *connection) drawHead(n int64) error {
	if c.client.DrawReadAhead(n) {
		c.headDrawn += n
		return nil
	}
	if !c.awaitAnswered() {
		return c.ctx.Err()
	}
	// The client didn't cause the wait.
	c.in.startHead(time.Now().Add(c.limits.HeaderTime))
	if err := c.client.DrawHead(n); err != nil {
		return err
	}
	c.headDrawn += n
	return nil
}

// hold draws the memory of an answer whose content will have at least the given length. A connection that has no
// room for an answer is closed: its request has run.
func (a *answer) hold(length int64) error {
	if err := a.c.ctx.Err(); err != nil {
		return err
	}
	length = max(length, a.declaredLength(), a.expected)
	if length <= a.drawn {
		return nil
	}
	if a.drawn > 0 {
		// The content outgrows its buffer.
		length = max(length, 2*a.drawn)
	}
	if err := a.c.client.DrawAnswer(length - a.drawn); err != nil {
		a.c.abort()
		return err
	}
	a.drawn = length
	return nil
}
