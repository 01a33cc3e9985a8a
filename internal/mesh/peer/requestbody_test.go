package peer

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// lockedBuffer collects a server's error log.
type lockedBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

// TestHandlerMayEndWhileItsBodyIsRead refuses a request while a goroutine still waits for the rest
// of its body. Without RequestBody the server panics with "invalid concurrent Body.Read call"
// and the requester may lose the answer.
func TestHandlerMayEndWhileItsBodyIsRead(t *testing.T) {
	for _, closes := range []bool{true, false} {
		c := qt.New(t)
		var errorLog lockedBuffer
		readerEnded := make(chan error, 1)
		server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
			_ = http.NewResponseController(w).EnableFullDuplex()
			req, body := NewRequestBody(w, req)
			defer body.EndOrAbort()
			reading := make(chan struct{})
			go func() {
				close(reading)
				_, err := io.Copy(io.Discard, req.Body)
				readerEnded <- err
			}()
			<-reading
			time.Sleep(20 * time.Millisecond)
			if closes && body.End() {
				w.Header().Set("Connection", "close")
			}
			w.WriteHeader(http.StatusServiceUnavailable)
		}))
		server.Config.ErrorLog = log.New(&errorLog, "", 0)
		server.Start()
		conn, err := net.Dial("tcp", server.Listener.Addr().String())
		c.Assert(err, qt.IsNil)
		_, err = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\n"+strings.Repeat("x", 1000))
		c.Assert(err, qt.IsNil)
		c.Assert(conn.SetReadDeadline(time.Now().Add(5*time.Second)), qt.IsNil)
		// The connection may be reset after the answer.
		answer, err := io.ReadAll(conn)
		c.Assert(errors.Is(err, os.ErrDeadlineExceeded), qt.IsFalse, qt.Commentf("the connection was kept"))
		c.Assert(string(answer), qt.Contains, "503 Service Unavailable")
		select {
		case err := <-readerEnded:
			c.Assert(err, qt.IsNotNil)
		case <-time.After(5 * time.Second):
			c.Fatal("the reader of the body did not end")
		}
		_ = conn.Close()
		server.Close()
		c.Assert(errorLog.String(), qt.Not(qt.Contains), "panic")
	}
}

// A request is rejected before its long body is in. What is left of the body must not be taken for the
// next request on the connection.
func TestRestOfARejectedBodyIsNotARequest(t *testing.T) {
	const length = 1 << 20
	smuggled := "GET /smuggled HTTP/1.1\r\nHost: a\r\n\r\n"
	body := smuggled + strings.Repeat("x", length-len(smuggled))
	for name, request := range map[string]string{
		"length":            fmt.Sprintf("Content-Length: %d\r\n\r\n%s", length, body),
		"chunks":            fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", length, body),
		"length, expecting": fmt.Sprintf("Expect: 100-continue\r\nContent-Length: %d\r\n\r\n%s", length, body),
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			handled := make(chan string, 8)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
				handled <- req.URL.Path
				_ = http.NewResponseController(w).EnableFullDuplex()
				_, body := NewRequestBody(w, req)
				defer body.EndOrAbort()
				w.WriteHeader(http.StatusServiceUnavailable)
			}))
			defer server.Close()
			conn, err := net.Dial("tcp", server.Listener.Addr().String())
			c.Assert(err, qt.IsNil)
			defer func() { _ = conn.Close() }()
			go func() { _, _ = io.WriteString(conn, "POST /upload HTTP/1.1\r\nHost: a\r\n"+request) }()
			c.Assert(conn.SetReadDeadline(time.Now().Add(5*time.Second)), qt.IsNil)
			// The connection may be reset after the answer.
			answers, err := io.ReadAll(conn)
			c.Assert(errors.Is(err, os.ErrDeadlineExceeded), qt.IsFalse, qt.Commentf("the connection was kept"))
			c.Assert(strings.Count(string(answers), "HTTP/1.1 "), qt.Equals, 1, qt.Commentf("%s", answers))
			c.Assert(handled, qt.HasLen, 1)
		})
	}
}
