package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// request is what a client sends in one attempt.
type request struct {
	id, method, host, path string
	header                 map[string]string
	body                   string
	deadline               time.Duration
	chunked                bool
}

// reply is what a client got.
type reply struct {
	status    int
	signature string
	body      string
	err       error
	// retryAfter is how long the client was told to wait.
	retryAfter time.Duration
}

// newID returns the ID of a client attempt.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// bytes returns the request as it is sent.
func (r request) bytes() []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n", r.method, r.path, r.host, r.id, r.deadline.Milliseconds())
	for name, value := range r.header {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	if r.chunked {
		b.WriteString("Transfer-Encoding: chunked\r\n\r\n")
		for rest := r.body; rest != ""; {
			n := min(len(rest), 60_000)
			fmt.Fprintf(&b, "%x\r\n%s\r\n", n, rest[:n])
			rest = rest[n:]
		}
		b.WriteString("0\r\n\r\n")
		return []byte(b.String())
	}
	if r.method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.body))
	}
	b.WriteString("\r\n")
	b.WriteString(r.body)
	return []byte(b.String())
}

// send sends a request on a new connection to the node on machine m and waits for its answer, until
// a little after the deadline.
func (f *fleet) send(m *machine, r request) reply {
	conn, err := net.DialTimeout("tcp", m.address(portCallers), time.Second)
	if err != nil {
		f.log.printf("client of %s: %s can't connect: %v", m.name, r.id, err)
		return reply{err: err}
	}
	defer func() { _ = conn.Close() }()
	f.log.printf("client of %s sends %s %s %s%s", m.name, r.id, r.method, r.host, r.path)
	if _, err := conn.Write(r.bytes()); err != nil {
		// The answer may be there already, in place of the wish for the rest of a long body.
		f.log.printf("client of %s: %s is not sent whole: %v", m.name, r.id, err)
	}
	_ = conn.SetReadDeadline(time.Now().Add(r.deadline + time.Second))
	got := readReply(conn, r.method)
	f.log.printf("client of %s gets for %s: status %d, signature %q, error %v", m.name, r.id, got.status, got.signature, got.err)
	return got
}

// readReply reads one answer.
func readReply(conn net.Conn, method string) reply {
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	return reply{
		status: resp.StatusCode, signature: resp.Header.Get("X-Response-Signature"), body: string(body), err: err,
		retryAfter: time.Duration(seconds * float64(time.Second)),
	}
}

// keptConn is a connection that a client keeps for many requests.
type keptConn struct {
	fleet  *fleet
	m      *machine
	conn   net.Conn
	reader *bufio.Reader
	used   bool
	// closes reports that the last answer bore Connection: close.
	closes bool
}

// connect opens a connection to the node on machine m, or returns nil.
func (f *fleet) connect(m *machine) *keptConn {
	conn, err := net.DialTimeout("tcp", m.address(portCallers), time.Second)
	if err != nil {
		time.Sleep(50 * time.Millisecond)
		return nil
	}
	return &keptConn{fleet: f, m: m, conn: conn, reader: bufio.NewReader(conn)}
}

// exchange sends a request and waits for its answer.
func (c *keptConn) exchange(r request) reply {
	c.used = true
	if _, err := c.conn.Write(r.bytes()); err != nil {
		return reply{err: err}
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(r.deadline + time.Second))
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: r.method})
	if err != nil {
		c.fleet.log.printf("client of %s gets no answer for %s: %v", c.m.name, r.id, err)
		return reply{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	c.closes = resp.Close
	c.fleet.log.printf("client of %s gets for %s: status %d, error %v", c.m.name, r.id, resp.StatusCode, err)
	return reply{status: resp.StatusCode, signature: resp.Header.Get("X-Response-Signature"), body: string(body), err: err}
}
