package budget

import (
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// fakeConn is a connection that only notes whether it was closed.
type fakeConn struct {
	net.Conn
	arriving io.Reader
	closed   bool
}

func (f *fakeConn) Read(p []byte) (int, error)       { return f.arriving.Read(p) }
func (f *fakeConn) Write(p []byte) (int, error)      { return len(p), nil }
func (f *fakeConn) Close() error                     { f.closed = true; return nil }
func (f *fakeConn) SetReadDeadline(time.Time) error  { return nil }
func (f *fakeConn) SetWriteDeadline(time.Time) error { return nil }
func (f *fakeConn) RemoteAddr() net.Addr             { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 1} }

// newConn returns a connection on which arriving arrives.
func newConn(b *Budget, limits Limits, arriving []byte) (*Conn, *fakeConn) {
	inner := &fakeConn{arriving: bytes.NewReader(arriving)}
	l := &Listener{Budget: b, Class: Callers, MaxConnections: 10, Limits: func() Limits { return limits }}
	l.conns, l.changed = map[*Conn]bool{}, make(chan struct{})
	return l.add(inner), inner
}

// Guards against memory for bytes that were only announced: a client sends 100 bytes of a megabyte.
func TestBodyDrawsAsItArrives(t *testing.T) {
	b := New(16 * megabyte)
	c, _ := newConn(b, Limits{}, nil)
	a := &Account{conn: c}
	parts := &stoppingReader{data: make([]byte, 100), stop: make(chan struct{}), stopped: make(chan struct{})}
	done := make(chan error)
	go func() {
		_, err := a.ReadAll(parts, megabyte, &Pace{})
		done <- err
	}()
	<-parts.stopped
	qt.Check(t, b.UsedBytes(), qt.Equals, int64(firstStepBytes))
	close(parts.stop)
	qt.Assert(t, <-done, qt.ErrorIs, io.ErrUnexpectedEOF)
	qt.Check(t, b.UsedBytes(), qt.Equals, int64(0))
}

// stoppingReader returns its data, then waits and fails.
type stoppingReader struct {
	data          []byte
	stop, stopped chan struct{}
}

func (r *stoppingReader) Read(p []byte) (int, error) {
	if len(r.data) == 0 {
		close(r.stopped)
		<-r.stop
		return 0, io.ErrUnexpectedEOF
	}
	n := copy(p, r.data)
	r.data = r.data[n:]
	return n, nil
}

// Guards against a body that is changed by growing buffers.
func TestBodyIsReadWhole(t *testing.T) {
	data := make([]byte, 100_001)
	for i := range data {
		data[i] = byte(i % 251)
	}
	for _, limit := range []int64{int64(len(data)), int64(len(data)) + 1, 2 * int64(len(data))} {
		c, _ := newConn(New(16*megabyte), Limits{}, nil)
		read, err := (&Account{conn: c}).ReadAll(bytes.NewReader(data), limit, &Pace{})
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, bytes.Equal(read, data), qt.IsTrue)
	}
}

// Guards against a single deadline for a whole body: bytes at the least rate move it, and fewer do not.
func TestDeadlineMovesWithProgress(t *testing.T) {
	var moved int
	pace := &Pace{Window: time.Second, SetDeadline: func(time.Time) error { moved++; return nil }}
	for range 10 {
		pace.received(LeastRate / 4)
	}
	qt.Check(t, moved, qt.Equals, 2)
	c, _ := newConn(New(16*megabyte), Limits{}, nil)
	_, err := (&Account{conn: c}).ReadAll(failingReader{os.ErrDeadlineExceeded}, megabyte, pace)
	qt.Check(t, err, qt.ErrorIs, ErrTooSlow)
}

type failingReader struct{ err error }

func (r failingReader) Read([]byte) (int, error) { return 0, r.err }

// Guards against draws that come after the release of their account and are never given back.
func TestReleasedAccountDrawsNoMore(t *testing.T) {
	b := New(16 * megabyte)
	c, _ := newConn(b, Limits{}, nil)
	a := &Account{conn: c}
	a.Release()
	qt.Assert(t, errors.Is(a.Draw(1), ErrShort), qt.IsTrue)
	qt.Assert(t, b.UsedBytes(), qt.Equals, int64(0))
}

// Guards against heads without end, and against a head of legal size that is refused because of
// the body behind it.
func TestHeadOverTheLimitClosesTheConnection(t *testing.T) {
	const limit = 16 << 10
	for _, length := range []int{limit + readBufferBytes, limit + readBufferBytes + 1} {
		var causes []Cause
		b := New(16 * megabyte)
		b.Notify = func(e Event) { causes = append(causes, e.Cause) }
		c, inner := newConn(b, Limits{HeadBytes: limit}, make([]byte, length))
		_, err := io.Copy(io.Discard, io.LimitReader(c, int64(length)))
		if length == limit+readBufferBytes {
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, inner.closed, qt.IsFalse)
			continue
		}
		qt.Assert(t, err, qt.ErrorIs, errLongHead)
		qt.Assert(t, inner.closed, qt.IsTrue)
		qt.Assert(t, causes, qt.DeepEquals, []Cause{CauseLongHead})
		qt.Assert(t, b.UsedBytes(), qt.Equals, int64(0))
	}
}

// Guards against heads of very short lines, which cost many times their length in memory.
func TestHeadsLinesAreDrawn(t *testing.T) {
	b := New(16 * megabyte)
	c, _ := newConn(b, Limits{}, bytes.Repeat([]byte("a:\n"), 4<<10))
	_, err := io.Copy(io.Discard, c)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, b.UsedBytes() > 4<<10*headLineBytes, qt.IsTrue)
	c.begin()
	c.end()
	qt.Check(t, b.UsedBytes(), qt.Equals, int64(0))
}
