package pipeline

import (
	"bytes"
	"net"
	"sync"
)

// maxTailBytes is the limit on bytes behind a head that are kept for the search of the next
// head's end. It exceeds the read buffer of net/http, 4 KiB.
const maxTailBytes = 8 << 10

type listener struct{ net.Listener }

// Accept returns the next connection, as a watchedConn.
func (l *listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &watchedConn{Conn: conn}, nil
}

// watchedConn follows what net/http reads from a connection, to find out whether the client
// pipelines. A miss only means that net/http goes on serving the connection; what net/http has
// read ahead is known exactly after the takeover.
type watchedConn struct {
	net.Conn

	mu sync.Mutex
	// scan finds the end of the head that net/http is reading.
	scan headScan
	// tail holds what was read behind that head.
	tail []byte
	// skip is the number of bytes of the current request's body that are still to come.
	skip int64
	// lost is set while the position in the stream is unknown, during and after a body of unknown
	// length.
	lost bool
	// lastBytes are the last bytes that were read of such a body.
	lastBytes []byte
	// onByte is called, once, for a byte that arrives while a request without a body is handled.
	onByte func()
}

// NetConn returns the connection that is watched.
func (w *watchedConn) NetConn() net.Conn { return w.Conn }

// Read reads for net/http.
func (w *watchedConn) Read(p []byte) (int, error) {
	n, err := w.Conn.Read(p)
	if n > 0 {
		w.note(p[:n])
	}
	return n, err
}

func (w *watchedConn) note(data []byte) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.onByte != nil {
		w.onByte()
		w.onByte = nil
	}
	if w.lost {
		w.lastBytes = append(w.lastBytes, data[max(0, len(data)-len(lastChunk)):]...)
		w.lastBytes = w.lastBytes[max(0, len(w.lastBytes)-len(lastChunk)):]
		return
	}
	skipped := min(w.skip, int64(len(data)))
	w.skip -= skipped
	data = data[skipped:]
	if !w.scan.ended {
		data = data[w.scan.add(data):]
	}
	if w.scan.ended {
		w.keep(data)
	}
}

func (w *watchedConn) keep(data []byte) {
	if len(w.tail)+len(data) > maxTailBytes {
		w.lost, w.tail, w.lastBytes = true, nil, nil
		return
	}
	w.tail = append(w.tail, data...)
}

// watch starts the handling of a request without a body. It reports whether more was read than
// its head; otherwise onByte is called when more is read before unwatch.
func (w *watchedConn) watch(onByte func()) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.lost && len(w.tail) > 0 {
		return true
	}
	w.onByte = onByte
	return false
}

// unwatch ends the handling of a request without a body.
func (w *watchedConn) unwatch() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.onByte = nil
	w.nextHead()
}

// nextHead starts the search for the end of the next head.
func (w *watchedConn) nextHead() {
	if w.lost {
		return
	}
	tail := w.tail
	w.scan, w.tail = headScan{}, nil
	skipped := min(w.skip, int64(len(tail)))
	w.skip -= skipped
	tail = tail[skipped:]
	tail = tail[w.scan.add(tail):]
	w.tail = append(w.tail, tail...)
}

// skipBody starts the handling of a request with a body of the given length, which is negative
// when unknown.
func (w *watchedConn) skipBody(length int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if length < 0 {
		w.lost, w.lastBytes = true, append(w.lastBytes[:0], w.tail[max(0, len(w.tail)-len(lastChunk)):]...)
		w.tail = nil
		return
	}
	w.skip = length
	w.nextHead()
}

// lastChunk ends a body in chunks without trailers.
var lastChunk = []byte("0\r\n\r\n")

// bodyEnded ends the handling of a request with a body. If the last bytes read are the end of a
// body in chunks, nothing was read behind it.
func (w *watchedConn) bodyEnded() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.lost && bytes.Equal(w.lastBytes, lastChunk) {
		w.lost, w.skip = false, 0
		w.scan, w.tail, w.lastBytes = headScan{}, nil, nil
	}
}

// headScan finds the end of a head: the first empty line after a line with text. Lines end in LF,
// with or without CR before it, as net/http reads them.
type headScan struct {
	text  bool // the head has a line with text
	line  bool // the current line has text
	ended bool
}

// add scans more of the stream and returns how many of its bytes belong to the head.
func (h *headScan) add(data []byte) int {
	for i, b := range data {
		switch {
		case b == '\n' && h.text && !h.line:
			h.ended = true
			return i + 1
		case b == '\n':
			h.line = false
		case b != '\r':
			h.line, h.text = true, true
		}
	}
	return len(data)
}
