package main

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// arrival is a request that reached a server.
type arrival struct {
	id, path, machine, instance, tenant string
	at                                  time.Duration
	ran, misdirected                    bool
	// ended is how the run ended: answered, cut or empty.
	ended string
}

// ledger holds what reached all servers.
type ledger struct {
	mu       sync.Mutex
	arrivals []*arrival
}

func (l *ledger) add(a *arrival) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrivals = append(l.arrivals, a)
}

// appServer is a sound server of one machine.
type appServer struct {
	rec     *recorder
	ledger  *ledger
	machine string
	service string
	zone    string
	address string
	control string
	slots   int
	// work returns how long a request takes.
	work func(req *http.Request) time.Duration

	listener net.Listener
	http     *http.Server
	slot     chan struct{}
	waiting  atomic.Int64
	leaving  atomic.Bool
	beats    atomic.Bool
	instance string
	born     int64
	seq      atomic.Int64
	ended    chan struct{}
}

const maxQueued = 12

// start begins a run of the server.
func (s *appServer) start(instance string) error {
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	s.instance, s.born, s.listener = instance, time.Now().UnixMilli(), l
	s.slot, s.ended = make(chan struct{}, s.slots), make(chan struct{})
	s.beats.Store(true)
	s.http = &http.Server{Handler: s, IdleTimeout: 10 * time.Second}
	go func() { _ = s.http.Serve(l) }()
	go s.beatForever()
	return nil
}

// exit ends the run with all its connections.
func (s *appServer) exit() {
	s.rec.add("server "+s.machine, "%s exits", s.instance)
	close(s.ended)
	_ = s.http.Close()
}

func (s *appServer) load() string {
	return fmt.Sprintf("%d,%d,%d,100", len(s.slot), s.waiting.Load(), s.slots)
}

// bodyFor returns the server's body and signature for a request.
func bodyFor(id string) (body, signature string) {
	body = "answer to " + id
	return body, fmt.Sprintf("%x", sha256.Sum256([]byte(body)))[:16]
}

func (s *appServer) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	h := w.Header()
	if req.URL.Path == healthPath {
		h.Set("X-Instance-Id", s.instance)
		h.Set("X-Server-Load", s.load())
		if s.leaving.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		s.rec.add("server "+s.machine, "health check, leaving=%t", s.leaving.Load())
		return
	}
	id := req.Header.Get("X-Request-Id")
	h.Set("X-Request-Id", id)
	h.Set("X-Server-Load", s.load())
	a := &arrival{
		id: id, path: req.URL.Path, machine: s.machine, instance: s.instance, at: s.rec.now(), tenant: req.Header.Get("X-Tenant"),
	}
	expected := req.Header.Get("X-Expect-Instance")
	a.misdirected = expected != "" && expected != s.instance
	s.ledger.add(a)
	switch {
	case id == "":
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	case a.misdirected:
		h.Set("X-Instance-Id", s.instance)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return
	}
	if s.waiting.Add(1) > maxQueued {
		s.waiting.Add(-1)
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	deadline := time.NewTimer(deadlineOf(req))
	defer deadline.Stop()
	select {
	case s.slot <- struct{}{}:
		s.waiting.Add(-1)
		defer func() { <-s.slot }()
	case <-deadline.C:
		s.waiting.Add(-1)
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case <-req.Context().Done():
		s.waiting.Add(-1)
		return
	}
	a.ran = true
	body, signature := bodyFor(id)
	select {
	case <-time.After(s.work(req)):
		a.ended = "answered"
		h.Set("X-Response-Signature", signature)
		_, _ = io.WriteString(w, body)
	case <-deadline.C:
		a.ended = "deadline"
		h.Set("X-Response-Signature", signature)
		w.WriteHeader(http.StatusGatewayTimeout)
	case <-req.Context().Done():
		a.ended = "cut"
	}
}

func deadlineOf(req *http.Request) time.Duration {
	ms, err := strconv.ParseFloat(req.Header.Get("X-Deadline-Ms"), 64)
	if err != nil {
		return time.Second
	}
	return time.Duration(ms * float64(time.Millisecond))
}

func (s *appServer) beatForever() {
	for {
		if s.beats.Load() {
			s.beat(s.state())
		}
		select {
		case <-s.ended:
			return
		case <-time.After(heartbeatPeriod):
		}
	}
}

func (s *appServer) state() string {
	if s.leaving.Load() {
		return "draining"
	}
	return "ready"
}

// message returns the body of a heartbeat with the next sequence number.
func (s *appServer) message(state string) []byte {
	body, _ := json.Marshal(map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": s.slots, "state": state,
		"warmupLeft": "0ms", "seq": s.seq.Add(1), "born": s.born,
	})
	return body
}

// beat sends a heartbeat and reports whether it was acknowledged.
func (s *appServer) beat(state string) bool { return s.send("heartbeat", s.message(state)) }

// send posts a message about the run to the node and reports whether it was acknowledged.
func (s *appServer) send(call string, body []byte) bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Post("http://"+s.control+"/tanagerline/instances/"+s.instance+"/"+call, "application/json", bytes.NewReader(body))
	if err != nil {
		s.rec.add("server "+s.machine, "%s %s not acknowledged: no answer", call, body)
		return false
	}
	_ = resp.Body.Close()
	s.rec.add("server "+s.machine, "%s %s answered %d", call, body, resp.StatusCode)
	return resp.StatusCode/100 == 2
}
