package budget

import (
	"context"
	"errors"
	"sync"
	"time"
)

// releaseTimeout bounds the wait of a draw for the bytes of a holder that was told to end: its handler
// only returns from an interrupted read.
const releaseTimeout = time.Second

// Cause is why a client was refused or its connection closed.
type Cause string

// The causes.
const (
	// CauseMemory is a client that the budget had no room for, or the one with the least progress.
	CauseMemory Cause = "memory"
	// CauseConnections is a connection that made way for another one.
	CauseConnections Cause = "connections"
	// CauseSlowBody is a body that arrived more slowly than the least rate.
	CauseSlowBody Cause = "slow-body"
	// CauseSlowHead is a head that was not complete in time.
	CauseSlowHead Cause = "slow-head"
	// CauseIdle is a connection without a request for longer than the idle time.
	CauseIdle Cause = "idle"
	// CauseUnread is a connection whose client did not read its answers in time.
	CauseUnread Cause = "unread-answers"
	// CauseLongHead is a head over the limit.
	CauseLongHead Cause = "long-head"
	// CauseLongBody is a body over the limit.
	CauseLongBody Cause = "long-body"
)

// Event reports that a client was refused or its connection closed.
type Event struct {
	Cause   Cause
	Address string
	// HeldBytes is what the client held of the budget.
	HeldBytes int64
}

// ErrShort is returned for a body that the budget has no room for.
var ErrShort = errors.New("the node is short of memory for requests; send the request again later")

// Budget bounds what clients make the process hold. Its exported fields are set before use.
type Budget struct {
	// Clock returns the current time.
	Clock func() time.Time
	// Notify is told of each client that was refused or whose connection was closed; it must not block.
	Notify func(Event)

	mu     sync.Mutex
	ledger *ledger
	// released is closed and replaced whenever bytes are released.
	released chan struct{}
}

// New returns a budget of capacity bytes; zero sets no bound.
func New(capacity int64) *Budget {
	return &Budget{
		Clock: time.Now, Notify: func(Event) {}, ledger: newLedger(capacity), released: make(chan struct{}),
	}
}

// Bounded reports whether the budget has a bound.
func (b *Budget) Bounded() bool { return b.ledger.capacity > 0 }

// LongestBody returns the length in bytes of the longest body that one client can hold beside its head.
// The budget must be bounded.
func (b *Budget) LongestBody() int64 { return int64(float64(b.ledger.capacity) * connectionShare / 2) }

// UsedBytes returns the bytes that clients hold.
func (b *Budget) UsedBytes() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ledger.used()
}

// draw books n bytes for a connection. It ends others to make room, or returns ErrShort.
func (b *Budget) draw(c *Conn, use purpose, n int64) error {
	var timeout <-chan time.Time
	for {
		b.mu.Lock()
		alreadyEnded := c.holder.ended
		verdict, other := b.ledger.draw(&c.holder, use, n, b.Clock())
		released := b.released
		held := c.holder.held
		b.mu.Unlock()
		switch verdict {
		case granted:
			return nil
		case refused:
			if !alreadyEnded {
				b.Notify(Event{Cause: CauseMemory, Address: c.holder.address, HeldBytes: held})
			}
			return ErrShort
		case end:
			b.interrupt(other)
			continue
		}
		if timeout == nil {
			timeout = time.After(releaseTimeout)
		}
		select {
		case <-released:
		case <-timeout:
			b.refuse(c)
			return ErrShort
		}
	}
}

// refuse marks a connection as ended because no room came.
func (b *Budget) refuse(c *Conn) {
	b.mu.Lock()
	b.ledger.end(&c.holder)
	held := c.holder.held
	b.mu.Unlock()
	b.Notify(Event{Cause: CauseMemory, Address: c.holder.address, HeldBytes: held})
}

// interrupt ends the connection of a holder that was told to end.
func (b *Budget) interrupt(h *holder) {
	b.mu.Lock()
	held := h.held
	b.mu.Unlock()
	h.conn.interrupt()
	b.Notify(Event{Cause: CauseMemory, Address: h.address, HeldBytes: held})
}

// release takes back n bytes of a connection.
func (b *Budget) release(c *Conn, use purpose, n int64) {
	if n == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ledger.book(&c.holder, use, -n)
	close(b.released)
	b.released = make(chan struct{})
}

// Account holds the bytes of one request's body and answer. The zero value sets no bound.
// Its methods may be called concurrently.
type Account struct {
	conn *Conn

	mu sync.Mutex
	// held are the bytes of the body, answer those of the answer.
	held, answer int64
	// closed is set by Release, which may come while a body is still being read.
	closed bool
}

// Open returns an account of the client whose request has the context.
func Open(ctx context.Context) *Account {
	return &Account{conn: connOf(ctx)}
}

// Draw adds n bytes, or returns ErrShort. The client's connection must then be closed.
func (a *Account) Draw(n int64) error { return a.draw(forBody, n) }

// DrawAnswer adds n bytes of an answer that is kept until the client has read it, or returns ErrShort. The
// client's connection must then be closed without an answer, since the request has run.
func (a *Account) DrawAnswer(n int64) error { return a.draw(forAnswer, n) }

func (a *Account) draw(use purpose, n int64) error {
	if a.conn == nil || n == 0 {
		return nil
	}
	if err := a.conn.budget.draw(a.conn, use, n); err != nil {
		return err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed {
		a.conn.budget.release(a.conn, use, n)
		return ErrShort
	}
	if use == forAnswer {
		a.answer += n
		return nil
	}
	a.held += n
	return nil
}

// Release gives all bytes back. Further draws are refused.
func (a *Account) Release() {
	if a.conn == nil {
		return
	}
	a.mu.Lock()
	held, answer := a.held, a.answer
	a.held, a.answer, a.closed = 0, 0, true
	a.mu.Unlock()
	a.conn.budget.release(a.conn, forBody, held)
	a.conn.budget.release(a.conn, forAnswer, answer)
}

// Refuse reports that the client of the account is refused for the cause.
func (a *Account) Refuse(cause Cause) {
	if a.conn != nil {
		a.conn.budget.Notify(Event{Cause: cause, Address: a.conn.holder.address})
	}
}

// startReading and endReading bracket the reading of a body, during which the client may be ended.
func (a *Account) startReading() { a.addReader(1) }

func (a *Account) endReading() { a.addReader(-1) }

func (a *Account) addReader(n int) {
	if a.conn == nil {
		return
	}
	b := a.conn.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	a.conn.holder.readers += n
}

// received counts n bytes of a body as progress.
func (a *Account) received(n int) {
	if a.conn == nil || n <= 0 {
		return
	}
	b := a.conn.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	a.conn.holder.add(int64(n), b.Clock())
}

// ended reports whether the client was told to end.
func (a *Account) ended() bool {
	if a.conn == nil {
		return false
	}
	b := a.conn.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	return a.conn.holder.ended
}
