package main

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// store stands in for the platform's metadata store, as far as nodes and the operator use it:
// topics with the newest record of each key, in partition 0.
type store struct {
	log     *record
	address string
	server  *http.Server

	mu     sync.Mutex
	topics map[string][]keyed
	grown  chan struct{}
}

type keyed struct{ key, value []byte }

func newStore(log *record) *store {
	return &store{log: log, topics: map[string][]keyed{}, grown: make(chan struct{})}
}

func (s *store) listen() error {
	listener, err := net.Listen("tcp", "127.0.7.250:0")
	if err != nil {
		return err
	}
	s.address = listener.Addr().String()
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(listener) }()
	return nil
}

func (s *store) close() { _ = s.server.Close() }

// publish writes the first configuration as the operator does.
func (s *store) publish(routes []route, services []string) {
	const version = 7
	type object = map[string]any
	var resources []object
	for i, r := range routes {
		resources = append(resources, object{
			"resourceType": "routes", "metadata": object{"name": "r-" + strconv.Itoa(i)},
			"spec": object{
				"host": r.host, "pathPrefix": r.prefix, "kind": r.kind, "timeout": "1200ms", "targetLatency": "300ms",
				"priority": 1, "service": r.service, "maxAttempts": 2,
			},
		})
	}
	for _, service := range services {
		resources = append(resources, object{
			"resourceType": "services", "metadata": object{"name": service},
			"spec": object{"healthPath": healthPath, "maxConnections": 260, "protocol": "h1", "tls": false},
		})
	}
	resources = append(resources, object{
		"resourceType": "limits", "metadata": object{},
		"spec": object{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeout": "3000ms", "idleTimeout": "15000ms"},
	})
	value, err := json.Marshal(object{"version": version, "resources": resources})
	if err != nil {
		panic(err)
	}
	s.put("keyed.op", []byte("config"), value)
	s.log.printf("the operator's configuration %d is in the store", version)
}

// route is a route of a configuration.
type route struct{ host, prefix, kind, service string }

func (s *store) put(topic string, key, value []byte) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topics[topic] = append(s.topics[topic], keyed{key, value})
	close(s.grown)
	s.grown = make(chan struct{})
	return len(s.topics[topic])
}

// ServeHTTP answers the calls that nodes make.
func (s *store) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	topic := req.URL.Query().Get("topic")
	switch req.URL.Path {
	case "/tanagerline/log-append":
		data, err := io.ReadAll(req.Body)
		if err != nil || len(data) < 5 || 5+int(data[4]) > len(data) {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		end := 5 + int(data[4])
		n := s.put(topic, data[5:end], data[end:])
		_ = json.NewEncoder(w).Encode(map[string]int{"offset": n - 1, "endOffset": n})
	case "/tanagerline/log-newest":
		s.newest(w, topic)
	case "/tanagerline/log-read":
		s.read(w, req, topic)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) newest(w http.ResponseWriter, topic string) {
	type item struct {
		Key    string `json:"key"`
		Value  []byte `json:"value"`
		Offset int    `json:"offset"`
	}
	s.mu.Lock()
	newest := map[string]item{}
	for i, r := range s.topics[topic] {
		newest[string(r.key)] = item{string(r.key), r.value, i}
	}
	items := []item{}
	for _, i := range newest {
		items = append(items, i)
	}
	end := len(s.topics[topic])
	s.mu.Unlock()
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "hasMore": false, "endOffset": end})
}

func (s *store) read(w http.ResponseWriter, req *http.Request, topic string) {
	from, _ := strconv.Atoi(req.URL.Query().Get("from"))
	wait, _ := strconv.Atoi(req.URL.Query().Get("waitMs"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		grown := s.grown
		some := len(s.topics[topic]) > from
		s.mu.Unlock()
		if some {
			break
		}
		select {
		case <-grown:
			continue
		case <-req.Context().Done():
			return
		case <-timer.C:
		}
		break
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	all := s.topics[topic]
	answer := binary.BigEndian.AppendUint64(nil, uint64(len(all)))
	answer = binary.BigEndian.AppendUint64(answer, 0)
	for _, r := range all[min(from, len(all)):] {
		answer = binary.BigEndian.AppendUint32(answer, uint32(1+len(r.key)+len(r.value)))
		answer = append(append(append(answer, byte(len(r.key))), r.key...), r.value...)
	}
	_, _ = w.Write(answer)
}
