package pipeline

import (
	"bufio"
	"bytes"
	"io"
	"log"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// patience is far beyond what a step takes on a busy machine.
const patience = 20 * time.Second

// site is a listener whose handler runs each request until the test releases its path.
type site struct {
	c         *qt.C
	pipelines *Pipelines
	server    *http.Server
	address   string
	// started and cancelled get the paths of requests, asked those of MayRunAhead.
	started, cancelled, asked chan string
	takenOver, stopping       atomic.Int64
	logged                    bytes.Buffer
	// answer writes a released request's answer, if set.
	answer func(w http.ResponseWriter, req *http.Request)

	mu     sync.Mutex
	gates  map[string]chan struct{}
	active int
	// most is the largest number of requests that ran at once; beside lists the paths under /once
	// and of POST that ran beside others.
	most   int
	beside []string
}

func newSite(t *testing.T, change func(*Pipelines)) *site {
	s := &site{
		c: qt.New(t), gates: map[string]chan struct{}{},
		started: make(chan string, 100), cancelled: make(chan string, 100), asked: make(chan string, 100),
	}
	s.pipelines = &Pipelines{
		Handler: http.HandlerFunc(s.serve), MaxRequests: 8, Limits: func() Limits { return Limits{HeaderBytes: 4 << 10, HeaderTime: patience, IdleTime: patience} },
		MayRunAhead: func(req *http.Request) bool { s.asked <- req.URL.Path; return !s.alone(req) },
		Stopping:    func() bool { return s.stopping.Load() > 0 },
		ErrorLog:    log.New(&s.logged, "", 0), TakenOver: func(string) { s.takenOver.Add(1) },
	}
	if change != nil {
		change(s.pipelines)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	s.c.Assert(err, qt.IsNil)
	s.address = l.Addr().String()
	s.server = &http.Server{
		Handler: s.pipelines, ConnContext: s.pipelines.ConnContext, ReadHeaderTimeout: patience, ErrorLog: log.New(io.Discard, "", 0),
	}
	go func() { _ = s.server.Serve(s.pipelines.Listener(l)) }()
	t.Cleanup(func() { _ = s.server.Close() })
	return s
}

func (s *site) alone(req *http.Request) bool {
	return req.URL.Path == "/once" || req.Method == http.MethodPost
}

func (s *site) serve(w http.ResponseWriter, req *http.Request) {
	path := req.URL.Path
	s.count(1, s.alone(req), path)
	defer s.count(-1, false, path)
	body, _ := io.ReadAll(req.Body)
	// A handler may change its request while the connection is taken over.
	req.Header.Set("Seen", path)
	s.started <- path
	select {
	case <-s.gate(path):
	case <-req.Context().Done():
		s.cancelled <- path
		return
	}
	if s.answer != nil {
		s.answer(w, req)
		return
	}
	_, _ = io.WriteString(w, path+string(body))
}

func (s *site) count(change int, alone bool, path string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if alone && s.active > 0 {
		s.beside = append(s.beside, path)
	}
	s.active += change
	s.most = max(s.most, s.active)
}

func (s *site) gate(path string) chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.gates[path] == nil {
		s.gates[path] = make(chan struct{})
	}
	return s.gates[path]
}

func (s *site) release(paths ...string) {
	for _, path := range paths {
		close(s.gate(path))
	}
}

// await receives the paths, in any order.
func (s *site) await(from chan string, paths ...string) {
	s.c.Helper()
	var got []string
	for range paths {
		select {
		case path := <-from:
			got = append(got, path)
		case <-time.After(patience):
			s.c.Fatalf("got %v of %v", got, paths)
		}
	}
	s.c.Assert(got, qt.ContentEquals, paths)
}

// shutdown waits until all connections that were taken over have ended.
func (s *site) shutdown() {
	s.c.Helper()
	ctx, cancel := contextWithTimeout()
	defer cancel()
	s.c.Assert(s.pipelines.Shutdown(ctx), qt.IsNil)
}

// client is a connection to a site.
type client struct {
	net.Conn
	c      *qt.C
	reader *bufio.Reader
}

func (s *site) dial() *client {
	s.c.Helper()
	conn, err := net.Dial("tcp", s.address)
	s.c.Assert(err, qt.IsNil)
	s.c.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(2 * patience))
	return &client{Conn: conn, c: s.c, reader: bufio.NewReader(conn)}
}

// get returns the head of a GET request.
func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: site\r\n\r\n" }

// send sends the texts in one segment.
func (k *client) send(texts ...string) {
	k.c.Helper()
	var all bytes.Buffer
	for _, text := range texts {
		all.WriteString(text)
	}
	_, err := k.Write(all.Bytes())
	k.c.Assert(err, qt.IsNil)
}

// receive reads an answer to a request of the method.
func (k *client) receive(method string) (*http.Response, string) {
	k.c.Helper()
	resp, err := http.ReadResponse(k.reader, &http.Request{Method: method})
	k.c.Assert(err, qt.IsNil)
	body, err := io.ReadAll(resp.Body)
	k.c.Assert(err, qt.IsNil)
	return resp, string(body)
}

// expect reads answers with the given contents.
func (k *client) expect(contents ...string) (last *http.Response) {
	k.c.Helper()
	for _, content := range contents {
		resp, body := k.receive(http.MethodGet)
		k.c.Assert(body, qt.Equals, content)
		last = resp
	}
	return last
}

// expectEnd checks that the connection ends without anything more.
func (k *client) expectEnd() {
	k.c.Helper()
	rest, err := io.ReadAll(k.reader)
	k.c.Assert(err, qt.IsNil)
	k.c.Assert(string(rest), qt.Equals, "")
}

// closeWrite tells the site that nothing more comes.
func (k *client) closeWrite() error { return k.Conn.(*net.TCPConn).CloseWrite() }
