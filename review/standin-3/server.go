package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	healthPath      = "/health"
	heartbeatPeriod = 1500 * time.Millisecond
	ackTimeout      = time.Second
)

// run is a request that a server has run.
type run struct {
	id string
	at time.Duration
}

// appServer stands in for an application server on a machine.
type appServer struct {
	machine *machine
	rec     *recorder
	slots   int
	work    time.Duration
	// id and born name this start of the server.
	id   string
	born int64

	mu       sync.Mutex
	seq      int
	leaving  bool
	silent   bool
	slotsIn  chan struct{}
	listener net.Listener
	http     *http.Server
	stop     chan struct{}
	runs     []run
	sequence int
}

// start opens the server under an ID. clockOffset is what the machine's time of day is ahead of the true one.
func (s *appServer) start(id string, clockOffset time.Duration) error {
	s.id, s.born, s.seq = id, time.Now().Add(clockOffset).UnixMilli(), 0
	s.leaving, s.silent = false, false
	s.slotsIn = make(chan struct{}, s.slots)
	s.stop = make(chan struct{})
	listener, err := net.Listen("tcp", s.machine.appAddr())
	if err != nil {
		return err
	}
	s.listener = listener
	s.http = &http.Server{Handler: s, IdleTimeout: 10 * time.Second}
	go func(server *http.Server) { _ = server.Serve(listener) }(s.http)
	go s.beat(s.stop)
	s.rec.printf("server %s on %s started, born %d", s.id, s.machine.name, s.born)
	return nil
}

// crash ends the server at once.
func (s *appServer) crash() {
	close(s.stop)
	_ = s.http.Close()
	s.rec.printf("server %s on %s ended", s.id, s.machine.name)
}

func (s *appServer) beat(stop chan struct{}) {
	ticker := time.NewTicker(heartbeatPeriod)
	defer ticker.Stop()
	for {
		s.sendBeat()
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
	}
}

// beatBody returns the next heartbeat, or nil if the server sends none any more.
func (s *appServer) beatBody() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.silent {
		return nil
	}
	s.seq++
	state := "ready"
	if s.leaving {
		state = "draining"
	}
	body, _ := json.Marshal(map[string]any{
		"service": s.machine.service, "address": s.machine.appAddr(), "zone": s.machine.zone, "version": "v1",
		"slots": s.slots, "state": state, "warmupLeft": "0ms", "seq": s.seq, "born": s.born,
	})
	return body
}

// sendBeat sends a heartbeat and reports whether it was acknowledged.
func (s *appServer) sendBeat() bool {
	body := s.beatBody()
	return body != nil && s.post("heartbeat", body)
}

// post sends a call of the service discovery and reports whether it was acknowledged.
func (s *appServer) post(call string, body []byte) bool {
	client := &http.Client{Timeout: ackTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	url := fmt.Sprintf("http://%s/tanagerline/instances/%s/%s", s.machine.controlAddr(), s.id, call)
	resp, err := client.Post(url, "application/json", bytes.NewReader(body))
	if err != nil {
		s.rec.printf("%s of %s: %v", call, s.id, err)
		return false
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	s.rec.printf("%s of %s %s: %d", call, s.id, body, resp.StatusCode)
	return resp.StatusCode/100 == 2
}

// drain reports that the server leaves, and reports whether that was acknowledged.
func (s *appServer) drain() bool {
	s.mu.Lock()
	s.leaving = true
	s.mu.Unlock()
	return s.sendBeat()
}

// deregister reports that the server leaves without a heartbeat that says so. It sends no heartbeats any more.
func (s *appServer) deregister() bool {
	s.mu.Lock()
	s.leaving, s.silent = true, true
	s.mu.Unlock()
	body, _ := json.Marshal(map[string]any{"born": s.born})
	return s.post("deregister", body)
}

func (s *appServer) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	s.mu.Lock()
	leaving, id := s.leaving, s.id
	s.mu.Unlock()
	w.Header().Set("X-Server-Load", fmt.Sprintf("%d,0,%d,100", len(s.slotsIn), s.slots))
	if req.URL.Path == healthPath {
		w.Header().Set("X-Instance-Id", id)
		if leaving {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	requestID := req.Header.Get("X-Request-Id")
	if expected := req.Header.Get("X-Expect-Instance"); expected != "" && expected != id {
		s.rec.printf("server %s on %s got %s for %s: 421", id, s.machine.name, requestID, expected)
		w.Header().Set("X-Instance-Id", id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	select {
	case s.slotsIn <- struct{}{}:
	default:
		w.Header().Set("X-Request-Id", requestID)
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-s.slotsIn }()
	_, _ = io.Copy(io.Discard, req.Body)
	s.mu.Lock()
	s.runs = append(s.runs, run{id: requestID, at: elapsed()})
	s.sequence++
	signature := id + "." + strconv.Itoa(s.sequence)
	s.mu.Unlock()
	s.rec.printf("server %s on %s runs %s, expected %q, left %s ms", id, s.machine.name, requestID, req.Header.Get("X-Expect-Instance"), req.Header.Get("X-Deadline-Ms"))
	time.Sleep(s.work)
	w.Header().Set("X-Request-Id", requestID)
	w.Header().Set("X-Response-Signature", signature)
	_, _ = io.WriteString(w, "answer to "+requestID)
}

// runsAfter returns the requests that the server has run after a time.
func (s *appServer) runsAfter(at time.Duration) []run {
	s.mu.Lock()
	defer s.mu.Unlock()
	var later []run
	for _, r := range s.runs {
		if r.at > at {
			later = append(later, r)
		}
	}
	return later
}
