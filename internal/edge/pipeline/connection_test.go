package pipeline

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestBrokenAnswerEndsTheConnection guards against an answer that was broken off and looks
// complete, and against later answers in its place.
func TestBrokenAnswerEndsTheConnection(t *testing.T) {
	for name, answer := range map[string]func(w http.ResponseWriter){
		"aborted": func(w http.ResponseWriter) { panic(http.ErrAbortHandler) },
		"fault":   func(w http.ResponseWriter) { panic("some fault") },
		"short": func(w http.ResponseWriter) {
			w.Header().Set("Content-Length", "9")
			_, _ = io.WriteString(w, "8 bytes.")
		},
	} {
		for _, broken := range []string{"/a", "/b"} {
			t.Run(name+broken, func(t *testing.T) {
				s := newSite(t, nil)
				s.answer = func(w http.ResponseWriter, req *http.Request) {
					if req.URL.Path == broken {
						answer(w)
					}
				}
				k := s.dial()
				k.send(get("/a"), get("/b"), get("/c"))
				s.await(s.started, "/a", "/b", "/c")
				s.release("/a", "/b", "/c")
				if broken == "/b" {
					k.expect("")
				}
				rest, _ := io.ReadAll(k.reader)
				s.c.Assert(string(rest), qt.Equals, "")
				s.shutdown()
				logged := strings.Contains(s.logged.String(), "some fault")
				s.c.Assert(logged, qt.Equals, name == "fault" && broken == "/b")
			})
		}
	}
}

// TestFlushedPartOfABrokenAnswerIsWritten guards against a refusal that the client never gets, because
// the handler then ends the connection for the sake of the request's body.
func TestFlushedPartOfABrokenAnswerIsWritten(t *testing.T) {
	s := newSite(t, nil)
	s.answer = func(w http.ResponseWriter, req *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = io.WriteString(w, "part")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	k := s.dial()
	k.send(get("/a"), get("/b"))
	s.await(s.started, "/a", "/b")
	s.release("/a")
	resp, err := http.ReadResponse(k.reader, nil)
	s.c.Assert(err, qt.IsNil)
	s.c.Assert(resp.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	s.c.Assert(resp.Close, qt.IsTrue)
	s.await(s.cancelled, "/b")
	_ = k.closeWrite()
	body, err := io.ReadAll(resp.Body)
	s.c.Assert(string(body), qt.Equals, "part")
	s.c.Assert(err, qt.ErrorIs, io.ErrUnexpectedEOF)
}

// TestHeadsAreLimited guards against heads that fill the memory or keep a connection after it was
// taken over, and against answers to them before those of earlier requests.
func TestHeadsAreLimited(t *testing.T) {
	for name, test := range map[string]struct {
		head   string
		status int
	}{
		"too long":    {"GET /b HTTP/1.1\r\nHost: site\r\nX: " + strings.Repeat("x", 16<<10), http.StatusRequestHeaderFieldsTooLarge},
		"malformed":   {"GET\r\n\r\n", http.StatusBadRequest},
		"empty lines": {strings.Repeat("\r\n", 10<<10), http.StatusBadRequest},
		"no host":     {"GET /b HTTP/1.1\r\n\r\n", http.StatusBadRequest},
		"protocol":    {"GET /b HTTP/3.0\r\nHost: site\r\n\r\n", http.StatusHTTPVersionNotSupported},
		"expectation": {"GET /b HTTP/1.1\r\nHost: site\r\nExpect: more\r\n\r\n", http.StatusExpectationFailed},
		"too slow":    {"GET /b HTTP/1.1\r\nHost: site\r\n", 0},
		"idle":        {"", 0},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t, func(p *Pipelines) {
				if test.status == 0 {
					p.Limits = func() Limits {
						return Limits{HeaderBytes: 4 << 10, HeaderTime: 50 * time.Millisecond, IdleTime: 50 * time.Millisecond}
					}
				}
			})
			k := s.dial()
			k.send(get("/a"), get("/b"), test.head)
			s.await(s.started, "/a", "/b")
			s.release("/a", "/b")
			k.expect("/a", "/b")
			if test.status != 0 {
				resp, _ := k.receive(http.MethodGet)
				s.c.Assert(resp.StatusCode, qt.Equals, test.status)
				s.c.Assert(resp.Close, qt.IsTrue)
				_ = k.closeWrite()
			}
			k.expectEnd()
			s.shutdown()
		})
	}
}

// TestClientThatDoesNotReadIsClosed guards against answers that stay in memory for a client that
// doesn't read them.
func TestClientThatDoesNotReadIsClosed(t *testing.T) {
	s := newSite(t, nil)
	// The answer is longer than what the sockets buffer.
	content := make([]byte, 32<<20)
	s.answer = func(w http.ResponseWriter, req *http.Request) { _, _ = w.Write(content) }
	k := s.dial()
	k.send(get("/a"), get("/b"))
	s.await(s.started, "/a", "/b")
	s.release("/a")
	s.await(s.cancelled, "/b")
	s.shutdown()
}

// TestAnswersAreFramed guards against answers whose end the client can't tell.
func TestAnswersAreFramed(t *testing.T) {
	s := newSite(t, nil)
	s.answer = func(w http.ResponseWriter, req *http.Request) {
		switch req.URL.Path {
		case "/empty":
			w.WriteHeader(http.StatusNoContent)
		case "/same":
			w.WriteHeader(http.StatusNotModified)
		case "/trailer":
			w.Header().Set("Trailer", "Sum")
			_, _ = io.WriteString(w, "text")
			w.Header().Set(http.TrailerPrefix+"Sum", "4")
		default:
			w.Header().Set("Content-Length", "4")
			_, _ = io.WriteString(w, "text")
		}
	}
	s.release("/empty", "/same", "/trailer", "/head", "/end")
	k := s.dial()
	k.send(get("/end"), get("/empty"), get("/same"), get("/trailer"), "HEAD /head HTTP/1.1\r\nHost: site\r\n\r\n", get("/end"))
	k.expect("text")
	resp, body := k.receive(http.MethodGet)
	s.c.Assert([]any{resp.StatusCode, body}, qt.DeepEquals, []any{http.StatusNoContent, ""})
	s.c.Assert(resp.Header.Get("Date"), qt.Not(qt.Equals), "")
	resp, body = k.receive(http.MethodGet)
	s.c.Assert([]any{resp.StatusCode, body}, qt.DeepEquals, []any{http.StatusNotModified, ""})
	resp, body = k.receive(http.MethodGet)
	s.c.Assert([]any{resp.Trailer.Get("Sum"), body}, qt.DeepEquals, []any{"4", "text"})
	resp, body = k.receive(http.MethodHead)
	s.c.Assert([]any{resp.ContentLength, body}, qt.DeepEquals, []any{int64(4), ""})
	k.expect("text")
}

// TestContentBeyondTheLengthIsNotWritten guards against bytes behind an answer's length, which the client
// takes for the answer to its next request.
func TestContentBeyondTheLengthIsNotWritten(t *testing.T) {
	s := newSite(t, nil)
	s.answer = func(w http.ResponseWriter, req *http.Request) {
		if req.URL.Path != "/b" {
			_, _ = io.WriteString(w, req.URL.Path)
			return
		}
		w.Header().Set("Content-Length", "2")
		_, _ = io.WriteString(w, "/b")
		_ = http.NewResponseController(w).Flush()
		_, err := io.WriteString(w, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n/x")
		s.c.Check(err, qt.ErrorIs, http.ErrContentLength)
		panic(http.ErrAbortHandler)
	}
	k := s.dial()
	k.send(get("/a"), get("/b"), get("/c"))
	s.await(s.started, "/a", "/b", "/c")
	s.release("/c", "/b", "/a")
	k.expect("/a", "/b")
	_ = k.closeWrite()
	k.expectEnd()
	s.shutdown()
}

// TestBrokenAnswerOfUnknownLengthToHTTP10 guards against a part of an answer that looks complete: HTTP/1.0
// has no chunks whose end could be missing.
func TestBrokenAnswerOfUnknownLengthToHTTP10(t *testing.T) {
	s := newSite(t, nil)
	s.answer = func(w http.ResponseWriter, req *http.Request) {
		_, _ = io.WriteString(w, req.URL.Path)
		if req.URL.Path == "/b" {
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
	}
	k := s.dial()
	k.send(get("/a"), "GET /b HTTP/1.0\r\nHost: site\r\n\r\n")
	s.await(s.started, "/a")
	s.release("/b", "/a")
	k.expect("/a")
	k.expectEnd()
	s.shutdown()
}
