package caller

import (
	"io"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a complete answer to a request that was given up: a handler that returns without an answer
// has net/http write an empty one with status 200, which a caller that has only ended its own side reads.
func TestAbandonedRequestGetsNoAnswer(t *testing.T) {
	c := qt.New(t)
	s := newHedgingSite(c)
	s.muteAll.Store(true)
	conn, err := net.Dial("tcp", s.entry.Listener.Addr().String())
	c.Assert(err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	_, err = io.WriteString(conn, "GET /ask HTTP/1.1\r\nHost: desk.example\r\n\r\n")
	c.Assert(err, qt.IsNil)
	c.Assert(conn.(*net.TCPConn).CloseWrite(), qt.IsNil)
	answer, _ := io.ReadAll(conn)
	c.Assert(string(answer), qt.Equals, "")
}
