package scenario

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// upstreamStandIn is a server that does what each request's query tells it:
// work, chunks, every, bytes, status, cut, swap, early, die.
type upstreamStandIn struct {
	name     string
	ledger   *os.File
	mu       sync.Mutex
	slowdown atomic.Int64
	running  atomic.Int64
	// answered is when the last call was answered, in Unix milliseconds.
	answered atomic.Int64
}

// freshAnswer is how long an answer spares the stand-in a probe in the scenarios
// that look at it.
const freshAnswer = 300 * time.Millisecond

// upstreamMain runs the stand-in for an upstream. It announces itself to its node
// again and again, as a server that may be started before its node does.
func upstreamMain(args []string) int {
	flags := flag.NewFlagSet("upstream", flag.ExitOnError)
	name := flags.String("name", "u", "name in the ledger")
	listen := flags.String("listen", "", "address")
	node := flags.String("node", "", "the node's listener for its upstream")
	service := flags.String("service", "roster", "service")
	slots := flags.Int("slots", 6, "slots")
	connections := flags.Int("connections", 250, "connections")
	_ = flags.Parse(args)
	ledger, err := os.OpenFile(os.Getenv("LEDGER"), os.O_APPEND|os.O_WRONLY|os.O_CREATE, 0o600)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	s := &upstreamStandIn{name: *name, ledger: ledger}
	announcement := map[string]any{
		"service": *service, "address": *listen, "slots": *slots, "connections": *connections,
	}
	go announceForever(*node, announcement)
	mux := http.NewServeMux()
	mux.HandleFunc("/-/health", s.serveHealth)
	mux.HandleFunc("/-/control/slow", s.setSlowdown)
	mux.HandleFunc("/-/control/drain", func(w http.ResponseWriter, _ *http.Request) {
		announcement := map[string]any{
			"service": *service, "address": *listen, "slots": *slots, "connections": *connections, "draining": true,
		}
		if !announceOnce(*node, announcement) {
			w.WriteHeader(http.StatusBadGateway)
		}
	})
	handler := http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if strings.HasPrefix(req.URL.Path, "/-/") {
			mux.ServeHTTP(w, req)
			return
		}
		s.serve(w, req)
	})
	server := &http.Server{Addr: *listen, Handler: handler, ReadHeaderTimeout: time.Minute}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM)
	go func() {
		<-stop
		_ = server.Close()
	}()
	if err := server.ListenAndServe(); err != http.ErrServerClosed {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return 0
}

// announceForever announces until the node takes it, and again when the node was
// replaced.
func announceForever(node string, announcement map[string]any) {
	for {
		if announceOnce(node, announcement) {
			time.Sleep(time.Second)
			continue
		}
		time.Sleep(20 * time.Millisecond)
	}
}

var drained atomic.Bool

func announceOnce(node string, announcement map[string]any) bool {
	if announcement["draining"] == true {
		drained.Store(true)
	}
	announcement["draining"] = drained.Load()
	body, _ := json.Marshal(announcement)
	client := http.Client{Timeout: time.Second}
	resp, err := client.Post("http://"+node+"/-/announce", "application/json", bytes.NewReader(body))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusNoContent {
		fmt.Fprintln(os.Stderr, "announcement refused:", resp.Status)
	}
	return resp.StatusCode == http.StatusNoContent
}

// record writes one line to the ledger. The line is whole, because the file is
// opened for appending and the line is one write.
func (s *upstreamStandIn) record(what string, req *http.Request) {
	line := fmt.Sprintf("%s upstream=%s path=%s key=%s attempt=%s deadline=%t at=%d\n", what, s.name, req.URL.Path,
		req.Header.Get("Idempotency-Key"), req.Header.Get("Tanagerline-Attempt"),
		req.Header.Get("Tanagerline-Timeout") != "", time.Now().UnixMilli())
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = s.ledger.WriteString(line)
}

func (s *upstreamStandIn) setSlowdown(w http.ResponseWriter, req *http.Request) {
	d, err := time.ParseDuration(req.URL.Query().Get("by"))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.slowdown.Store(int64(d))
}

func (s *upstreamStandIn) serveHealth(w http.ResponseWriter, req *http.Request) {
	fresh := time.Since(time.UnixMilli(s.answered.Load())) < freshAnswer
	s.record(fmt.Sprintf("probe fresh=%t", fresh), req)
	_, _ = io.WriteString(w, "ok\n")
}

func (s *upstreamStandIn) serve(w http.ResponseWriter, req *http.Request) {
	query := req.URL.Query()
	now := s.running.Add(1)
	defer s.running.Add(-1)
	s.record("begin running="+strconv.FormatInt(now, 10), req)
	if query.Get("die") != "" {
		time.Sleep(queryDuration(req, "work"))
		os.Exit(7)
	}
	digest := sha256.New()
	var received int64
	if query.Get("early") == "" {
		n, err := io.Copy(digest, req.Body)
		received = n
		if err != nil {
			s.record("broken", req)
			return
		}
	}
	select {
	case <-time.After(queryDuration(req, "work") + time.Duration(s.slowdown.Load())):
	case <-req.Context().Done():
		s.record("cancelled", req)
		return
	}
	s.answer(w, req, fmt.Sprintf("%s from %s received=%d sha256=%x", req.URL.Path, s.name, received, digest.Sum(nil)[:4]))
	s.answered.Store(time.Now().UnixMilli())
	s.record("end", req)
}

func queryDuration(req *http.Request, name string) time.Duration {
	d, _ := time.ParseDuration(req.URL.Query().Get(name))
	return d
}

// answer writes the answer that the query asks for.
func (s *upstreamStandIn) answer(w http.ResponseWriter, req *http.Request, text string) {
	query := req.URL.Query()
	if query.Get("swap") != "" {
		w.Header().Set("Tanagerline-Attempt", "another-attempt")
	}
	w.Header().Set("X-Stand-In", s.name)
	w.Header().Set("Trailer", "X-Checksum")
	status, err := strconv.Atoi(query.Get("status"))
	if err != nil {
		status = http.StatusOK
	}
	if size, err := strconv.ParseInt(query.Get("bytes"), 10, 64); err == nil {
		s.writeBytes(w, req, status, size)
		return
	}
	w.WriteHeader(status)
	if status == http.StatusNoContent || status == http.StatusNotModified {
		return
	}
	chunks, _ := strconv.Atoi(query.Get("chunks"))
	for i := range chunks {
		fmt.Fprintf(w, "part %d of %s\n", i, req.URL.Path)
		_ = http.NewResponseController(w).Flush()
		time.Sleep(queryDuration(req, "every"))
		if query.Get("cut") != "" && i == chunks/2 {
			panic(http.ErrAbortHandler)
		}
	}
	fmt.Fprintln(w, text)
	w.Header().Set("X-Checksum", fmt.Sprintf("%x", sha256.Sum256([]byte(text)))[:8])
}

// writeBytes writes a body of a declared length, and breaks off in its middle
// where the query says so.
func (s *upstreamStandIn) writeBytes(w http.ResponseWriter, req *http.Request, status int, size int64) {
	w.Header().Set("Content-Length", strconv.FormatInt(size, 10))
	w.Header().Del("Trailer")
	w.WriteHeader(status)
	part := bytes.Repeat([]byte("x"), 32<<10)
	for written := int64(0); written < size; {
		n := min(int64(len(part)), size-written)
		if _, err := w.Write(part[:n]); err != nil {
			return
		}
		written += n
		if req.URL.Query().Get("cut") != "" && written >= size/2 {
			panic(http.ErrAbortHandler)
		}
	}
}
