package budget

import (
	"context"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// takeOver returns a connection that the server has given away while its first request runs.
func takeOver(b *Budget, c *Conn) *TakenOver {
	c.begin()
	NoteState(c, http.StateHijacked)
	return TakeOver(context.WithValue(context.Background(), contextKey{}, c))
}

// Guards against heads that are read ahead until nobody can be ended for others: running requests can't.
func TestReadAheadLeavesHalfOfTheRoom(t *testing.T) {
	b := New(16 * megabyte)
	first, _ := newConn(b, Limits{}, nil)
	var ahead int64
	for range 64 {
		client := takeOver(b, first.listener.add(&fakeConn{}))
		for client.DrawReadAhead(64 << 10) {
			ahead += 64 << 10
		}
	}
	qt.Check(t, float64(ahead) <= readAheadShare*callersShare*16*megabyte, qt.IsTrue, qt.Commentf("%d bytes", ahead))
	qt.Check(t, ahead > 4*megabyte, qt.IsTrue, qt.Commentf("%d bytes", ahead))
	// One whose earlier requests were answered goes on.
	alone := takeOver(b, first.listener.add(&fakeConn{}))
	alone.NoteHead()
	qt.Check(t, alone.DrawHead(64<<10), qt.IsNil)
}

// Guards against answers that nobody reads and that keep others from memory, and against bytes that stay booked
// behind their connection.
func TestUnreadAnswerIsClosedForOthers(t *testing.T) {
	b := New(16 * megabyte)
	now := start
	b.Clock = func() time.Time { return now }
	unread, unreadInner := newConn(b, Limits{}, nil)
	holder := takeOver(b, unread)
	qt.Assert(t, holder.DrawAnswer(7*megabyte), qt.IsNil)
	reading := unread.listener.add(&fakeConn{})
	reader := takeOver(b, reading)
	qt.Assert(t, reader.DrawAnswer(megabyte/2), qt.IsNil)
	now = now.Add(time.Minute)
	_, err := reading.Write(make([]byte, 100<<10))
	qt.Assert(t, err, qt.IsNil)
	go func() {
		// The handlers of a closed connection end.
		for b.UsedBytes() > 0 && !isEnded(b, unread) {
			time.Sleep(time.Millisecond)
		}
		holder.ReleaseAll()
	}()
	qt.Assert(t, reader.DrawAnswer(megabyte), qt.IsNil)
	qt.Check(t, unreadInner.closed, qt.IsTrue)
	qt.Check(t, holder.DrawAnswer(1), qt.ErrorIs, ErrShort)
	reader.ReleaseAll()
	qt.Check(t, b.UsedBytes(), qt.Equals, int64(0))
}

func isEnded(b *Budget, c *Conn) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return c.holder.ended
}

// Guards against an end of a connection whose pipelined requests run, or whose answers are being written: the
// sweep counted its time from the end of its first handler, and took it for idle.
func TestSweepLeavesOutWhatWasTakenOver(t *testing.T) {
	b := New(0)
	now := start
	b.Clock = func() time.Time { return now }
	c, inner := newConn(b, Limits{HeadTime: 10 * time.Second, IdleTime: 90 * time.Second}, nil)
	client := takeOver(b, c)
	c.end()
	now = start.Add(91 * time.Second)
	c.listener.sweep()
	qt.Check(t, inner.closed, qt.IsFalse)
	// It doesn't make way for others either before it is idle.
	qt.Check(t, c.listener.victim(nil), qt.IsNil)
	// Its head and idle times are limited by whoever took it over.
	client.NoteHead()
	now = now.Add(11 * time.Second)
	c.listener.sweep()
	qt.Check(t, inner.closed, qt.IsFalse)
	client.NoteIdle()
	now = now.Add(idleGrace + time.Second)
	qt.Check(t, c.listener.victim(nil) == c, qt.IsTrue)
}
