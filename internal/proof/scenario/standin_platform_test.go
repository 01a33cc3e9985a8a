package scenario

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/tanagerline/tanagerline/internal/store/stream"
)

// platformStandIn is the platform's log with faults that scripts switch on.
type platformStandIn struct {
	memory *stream.MemoryLog
	log    http.Handler
	// down refuses everything; lost hides the answers to that many appends;
	// lateNanoseconds delays every answer.
	down            atomic.Bool
	lost            atomic.Int64
	lateNanoseconds atomic.Int64
}

// platformMain runs the stand-in for the platform's log.
func platformMain(args []string) int {
	flags := flag.NewFlagSet("platform", flag.ExitOnError)
	listen := flags.String("listen", "", "address")
	_ = flags.Parse(args)
	p := &platformStandIn{memory: &stream.MemoryLog{}}
	p.log = p.memory.Handler()
	mux := http.NewServeMux()
	mux.HandleFunc("/", p.serve)
	mux.HandleFunc("/-/control", p.control)
	server := &http.Server{Addr: *listen, Handler: mux, ReadHeaderTimeout: time.Minute}
	fmt.Fprintln(os.Stderr, server.ListenAndServe())
	return 1
}

func (p *platformStandIn) control(w http.ResponseWriter, req *http.Request) {
	query := req.URL.Query()
	if v := query.Get("down"); v != "" {
		p.down.Store(v == "1")
	}
	if n, err := strconv.ParseInt(query.Get("lose"), 10, 64); err == nil {
		p.lost.Store(n)
	}
	if d, err := time.ParseDuration(query.Get("late")); err == nil {
		p.lateNanoseconds.Store(int64(d))
	}
	if query.Get("expire") != "" {
		page, _ := p.memory.Read(context.Background(), stream.RecordStream, 1)
		for len(page.Entries) > 0 {
			page, _ = p.memory.Read(context.Background(), stream.RecordStream, page.Next)
		}
		p.memory.Truncate(stream.RecordStream, page.Next)
	}
	w.WriteHeader(http.StatusOK)
}

func (p *platformStandIn) serve(w http.ResponseWriter, req *http.Request) {
	if p.down.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	time.Sleep(time.Duration(p.lateNanoseconds.Load()))
	if req.Method == http.MethodPost && p.lost.Add(-1) >= 0 {
		p.log.ServeHTTP(discardWriter{header: http.Header{}}, req)
		panic(http.ErrAbortHandler)
	}
	p.log.ServeHTTP(w, req)
}

// discardWriter takes an answer that its caller never gets.
type discardWriter struct{ header http.Header }

func (d discardWriter) Header() http.Header         { return d.header }
func (d discardWriter) Write(p []byte) (int, error) { return len(p), nil }
func (d discardWriter) WriteHeader(int)             {}
