package main

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	healthPath = "/health"
	// slots and queueLength are those of the servers of lccrt-mesh.
	slots       = 6
	queueLength = 12
	heartbeat   = 1500 * time.Millisecond
)

// server stands in for an application server. It speaks HTTP/1.1 on plain connections, so that
// a case can also send what a sound server doesn't.
type server struct {
	m *machine
	// work returns how long a request takes.
	work func(*http.Request) time.Duration
	// early may answer a request before its body is read; it then reports that it is done, and
	// whether the connection goes on.
	early func(c *serverConn, req *http.Request) (done, goesOn bool)

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
	instance string
	born     int64
	seq      int64
	state    string
	// beating is closed when the present run sends no more heartbeats.
	beating chan struct{}

	slots   chan struct{}
	present atomic.Int64
}

// serverConn is one connection to a server.
type serverConn struct {
	conn   net.Conn
	reader *bufio.Reader
}

func newServer(m *machine) *server {
	s := &server{m: m, conns: map[net.Conn]bool{}, slots: make(chan struct{}, slots)}
	s.work = func(*http.Request) time.Duration { return 50 * time.Millisecond }
	return s
}

// start begins a run of the server under an instance ID.
func (s *server) start(instance string) error {
	listener, err := net.Listen("tcp", s.m.address(portServer))
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.listener = listener
	s.instance, s.born, s.seq, s.state = instance, time.Now().UnixMilli(), 0, "ready"
	s.beating = make(chan struct{})
	beating := s.beating
	s.mu.Unlock()
	s.m.fleet.log.printf("server %s starts as %s", s.m.name, instance)
	go s.accept(listener)
	go s.beat(beating)
	return nil
}

// close ends the run: its listener, its connections and its heartbeats.
func (s *server) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener == nil {
		return
	}
	_ = s.listener.Close()
	s.listener = nil
	s.stopBeating()
	for conn := range s.conns {
		_ = conn.Close()
	}
}

// endHeartbeats ends the heartbeats of the present run.
func (s *server) endHeartbeats() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopBeating()
}

// stopBeating ends the heartbeats; s.mu must be held.
func (s *server) stopBeating() {
	select {
	case <-s.beating:
	default:
		close(s.beating)
	}
}

func (s *server) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[conn] = true
		s.mu.Unlock()
		go func() {
			c := &serverConn{conn: conn, reader: bufio.NewReader(conn)}
			for s.serve(c) {
				continue
			}
			_ = conn.Close()
			s.mu.Lock()
			delete(s.conns, conn)
			s.mu.Unlock()
		}()
	}
}

// identity returns the present instance and state.
func (s *server) identity() (instance, state string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.instance, s.state
}

// serve answers one request and reports whether the connection goes on.
func (s *server) serve(c *serverConn) bool {
	req, err := http.ReadRequest(c.reader)
	if err != nil {
		return false
	}
	if s.early != nil {
		if done, goesOn := s.early(c, req); done {
			return goesOn
		}
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return false
	}
	instance, state := s.identity()
	id := req.Header.Get("X-Request-Id")
	if req.URL.Path == healthPath {
		status := http.StatusOK
		if state != "ready" {
			status = http.StatusServiceUnavailable
		}
		return c.answer(status, map[string]string{"X-Instance-Id": instance, "X-Server-Load": s.load()}, "") == nil
	}
	head := map[string]string{"X-Request-Id": id, "X-Server-Load": s.load()}
	switch expected := req.Header.Get("X-Expect-Instance"); {
	case id == "":
		return c.answer(http.StatusBadRequest, map[string]string{"X-Not-Executed": "1"}, "") == nil
	case expected != "" && expected != instance:
		head["X-Instance-Id"] = instance
		return c.answer(http.StatusMisdirectedRequest, head, "") == nil
	}
	if s.present.Add(1) > slots+queueLength {
		s.present.Add(-1)
		head["X-Not-Executed"] = "1"
		return c.answer(http.StatusServiceUnavailable, head, "") == nil
	}
	defer s.present.Add(-1)
	s.slots <- struct{}{}
	defer func() { <-s.slots }()
	s.began(id, instance, req, body)
	if !c.openFor(s.work(req)) {
		// Like most servers, it drops a request when its connection closes.
		s.m.fleet.log.printf("server %s drops %s, whose connection has closed", s.m.name, id)
		return false
	}
	head["X-Server-Load"] = s.load()
	head["X-Response-Signature"] = "signed." + id
	s.m.fleet.log.printf("server %s answers %s with 200", s.m.name, id)
	return c.answer(http.StatusOK, head, "body of "+id) == nil
}

// began records that the server begins to work on a request.
func (s *server) began(id, instance string, req *http.Request, body []byte) {
	sum := bodySum(string(body))
	s.m.fleet.runs.add(id, run{server: s.m.name, instance: instance, at: time.Now(), body: sum, bodyBytes: len(body)})
	s.m.fleet.log.printf("server %s (%s) runs %s %s %s with a body of %d bytes, sum %s", s.m.name, instance, id, req.Method, req.URL.Path, len(body), sum)
}

func (s *server) load() string {
	running := min(slots, s.present.Load())
	const usualPace = 100
	return fmt.Sprintf("%d,%d,%d,%d", running, max(0, s.present.Load()-slots), slots, usualPace)
}

// answer writes an answer with a length.
func (c *serverConn) answer(status int, head map[string]string, body string) error {
	_, err := c.conn.Write(response(status, head, body))
	return err
}

// response returns an answer's bytes.
func response(status int, head map[string]string, body string) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	for name, value := range head {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(body), body)
	return []byte(b.String())
}

// openFor waits for a time and reports whether the connection stayed open meanwhile.
func (c *serverConn) openFor(d time.Duration) bool {
	_ = c.conn.SetReadDeadline(time.Now().Add(d))
	_, err := c.reader.Peek(1)
	_ = c.conn.SetReadDeadline(time.Time{})
	if err == nil {
		// The next request is there already.
		time.Sleep(d)
		return true
	}
	return errors.Is(err, os.ErrDeadlineExceeded)
}

// beat sends a heartbeat each period until beating is closed.
func (s *server) beat(beating chan struct{}) {
	for {
		_, state := s.identity()
		s.tell("heartbeat", s.nextBeat(state))
		select {
		case <-beating:
			return
		case <-time.After(heartbeat):
		}
	}
}

// nextBeat returns the body of the next heartbeat.
func (s *server) nextBeat(state string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seq++
	body, _ := json.Marshal(map[string]any{
		"service": s.m.service, "address": s.m.address(portServer), "zone": s.m.zone, "version": "v1", "slots": slots,
		"state": state, "warmupLeft": "0ms", "seq": s.seq, "born": s.born,
	})
	return body
}

// setState sets the state in which the server reports itself from now on.
func (s *server) setState(state string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = state
}

// tell sends a heartbeat or a deregistration to the node on this machine and reports whether it
// was acknowledged.
func (s *server) tell(call string, body []byte) bool {
	instance, _ := s.identity()
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Post("http://"+s.m.address(portControl)+"/tanagerline/instances/"+instance+"/"+call, "application/json", bytes.NewReader(body))
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	s.m.fleet.log.printf("server %s: %s %s -> %d", s.m.name, call, body, resp.StatusCode)
	return resp.StatusCode == http.StatusOK
}

// bodySum returns a short sum of a request's body.
func bodySum(body string) string {
	sum := sha256.Sum256([]byte(body))
	return hex.EncodeToString(sum[:8])
}
