package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in for the platform's metadata store: keyed topics with one partition.
type store struct {
	address string
	rec     *recorder
	// down is set while every call is rejected with 503.
	down func() bool
	// losesAnswer reports whether the answer of a write is lost after the write was done.
	losesAnswer func(topic, key string) bool

	mu     sync.Mutex
	topics map[string][]keyedRecord
	grown  chan struct{}
}

type keyedRecord struct {
	key   string
	value []byte
}

// startStore listens on a free port and serves until the process ends.
func startStore(rec *recorder, ip string) (*store, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	s := &store{
		address: l.Addr().String(), rec: rec, topics: map[string][]keyedRecord{}, grown: make(chan struct{}),
		down: func() bool { return false }, losesAnswer: func(string, string) bool { return false },
	}
	go func() { _ = (&http.Server{Handler: s}).Serve(l) }()
	return s, nil
}

// put appends a record as the operator does and returns when it is acknowledged.
func (s *store) put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topics[topic] = append(s.topics[topic], keyedRecord{key, value})
	close(s.grown)
	s.grown = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	body, _ := io.ReadAll(req.Body)
	if s.down() {
		s.rec.add("store", "503 to %s %s", req.Method, req.URL.Path)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	time.Sleep(4 * time.Millisecond)
	topic := req.URL.Query().Get("topic")
	switch strings.TrimPrefix(req.URL.Path, "/tanagerline/") {
	case "log-append":
		s.append(w, req, topic, body)
	case "log-newest":
		s.newest(w, topic)
	case "log-read":
		s.read(w, req, topic)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) append(w http.ResponseWriter, req *http.Request, topic string, body []byte) {
	if !strings.HasPrefix(topic, "keyed.") || len(body) < 5 || 5+int(body[4]) > len(body) {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if topic == "keyed.op" || topic == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	end := 5 + int(body[4])
	key := string(body[5:end])
	lost := s.losesAnswer(topic, key)
	s.put(topic, key, body[end:])
	s.rec.add("store", "write %s key=%s done, answer lost=%t", topic, key, lost)
	if lost {
		// A connection on which an answer is lost returns nothing further.
		<-req.Context().Done()
		return
	}
	s.mu.Lock()
	size := len(s.topics[topic])
	s.mu.Unlock()
	_ = json.NewEncoder(w).Encode(map[string]any{"offset": size - 1, "endOffset": size})
}

func (s *store) newest(w http.ResponseWriter, topic string) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	s.mu.Lock()
	last := map[string]int{}
	all := s.topics[topic]
	for i, r := range all {
		last[r.key] = i
	}
	items := []item{}
	for i, r := range all {
		if last[r.key] == i && len(r.value) > 0 {
			items = append(items, item{r.key, base64.StdEncoding.EncodeToString(r.value), i})
		}
	}
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "hasMore": false, "endOffset": len(all)})
}

func (s *store) read(w http.ResponseWriter, req *http.Request, topic string) {
	from, _ := strconv.Atoi(req.URL.Query().Get("from"))
	wait, _ := strconv.Atoi(req.URL.Query().Get("waitMs"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		all, grown := s.topics[topic], s.grown
		s.mu.Unlock()
		if len(all) > from {
			s.writeRecords(w, all, from)
			return
		}
		select {
		case <-grown:
		case <-timer.C:
			s.writeRecords(w, all, from)
			return
		case <-req.Context().Done():
			return
		}
	}
}

func (s *store) writeRecords(w http.ResponseWriter, all []keyedRecord, from int) {
	out := binary.BigEndian.AppendUint64(nil, uint64(len(all)))
	out = binary.BigEndian.AppendUint64(out, 0)
	for _, r := range all[min(from, len(all)):] {
		out = binary.BigEndian.AppendUint32(out, uint32(1+len(r.key)+len(r.value)))
		out = append(append(append(out, byte(len(r.key))), r.key...), r.value...)
	}
	_, _ = w.Write(out)
}
