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
	maxEntriesPerPage = 512
	// pageBytes is where a page ends, well below what a client reads.
	pageBytes = 1 << 20
)

// Memory is a log in this process's memory, for the demonstration and for tests.
type Memory struct {
	mu      sync.Mutex
	streams map[string]*memoryStream
}

type memoryStream struct {
	earliest int64
	entries  []Entry
}

// Append adds a record and returns its offset.
func (m *Memory) Append(_ context.Context, name string, record []byte) (int64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.stream(name)
	offset := s.earliest + int64(len(s.entries))
	s.entries = append(s.entries, Entry{Offset: offset, Record: append(json.RawMessage(nil), record...)})
	return offset, nil
}

// Read returns the records at offset from and later.
func (m *Memory) Read(_ context.Context, name string, from int64) (Page, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.stream(name)
	end := s.earliest + int64(len(s.entries))
	from = min(max(from, s.earliest), end)
	page := Page{Earliest: s.earliest, Next: from}
	size := 0
	for page.Next < min(end, from+maxEntriesPerPage) && size < pageBytes {
		entry := s.entries[page.Next-s.earliest]
		page.Entries = append(page.Entries, entry)
		size += len(entry.Record)
		page.Next++
	}
	return page, nil
}

// Truncate drops the records before offset, as a log does when its retention ends.
func (m *Memory) Truncate(name string, offset int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.stream(name)
	offset = min(offset, s.earliest+int64(len(s.entries)))
	if offset > s.earliest {
		s.entries = append([]Entry(nil), s.entries[offset-s.earliest:]...)
		s.earliest = offset
	}
}

func (m *Memory) stream(name string) *memoryStream {
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

// Handler serves the log over HTTP as Client expects it.
func (m *Memory) Handler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/streams/{name}", m.serveAppend).Methods(http.MethodPost)
	router.HandleFunc("/streams/{name}", m.serveRead).Methods(http.MethodGet)
	return router
}

func (m *Memory) serveAppend(w http.ResponseWriter, req *http.Request) {
	record, err := io.ReadAll(http.MaxBytesReader(w, req.Body, maxPageBytes))
	if err != nil || !json.Valid(record) {
		http.Error(w, "the record is not JSON, or too large", http.StatusBadRequest)
		return
	}
	offset, err := m.Append(req.Context(), mux.Vars(req)["name"], record)
	writeJSON(w, Appended{Offset: offset}, err)
}

func (m *Memory) serveRead(w http.ResponseWriter, req *http.Request) {
	from, err := strconv.ParseInt(req.URL.Query().Get("from"), 10, 64)
	if err != nil {
		http.Error(w, "query from: give an offset", http.StatusBadRequest)
		return
	}
	page, err := m.Read(req.Context(), mux.Vars(req)["name"], from)
	writeJSON(w, page, err)
}

func writeJSON(w http.ResponseWriter, value any, err error) {
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
