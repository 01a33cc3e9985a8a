package budget

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a full listener that closes a connection which makes progress, or one of a running
// request, instead of one that stands still.
func TestConnectionThatStandsStillMakesWay(t *testing.T) {
	b := New(16 * megabyte)
	now := start
	b.Clock = func() time.Time { return now }
	first, _ := newConn(b, Limits{}, nil)
	l := first.listener
	add := func() *Conn { return l.add(&fakeConn{}) }
	running, idle, head, body := first, add(), add(), add()
	running.begin()
	idle.begin()
	idle.end()
	NoteState(idle, http.StateIdle)
	qt.Assert(t, head.received([]byte("GET ")), qt.IsNil)
	body.begin()
	body.holder.readers++
	qt.Check(t, l.victim(nil), qt.IsNil)
	now = now.Add(time.Minute)
	for _, want := range []*Conn{body, head, idle, nil} {
		victim := l.victim(nil)
		qt.Assert(t, victim == want, qt.IsTrue)
		if victim != nil {
			victim.closeFor(CauseConnections)
		}
	}
}

// Guards against heads and idle connections that stay for ever, and against the end of those within
// their limits.
func TestSweepClosesWhatExceedsItsTime(t *testing.T) {
	b := New(0)
	now := start
	b.Clock = func() time.Time { return now }
	head, headInner := newConn(b, Limits{HeadTime: 10 * time.Second, IdleTime: 90 * time.Second}, nil)
	idleInner := &fakeConn{}
	idle := head.listener.add(idleInner)
	idle.begin()
	idle.end()
	NoteState(idle, http.StateIdle)
	now = start.Add(9 * time.Second)
	head.listener.sweep()
	qt.Check(t, headInner.closed, qt.IsFalse)
	now = start.Add(11 * time.Second)
	head.listener.sweep()
	qt.Check(t, headInner.closed, qt.IsTrue)
	qt.Check(t, idleInner.closed, qt.IsFalse)
	now = start.Add(91 * time.Second)
	head.listener.sweep()
	qt.Check(t, idleInner.closed, qt.IsTrue)
}
