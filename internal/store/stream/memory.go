package stream

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"

	"github.com/gorilla/mux"
)

const (
	// maxEntriesPerPage limits the entries that one read returns.
	maxEntriesPerPage = 512
	// targetPageBytes is the total size of records, in bytes, at which a page ends. It is well below
	// maxPageBytes, at which a client cuts off the response, because the record that
	// crosses targetPageBytes is still part of the page. A record close to maxPageBytes
	// still makes the page too long for a client.
	targetPageBytes = 1 << 20
)

// MemoryLog is a Log that holds its streams in memory, for the demonstration and for tests.
// The zero value is an empty log. It is safe for concurrent use.
type MemoryLog struct {
	mu sync.Mutex
	// streams holds each stream under its name.
	streams map[string]*memoryStream
}

// memoryStream holds the retained entries of one stream.
type memoryStream struct {
	// earliest is the offset of the first retained entry.
	earliest int64
	entries  []Entry
}

// Append adds a record to the named stream and returns its offset. It never fails.
func (m *MemoryLog) Append(_ context.Context, name string, record []byte) (int64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.stream(name)
	offset := s.earliest + int64(len(s.entries))
	s.entries = append(s.entries, Entry{Offset: offset, Record: append(json.RawMessage(nil), record...)})
	return offset, nil
}

// Read returns a page of the named stream, beginning with the first retained record
// whose offset is at least from. It never fails.
func (m *MemoryLog) Read(_ context.Context, name string, from int64) (Page, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.stream(name)
	end := s.earliest + int64(len(s.entries))
	from = min(max(from, s.earliest), end)
	page := Page{Earliest: s.earliest, Next: from}
	size := 0
	for page.Next < min(end, from+maxEntriesPerPage) && size < targetPageBytes {
		entry := s.entries[page.Next-s.earliest]
		page.Entries = append(page.Entries, entry)
		size += len(entry.Record)
		page.Next++
	}
	return page, nil
}

// Truncate drops the records before offset, as a log does when their retention time
// expires.
func (m *MemoryLog) Truncate(name string, offset int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.stream(name)
	offset = min(offset, s.earliest+int64(len(s.entries)))
	if offset > s.earliest {
		s.entries = append([]Entry(nil), s.entries[offset-s.earliest:]...)
		s.earliest = offset
	}
}

// stream returns the named stream and creates it if needed. The caller must hold m.mu.
func (m *MemoryLog) stream(name string) *memoryStream {
	if m.streams == nil {
		m.streams = map[string]*memoryStream{}
	}
	s := m.streams[name]
	if s == nil {
		s = &memoryStream{earliest: 1}
		m.streams[name] = s
	}
	return s
}

// Handler returns a handler that serves the log over HTTP to a Client.
func (m *MemoryLog) Handler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/streams/{name}", m.serveAppend).Methods(http.MethodPost)
	router.HandleFunc("/streams/{name}", m.serveRead).Methods(http.MethodGet)
	return router
}

func (m *MemoryLog) serveAppend(w http.ResponseWriter, req *http.Request) {
	record, err := io.ReadAll(http.MaxBytesReader(w, req.Body, maxPageBytes))
	if err != nil || !json.Valid(record) {
		http.Error(w, "the record is not JSON, or too large", http.StatusBadRequest)
		return
	}
	offset, err := m.Append(req.Context(), mux.Vars(req)["name"], record)
	writeJSON(w, AppendResponse{Offset: offset}, err)
}

func (m *MemoryLog) serveRead(w http.ResponseWriter, req *http.Request) {
	from, err := strconv.ParseInt(req.URL.Query().Get("from"), 10, 64)
	if err != nil {
		http.Error(w, "query from: give an offset", http.StatusBadRequest)
		return
	}
	page, err := m.Read(req.Context(), mux.Vars(req)["name"], from)
	writeJSON(w, page, err)
}

// writeJSON responds with value as JSON, or with status 500 if err is not nil.
func writeJSON(w http.ResponseWriter, value any, err error) {
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
