package budget

import (
	"context"
	"sync"
)

// TakenOver is a client's connection that was taken over from the server. Its sweeps for slow heads and idle
// connections leave it out, since whoever took it over limits those times. The zero value sets no bound.
// Its methods may be called concurrently.
type TakenOver struct {
	conn *Conn

	mu sync.Mutex
	// heads and answers are the bytes that are drawn for each.
	heads, answers int64
}

// TakeOver returns the connection of the client whose request has the context.
func TakeOver(ctx context.Context) *TakenOver { return &TakenOver{conn: connOf(ctx)} }

// DrawReadAhead adds n bytes of a head that is read before earlier requests were answered. It ends nobody, and
// reports false where the budget is short.
func (t *TakenOver) DrawReadAhead(n int64) bool {
	if t.conn == nil {
		return true
	}
	b := t.conn.budget
	b.mu.Lock()
	fits := b.ledger.readAhead(&t.conn.holder, n)
	b.mu.Unlock()
	if fits {
		t.add(n, 0)
	}
	return fits
}

// DrawHead adds n bytes of a head while no request is unanswered, or returns ErrShort. The connection must then
// be closed.
func (t *TakenOver) DrawHead(n int64) error {
	if t.conn == nil {
		return nil
	}
	if err := t.conn.budget.draw(t.conn, forHead, n); err != nil {
		return err
	}
	t.add(n, 0)
	return nil
}

// DrawAnswer adds n bytes of an answer, or returns ErrShort. The connection must then be closed, since the
// request has run.
func (t *TakenOver) DrawAnswer(n int64) error {
	if t.conn == nil {
		return nil
	}
	if err := t.conn.budget.draw(t.conn, forAnswer, n); err != nil {
		return err
	}
	t.add(0, n)
	return nil
}

func (t *TakenOver) add(heads, answers int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.heads += heads
	t.answers += answers
}

// Release gives bytes of heads and answers back.
func (t *TakenOver) Release(heads, answers int64) {
	if t.conn == nil {
		return
	}
	t.add(-heads, -answers)
	t.conn.budget.release(t.conn, forHead, heads)
	t.conn.budget.release(t.conn, forAnswer, answers)
}

// ReleaseAll gives all bytes back. Nothing may be drawn concurrently.
func (t *TakenOver) ReleaseAll() {
	t.mu.Lock()
	heads, answers := t.heads, t.answers
	t.mu.Unlock()
	t.Release(heads, answers)
}

// NoteHead notes that the client sends a head while no request is unanswered.
func (t *TakenOver) NoteHead() { t.note(phaseHead) }

// NoteRunning notes that a request is unanswered.
func (t *TakenOver) NoteRunning() { t.note(phaseRunning) }

// NoteIdle notes that there is no request.
func (t *TakenOver) NoteIdle() { t.note(phaseIdle) }

func (t *TakenOver) note(p phase) {
	if t.conn == nil {
		return
	}
	b := t.conn.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	t.conn.phase, t.conn.since = p, b.Clock()
	t.conn.holder.inHead = p == phaseHead
}

// Refuse reports that the client is refused or its connection closed for the cause.
func (t *TakenOver) Refuse(cause Cause) {
	if t.conn == nil {
		return
	}
	b := t.conn.budget
	b.mu.Lock()
	held := t.conn.holder.held
	b.mu.Unlock()
	b.Notify(Event{Cause: cause, Address: t.conn.holder.address, HeldBytes: held})
}
