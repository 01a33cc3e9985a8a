package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeAnswerTime is how long the platform's store takes for an answer on the sheets.
const storeAnswerTime = 4 * time.Millisecond

// logRecord is a record of a topic.
type logRecord struct {
	key   string
	value []byte
	frame []byte
}

// store stands in for the platform's metadata store. It has the calls that nodes use: log-append,
// log-read and log-newest on partition 0 of keyed topics.
type store struct {
	address string
	// linkDelay is the one-way delay of the link between a machine and the store, by the machine's IP.
	linkDelay func(ip string) time.Duration

	mu      sync.Mutex
	changed chan struct{}
	topics  map[string][]logRecord
	// busy lets every call be answered with 503, which says that nothing was done.
	busy    bool
	appends []string
}

func newStore(address string) *store {
	return &store{address: address, changed: make(chan struct{}), topics: map[string][]logRecord{}}
}

// run serves the store.
func (s *store) run() error {
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	go func() { _ = http.Serve(listener, s) }()
	return nil
}

func (s *store) setBusy(busy bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy = busy
	close(s.changed)
	s.changed = make(chan struct{})
}

// put appends a record as the operator does.
func (s *store) put(topic, key string, value []byte) {
	content := append([]byte{byte(len(key))}, key...)
	content = append(content, value...)
	s.append(topic, [][]byte{content})
}

func (s *store) append(topic string, contents [][]byte) (offset, end int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	offset = len(s.topics[topic])
	for _, content := range contents {
		frame := binary.BigEndian.AppendUint32(nil, uint32(len(content)))
		keyEnd := 1 + int(content[0])
		record := logRecord{key: string(content[1:keyEnd]), value: content[keyEnd:], frame: append(frame, content...)}
		s.topics[topic] = append(s.topics[topic], record)
		s.appends = append(s.appends, stamp()+" "+topic+" "+record.key)
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return offset, len(s.topics[topic])
}

// keys returns what was appended, in order.
func (s *store) keys() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.appends...)
}

func (s *store) isBusy() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.busy
}

func (s *store) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if s.isBusy() {
		time.Sleep(storeAnswerTime)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	query := req.URL.Query()
	topic := query.Get("topic")
	switch strings.TrimPrefix(req.URL.Path, "/tanagerline/") {
	case "log-append":
		s.serveAppend(w, req, topic)
	case "log-read":
		s.serveRead(w, req, topic)
	case "log-newest":
		time.Sleep(storeAnswerTime)
		s.serveNewest(w, topic, query.Get("after"))
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) serveAppend(w http.ResponseWriter, req *http.Request, topic string) {
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	if topic == "keyed.op" || topic == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	var contents [][]byte
	for len(body) >= 4 {
		length := int(binary.BigEndian.Uint32(body))
		contents = append(contents, body[4:4+length])
		body = body[4+length:]
	}
	offset, end := s.append(topic, contents)
	time.Sleep(storeAnswerTime)
	writeJSON(w, map[string]any{"offset": offset, "endOffset": end})
}

func (s *store) serveRead(w http.ResponseWriter, req *http.Request, topic string) {
	from, _ := strconv.Atoi(req.URL.Query().Get("from"))
	wait, _ := strconv.Atoi(req.URL.Query().Get("waitMs"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		records := s.topics[topic]
		end := len(records)
		busy := s.busy
		changed := s.changed
		s.mu.Unlock()
		if busy {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if from > end {
			w.WriteHeader(http.StatusGone)
			writeJSON(w, map[string]any{"firstOffset": 0})
			return
		}
		if from < end || wait == 0 {
			s.writeRecords(w, records, from)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			wait = 0
		case <-req.Context().Done():
			return
		}
	}
}

func (s *store) writeRecords(w http.ResponseWriter, records []logRecord, from int) {
	data := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
	data = binary.BigEndian.AppendUint64(data, 0)
	for _, record := range records[from:] {
		data = append(data, record.frame...)
	}
	time.Sleep(storeAnswerTime)
	_, _ = w.Write(data)
}

func (s *store) serveNewest(w http.ResponseWriter, topic, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	newest := map[string]item{}
	for offset, record := range s.topics[topic] {
		newest[record.key] = item{Key: record.key, Value: base64.StdEncoding.EncodeToString(record.value), Offset: offset}
		if len(record.value) == 0 {
			delete(newest, record.key)
		}
	}
	items := []item{}
	for _, i := range newest {
		if i.Key > after {
			items = append(items, i)
		}
	}
	sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
	writeJSON(w, map[string]any{"items": items, "hasMore": false, "endOffset": len(s.topics[topic])})
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
