package caller

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/tanagerline/tanagerline/internal/decision/loop"
	"github.com/tanagerline/tanagerline/internal/decision/reducer"
	"github.com/tanagerline/tanagerline/internal/mesh/peer"
)

// breakPoint is how far a peer gets with the second request of a connection before it breaks it.
type breakPoint int

const (
	breakBehindHead breakPoint = iota
	breakBehindBody
	breakInAnswer
)

// breakingPeer answers the first request of each connection and breaks the connection under the second.
type breakingPeer struct {
	listener net.Listener
	point    breakPoint
	// attempts counts the requests of attempt a2 whose head arrived.
	attempts atomic.Int64
}

func newBreakingPeer(c *qt.C, point breakPoint) *breakingPeer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	p := &breakingPeer{listener: listener, point: point}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go p.serve(conn)
		}
	}()
	return p
}

func (p *breakingPeer) serve(conn net.Conn) {
	defer func() {
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}()
	reader := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if req.Header.Get(peer.HeaderAttempt) != "a2" {
			_, _ = io.Copy(io.Discard, req.Body)
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 503 Service Unavailable\r\n%s: a1\r\n%s: not-run\r\nContent-Length: 0\r\n\r\n", peer.HeaderAttempt, peer.HeaderOutcome)
			continue
		}
		p.attempts.Add(1)
		if p.point == breakBehindHead {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		if p.point == breakInAnswer {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n")
		}
		return
	}
}

// A connection between nodes breaks under a request: only the reducer may decide that an attempt is sent
// again, whatever its method, headers and body are.
func TestTransportSendsEachAttemptOnce(t *testing.T) {
	headers := []string{"", "Idempotency-Key", "X-Idempotency-Key"}
	methods := []string{"GET", "HEAD", "OPTIONS", "TRACE", "POST", "PUT", "PATCH", "DELETE", "LINK"}
	for point := range breakInAnswer + 1 {
		for _, header := range headers {
			for _, method := range methods {
				for _, body := range []string{"", "entry"} {
					t.Run(fmt.Sprintf("%d %s %s %q", point, method, header, body), func(t *testing.T) {
						sendAcrossABreak(t, point, method, header, body)
					})
				}
			}
		}
	}
}

// sendAcrossABreak sends one attempt that leaves a connection idle, and another on that connection.
func sendAcrossABreak(t *testing.T, point breakPoint, method, header, body string) {
	c := qt.New(t)
	p := newBreakingPeer(c, point)
	defer func() { _ = p.listener.Close() }()
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	l := &loop.Loop{Clock: time.Now, Background: func(reducer.Effect) {}, Reducer: &reducer.Reducer{Settings: reducer.DefaultSettings()}}
	l.Prepare()
	entry := &Entry{Loop: l, Mesh: transportFunc(transport.RoundTrip), MaxBufferedBytes: 64 << 10}
	entry.Prepare()
	req := httptest.NewRequest(method, "/entry/", strings.NewReader(body))
	if header != "" {
		req.Header.Set(header, "k1")
	}
	x := &exchange{
		entry: entry, writer: httptest.NewRecorder(), req: req, mailbox: l.OpenCall(func() {}), ctx: context.Background(),
		body: &requestBody{fullyBuffered: true, buffered: []byte(body), length: int64(len(body)), stream: bytes.NewReader(nil)},
	}
	target := reducer.NewNodeID(p.listener.Addr().String(), 1)
	for _, attempt := range []reducer.AttemptID{"a1", "a2"} {
		x.sendAttempt(reducer.SendAttempt{Attempt: attempt, Target: target, Deadline: time.Now().Add(time.Second)})
	}
	c.Assert(p.attempts.Load(), qt.Equals, int64(1))
}
