package peer

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/tanagerline/tanagerline/internal/decision/reducer"
)

func TestEndToEndLeavesOutWhatBelongsToOneConnection(t *testing.T) {
	c := qt.New(t)
	out := EndToEnd(http.Header{
		"Accept":          {"text/plain"},
		"Connection":      {"close, X-Hop"},
		"X-Hop":           {"1"},
		"Keep-Alive":      {"5"},
		"Te":              {"trailers"},
		"Idempotency-Key": {"k"},
		HeaderKind:        {"read"},
		"X-Forwarded-For": {"10.0.0.1"},
	})
	c.Assert(out, qt.DeepEquals, http.Header{"Accept": {"text/plain"}, "X-Forwarded-For": {"10.0.0.1"}})
}

// TestTransportDoesNotRepeatAKeyedRequest breaks a kept-alive connection under a
// request, where http.Transport would repeat one that it thinks is replayable.
func TestTransportDoesNotRepeatAKeyedRequest(t *testing.T) {
	for _, method := range []string{http.MethodPost, http.MethodGet, http.MethodDelete} {
		t.Run(method, func(t *testing.T) {
			c := qt.New(t)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			c.Assert(err, qt.IsNil)
			defer func() { _ = listener.Close() }()
			got := make(chan string, 8)
			go serveOnceThenBreak(listener, got)
			transport := &http.Transport{}
			for i := range 2 {
				req, err := http.NewRequest(method, "http://"+listener.Addr().String()+"/", nil)
				c.Assert(err, qt.IsNil)
				SetKey(req.Header, "key-1")
				req.Body = SingleUse(method, 0, http.NoBody)
				resp, err := transport.RoundTrip(req)
				if i == 0 {
					c.Assert(err, qt.IsNil)
					_, _ = io.Copy(io.Discard, resp.Body)
					_ = resp.Body.Close()
					continue
				}
				c.Assert(err, qt.IsNotNil)
			}
			time.Sleep(20 * time.Millisecond)
			c.Assert(len(got), qt.Equals, 2)
		})
	}
}

// serveOnceThenBreak answers the first request of each connection and breaks the
// connection under the second; every request is told to got.
func serveOnceThenBreak(listener net.Listener, got chan<- string) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = conn.Close() }()
			reader := bufio.NewReader(conn)
			for range 2 {
				req, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				got <- req.Header.Get("Idempotency-Key")
				if len(got) > 1 {
					return
				}
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			}
		}()
	}
}

func FuzzLoadReport(f *testing.F) {
	f.Add("1,2,3,4,5,6")
	f.Add(",,,,")
	f.Fuzz(func(t *testing.T, text string) {
		load, err := reducer.ParseLoadReport(text)
		if err != nil {
			return
		}
		again, err := reducer.ParseLoadReport(load.String())
		if err != nil || again != load {
			t.Fatalf("%q became %q", text, load)
		}
	})
}

func FuzzEndToEnd(f *testing.F) {
	f.Add("Connection", "close, Tanagerline-Key")
	f.Fuzz(func(t *testing.T, name, value string) {
		out := EndToEnd(http.Header{http.CanonicalHeaderKey(name): {value}, "Connection": {value}})
		for kept := range out {
			if strings.HasPrefix(kept, headerPrefix) || kept == "Connection" {
				t.Fatalf("%s was passed on", kept)
			}
		}
	})
}
