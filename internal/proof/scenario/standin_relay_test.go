package scenario

import (
	"flag"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// relayStandIn passes TCP connections on, with faults that scripts switch on.
type relayStandIn struct {
	target string
	// cut breaks connections; holdAnswers keeps answers back; forward and answer
	// bytes are counted.
	cut         atomic.Bool
	holdAnswers atomic.Bool
	delay       atomic.Int64
	generation  atomic.Int64
}

// relayMain runs a relay between two processes.
func relayMain(args []string) error {
	flags := flag.NewFlagSet("relay", flag.ExitOnError)
	listen := flags.String("listen", "", "address")
	target := flags.String("target", "", "address")
	control := flags.String("control", "", "address of the fault switches")
	_ = flags.Parse(args)
	r := &relayStandIn{target: *target}
	mux := http.NewServeMux()
	mux.HandleFunc("/-/control", r.control)
	go func() { _ = http.ListenAndServe(*control, mux) }()
	listener, err := net.Listen("tcp", *listen)
	if err != nil {
		return err
	}
	for {
		conn, err := listener.Accept()
		if err != nil {
			return err
		}
		go r.pass(conn)
	}
}

func (r *relayStandIn) control(w http.ResponseWriter, req *http.Request) {
	query := req.URL.Query()
	if v := query.Get("cut"); v != "" {
		r.cut.Store(v == "1")
		r.generation.Add(1)
	}
	if v := query.Get("hold"); v != "" {
		r.holdAnswers.Store(v == "1")
	}
	if d, err := time.ParseDuration(query.Get("delay")); err == nil {
		r.delay.Store(int64(d))
	}
	w.WriteHeader(http.StatusOK)
}

func (r *relayStandIn) pass(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	if r.cut.Load() {
		return
	}
	generation := r.generation.Load()
	target, err := net.Dial("tcp", r.target)
	if err != nil {
		return
	}
	defer func() { _ = target.Close() }()
	done := make(chan struct{}, 2)
	go func() { r.copy(target, conn, false, generation); done <- struct{}{} }()
	go func() { r.copy(conn, target, true, generation); done <- struct{}{} }()
	<-done
}

func (r *relayStandIn) copy(to io.Writer, from net.Conn, answers bool, generation int64) {
	buffer := make([]byte, 32<<10)
	for {
		_ = from.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
		n, err := from.Read(buffer)
		if r.generation.Load() != generation && r.cut.Load() {
			return
		}
		for answers && n > 0 && r.holdAnswers.Load() && !r.cut.Load() {
			time.Sleep(5 * time.Millisecond)
		}
		if r.generation.Load() != generation && r.cut.Load() {
			return
		}
		time.Sleep(time.Duration(r.delay.Load()))
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				return
			}
		}
		if timeout, ok := err.(net.Error); ok && timeout.Timeout() {
			continue
		}
		if err != nil {
			return
		}
	}
}
