package pipeline

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"
)

const (
	// maxReadAhead is the limit on bytes that are read from a connection before they are
	// wanted. Within it, the end of the connection is noticed while earlier requests run.
	maxReadAhead = 16 << 10
	// headSlackBytes is what a read buffer may take beyond a head; net/http allows the same.
	headSlackBytes = 4 << 10
)

// errStopped is returned instead of a further head once the node stops.
var errStopped = errors.New("the node is stopping")

// inbound reads a connection in the background, up to a limit, so that its end is noticed at
// once. Its methods may be called concurrently.
type inbound struct {
	conn net.Conn
	// client is told of the activity of the connection.
	client Client
	// ended is closed when nothing more is read from the connection.
	ended chan struct{}

	mu       sync.Mutex
	activity activity
	// idleTime is the timeout while no request is unanswered and none has begun to arrive.
	idleTime time.Duration
	changed  sync.Cond
	data     []byte
	err      error
	deadline time.Time
	timer    *time.Timer
	// inHead is set while a head is read or waited for, awaiting until its first byte is there.
	inHead, awaiting bool
	// left is how many more bytes may be read for the head.
	left int64
	// unanswered is the number of requests without a written answer.
	unanswered int
	stopped    bool
	discarding bool
}

func newInbound(conn net.Conn, client Client, readAhead []byte) *inbound {
	in := &inbound{conn: conn, data: append([]byte(nil), readAhead...), client: client, ended: make(chan struct{})}
	in.changed.L = &in.mu
	return in
}

// pump reads the connection until it ends and calls left then.
func (in *inbound) pump(left func()) {
	defer close(in.ended)
	defer left()
	chunk := make([]byte, headSlackBytes)
	for {
		space := in.waitForSpace()
		n, err := in.conn.Read(chunk[:min(space, len(chunk))])
		if !in.add(chunk[:n], err) {
			return
		}
	}
}

func (in *inbound) waitForSpace() int {
	in.mu.Lock()
	defer in.mu.Unlock()
	for len(in.data) >= maxReadAhead && !in.discarding {
		in.changed.Wait()
	}
	return max(maxReadAhead-len(in.data), 1)
}

func (in *inbound) add(data []byte, err error) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	if !in.discarding {
		in.data = append(in.data, data...)
	}
	in.err = err
	in.changed.Broadcast()
	return err == nil
}

// Read returns what the connection has sent.
func (in *inbound) Read(p []byte) (int, error) {
	in.mu.Lock()
	defer in.mu.Unlock()
	for {
		switch {
		case in.discarding:
			return 0, io.EOF
		case !in.deadline.IsZero() && !time.Now().Before(in.deadline):
			return 0, os.ErrDeadlineExceeded
		case in.inHead && in.left <= 0:
			return 0, io.EOF
		case len(in.data) > 0:
			return in.take(p), nil
		case in.err != nil:
			return 0, in.err
		case in.inHead && in.stopped:
			return 0, errStopped
		}
		in.changed.Wait()
	}
}

func (in *inbound) take(p []byte) int {
	if in.inHead {
		p = p[:min(int64(len(p)), in.left)]
	}
	n := copy(p, in.data)
	in.data = in.data[n:]
	if len(in.data) == 0 {
		in.data = nil
	}
	in.left -= int64(n)
	in.changed.Broadcast()
	return n
}

// empty reports whether nothing is there to be read.
func (in *inbound) empty() bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	return len(in.data) == 0
}

// awaitHead starts waiting for a head of limited length. The idle timeout holds while no request
// is unanswered.
func (in *inbound) awaitHead(limits Limits) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.inHead, in.awaiting = true, true
	in.left = int64(limits.HeaderBytes) + headSlackBytes
	in.idleTime = limits.IdleTime
	in.setDeadline(time.Time{})
	if in.unanswered == 0 {
		in.setDeadline(time.Now().Add(in.idleTime))
	}
	in.noteActivity()
}

// startHead ends the waiting: the rest of the head must arrive by the deadline.
func (in *inbound) startHead(deadline time.Time) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.awaiting = false
	in.setDeadline(deadline)
	in.noteActivity()
}

// endHead ends the head and reports whether its limit was reached.
func (in *inbound) endHead() (tooLong bool) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.inHead, in.awaiting = false, false
	in.setDeadline(time.Time{})
	in.noteActivity()
	return in.left <= 0
}

// begun counts a request, answered takes it off.
func (in *inbound) begun() {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.unanswered++
	in.noteActivity()
}

func (in *inbound) answered() {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.unanswered--
	if in.unanswered == 0 && in.awaiting {
		in.setDeadline(time.Now().Add(in.idleTime))
	}
	in.noteActivity()
}

// activity is what the client of a connection does.
type activity int

const (
	activityRunning activity = iota
	activityHead
	activityIdle
)

// noteActivity tells the client's activity where it has changed.
func (in *inbound) noteActivity() {
	present := activityIdle
	switch {
	case in.unanswered > 0:
		present = activityRunning
	case in.inHead && !in.awaiting:
		present = activityHead
	}
	if present == in.activity {
		return
	}
	in.activity = present
	switch present {
	case activityRunning:
		in.client.NoteRunning()
	case activityHead:
		in.client.NoteHead()
	case activityIdle:
		in.client.NoteIdle()
	}
}

// readsHead reports whether what is read belongs to a head.
func (in *inbound) readsHead() bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.inHead
}

// SetReadDeadline sets the deadline for reading a body.
func (in *inbound) SetReadDeadline(t time.Time) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if !in.inHead {
		in.setDeadline(t)
	}
}

func (in *inbound) setDeadline(t time.Time) {
	if in.timer != nil {
		in.timer.Stop()
		in.timer = nil
	}
	in.deadline = t
	if !t.IsZero() {
		in.timer = time.AfterFunc(time.Until(t), in.wake)
	}
	in.changed.Broadcast()
}

func (in *inbound) wake() {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.changed.Broadcast()
}

// stop lets only those heads be read that have arrived.
func (in *inbound) stop() {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.stopped = true
	in.changed.Broadcast()
}

// discard drops what is unread and whatever the connection still sends.
func (in *inbound) discard() {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.discarding = true
	in.data = nil
	in.setDeadline(time.Time{})
}
