package peer

import (
	"bufio"
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
			defer body.Finish()
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
				defer body.Finish()
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

// pipelineBehindUnreadBody sends a request whose handler refuses it without reading its body, of which a
// part is still on its way, and then the rest of the body and the next request in one piece. The next
// request's body is read by a goroutine. It returns what was read of it, and the second answer.
func pipelineBehindUnreadBody(c *qt.C, framing func(body string) string, errorLog *lockedBuffer) (received, second string) {
	c.Helper()
	bodies := make(chan string, 1)
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		_ = http.NewResponseController(w).EnableFullDuplex()
		req, body := NewRequestBody(w, req)
		defer body.Abort()
		if req.URL.Path == "/refused" {
			w.Header().Set("Content-Length", "0")
			w.WriteHeader(http.StatusServiceUnavailable)
			body.Finish()
			return
		}
		read := make(chan string)
		go func() {
			defer func() {
				if panicked := recover(); panicked != nil {
					read <- fmt.Sprintf("panic: %v", panicked)
				}
			}()
			data, err := io.ReadAll(req.Body)
			read <- fmt.Sprintf("%s %v", data, err)
		}()
		bodies <- <-read
		body.Finish()
	}))
	server.Config.ErrorLog = log.New(errorLog, "", 0)
	server.Start()
	defer server.Close()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	c.Assert(err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	c.Assert(conn.SetDeadline(time.Now().Add(5*time.Second)), qt.IsNil)
	refused := "POST /refused HTTP/1.1\r\nHost: a\r\n" + framing(strings.Repeat("x", 3000))
	onItsWay := len(refused) - 1000
	_, err = io.WriteString(conn, refused[:onItsWay])
	c.Assert(err, qt.IsNil)
	reader := bufio.NewReader(conn)
	resp, err := http.ReadResponse(reader, nil)
	c.Assert(err, qt.IsNil)
	c.Assert(resp.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	// The next request's body comes later than its head.
	next := "POST /next HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\n"
	_, err = io.WriteString(conn, refused[onItsWay:]+next)
	c.Assert(err, qt.IsNil)
	time.Sleep(20 * time.Millisecond)
	_, err = io.WriteString(conn, "next")
	c.Assert(err, qt.IsNil)
	resp, err = http.ReadResponse(reader, nil)
	if err != nil {
		return "", err.Error()
	}
	return <-bodies, resp.Status
}

// A refused request's body is partly on its way. net/http's server read its rest behind the handler and
// began a background read at its end, and the read of the next request's body met that one and
// panicked, in a goroutine where a panic ends the process.
func TestNextRequestBehindAnUnreadBody(t *testing.T) {
	for name, framing := range map[string]func(string) string{
		"length": func(body string) string { return fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body) },
		"chunks": func(body string) string {
			return fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var errorLog lockedBuffer
			for range 20 {
				received, status := pipelineBehindUnreadBody(c, framing, &errorLog)
				c.Assert(status, qt.Equals, "200 OK")
				c.Assert(received, qt.Equals, "next <nil>")
			}
			c.Assert(errorLog.String(), qt.Equals, "")
		})
	}
}

// panickingBody panics like a server's body that is read beside the server itself.
type panickingBody struct{}

func (panickingBody) Read([]byte) (int, error) { panic("invalid concurrent Body.Read call") }

func (panickingBody) Close() error { return nil }

// A panic of the server's reader must fail the read: the transports' goroutines that read bodies recover
// nothing, so it would end the process.
func TestPanicOfABodyFailsTheRead(t *testing.T) {
	c := qt.New(t)
	w := httptest.NewRecorder()
	req, body := NewRequestBody(w, httptest.NewRequest(http.MethodPost, "/", panickingBody{}))
	_, err := io.ReadAll(req.Body)
	c.Assert(err, qt.ErrorIs, errReadPanic)
	body.Finish()
}

// An answer that ends while its request's body is still being read must reach the requester whole, in
// chunks as well: the last chunk was missing when the handler aborted.
func TestAnswerInChunksEndsBesideABodyThatIsRead(t *testing.T) {
	c := qt.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		_ = http.NewResponseController(w).EnableFullDuplex()
		req, body := NewRequestBody(w, req)
		defer body.Abort()
		go func() { _, _ = io.Copy(io.Discard, req.Body) }()
		time.Sleep(20 * time.Millisecond)
		for range 3 {
			_, _ = io.WriteString(w, "part")
			_ = http.NewResponseController(w).Flush()
		}
		body.Finish()
	}))
	defer server.Close()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	c.Assert(err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1000\r\n\r\nx")
	c.Assert(err, qt.IsNil)
	c.Assert(conn.SetReadDeadline(time.Now().Add(5*time.Second)), qt.IsNil)
	reader := bufio.NewReader(conn)
	resp, err := http.ReadResponse(reader, nil)
	c.Assert(err, qt.IsNil)
	answer, err := io.ReadAll(resp.Body)
	c.Assert(err, qt.IsNil)
	c.Assert(string(answer), qt.Equals, "partpartpart")
	_, err = reader.ReadByte()
	c.Assert(err, qt.ErrorIs, io.EOF, qt.Commentf("the connection was kept"))
}

// A requester sends the rest of its body, and its next request, behind an answer that came early, while a
// goroutine still reads the body. Its connection was closed without a word.
func TestConnectionOutlivesAnEarlyAnswer(t *testing.T) {
	c := qt.New(t)
	var errorLog lockedBuffer
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		_ = http.NewResponseController(w).EnableFullDuplex()
		req, body := NewRequestBody(w, req)
		defer body.Abort()
		if req.URL.Path == "/early" {
			go func() { _, _ = io.Copy(io.Discard, req.Body) }()
			time.Sleep(10 * time.Millisecond)
		}
		w.Header().Set("Content-Length", "2")
		_, _ = io.WriteString(w, "ok")
		body.Finish()
	}))
	server.Config.ErrorLog = log.New(&errorLog, "", 0)
	server.Start()
	defer server.Close()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	c.Assert(err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	c.Assert(conn.SetDeadline(time.Now().Add(5*time.Second)), qt.IsNil)
	reader := bufio.NewReader(conn)
	for range 20 {
		_, err = io.WriteString(conn, "POST /early HTTP/1.1\r\nHost: a\r\nContent-Length: 1000\r\n\r\nx")
		c.Assert(err, qt.IsNil)
		resp, err := http.ReadResponse(reader, nil)
		c.Assert(err, qt.IsNil)
		_, err = io.ReadAll(resp.Body)
		c.Assert(err, qt.IsNil)
		_, err = io.WriteString(conn, strings.Repeat("x", 999)+"GET /next HTTP/1.1\r\nHost: a\r\n\r\n")
		c.Assert(err, qt.IsNil)
		resp, err = http.ReadResponse(reader, nil)
		c.Assert(err, qt.IsNil)
		_, err = io.ReadAll(resp.Body)
		c.Assert(err, qt.IsNil)
	}
	c.Assert(errorLog.String(), qt.Equals, "")
}
