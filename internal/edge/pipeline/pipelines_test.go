package pipeline

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func contextWithTimeout() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), patience)
}

// TestRequestsRunTogetherAndAreAnsweredInOrder guards against pipelined requests that wait for
// each other, and against answers that are taken for those of other requests.
func TestRequestsRunTogetherAndAreAnsweredInOrder(t *testing.T) {
	t.Run("one segment", func(t *testing.T) {
		s := newSite(t, nil)
		k := s.dial()
		k.send(get("/a"), get("/b"), get("/c"))
		s.await(s.started, "/a", "/b", "/c")
		s.release("/c", "/b", "/a")
		k.expect("/a", "/b", "/c")
	})
	t.Run("separate segments", func(t *testing.T) {
		s := newSite(t, nil)
		k := s.dial()
		for _, path := range []string{"/a", "/b", "/c"} {
			k.send(get(path))
			s.await(s.started, path)
		}
		s.release("/c", "/b", "/a")
		k.expect("/a", "/b", "/c")
	})
	t.Run("behind a body", func(t *testing.T) {
		s := newSite(t, nil)
		k := s.dial()
		k.send("POST /p HTTP/1.1\r\nHost: site\r\nContent-Length: 2\r\n\r\n42", get("/a"), get("/b"))
		s.await(s.started, "/p")
		s.release("/p")
		s.await(s.started, "/a", "/b")
		s.release("/b", "/a")
		k.expect("/p42", "/a", "/b")
	})
}

// TestClientIsWatchedBehindABodyInChunks guards against a connection on which pipelined requests are no
// longer noticed once a body of unknown length has passed.
func TestClientIsWatchedBehindABodyInChunks(t *testing.T) {
	s := newSite(t, nil)
	k := s.dial()
	s.release("/p")
	k.send("POST /p HTTP/1.1\r\nHost: site\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n42\r\n0\r\n\r\n")
	k.expect("/p42")
	s.await(s.started, "/p")
	k.send(get("/a"), get("/b"))
	s.await(s.started, "/a", "/b")
	s.release("/b", "/a")
	k.expect("/a", "/b")
}

// TestRequestThatMustNotBeRepeatedRunsAlone guards against sending a request that must not be
// repeated while the connection may still end before it.
func TestRequestThatMustNotBeRepeatedRunsAlone(t *testing.T) {
	for name, middle := range map[string]string{
		"route":  get("/once"),
		"body":   "POST /once HTTP/1.1\r\nHost: site\r\nContent-Length: 2\r\n\r\n42",
		"chunks": "POST /once HTTP/1.1\r\nHost: site\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n42\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t, nil)
			k := s.dial()
			k.send(get("/a"), get("/b"), middle, get("/c"), get("/d"))
			s.await(s.started, "/a", "/b")
			s.release("/b", "/a")
			s.await(s.started, "/once")
			s.release("/once")
			s.await(s.started, "/c", "/d")
			s.release("/c", "/d")
			content := "/once"
			if name != "route" {
				content = "/once42"
			}
			k.expect("/a", "/b", content, "/c", "/d")
			s.c.Assert(s.beside, qt.HasLen, 0)
		})
	}
}

// TestBodyIsAskedFor guards against a client that waits for 100 Continue forever.
func TestBodyIsAskedFor(t *testing.T) {
	s := newSite(t, nil)
	k := s.dial()
	k.send(get("/a"), "POST /p HTTP/1.1\r\nHost: site\r\nContent-Length: 2\r\nExpect: 100-continue\r\n\r\n")
	s.await(s.started, "/a")
	s.release("/a", "/p", "/b")
	k.expect("/a")
	resp, _ := k.receive(http.MethodPost)
	s.c.Assert(resp.StatusCode, qt.Equals, http.StatusContinue)
	k.send("42", get("/b"))
	k.expect("/p42", "/b")
}

// TestNothingRunsBehindAnAnswerThatCloses guards against running a request that the client takes
// for unread and sends again.
func TestNothingRunsBehindAnAnswerThatCloses(t *testing.T) {
	closing := func(w http.ResponseWriter, req *http.Request) {
		if req.URL.Path == "/b" {
			w.Header().Set("Connection", "close")
		}
		_, _ = io.WriteString(w, req.URL.Path)
	}
	for name, second := range map[string]string{
		"closed by the handler": get("/b"),
		"closed by the client":  "GET /b HTTP/1.1\r\nHost: site\r\nConnection: close\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t, nil)
			s.answer = closing
			k := s.dial()
			k.send(get("/a"), second, get("/once"))
			s.await(s.started, "/a", "/b")
			s.release("/once", "/b", "/a")
			last := k.expect("/a", "/b")
			s.c.Assert(last.Close, qt.IsTrue)
			_ = k.closeWrite()
			k.expectEnd()
			s.shutdown()
			s.c.Assert(s.started, qt.HasLen, 0)
		})
	}
}

// TestClientThatLeavesCancelsItsRequests guards against work for a client that is gone.
func TestClientThatLeavesCancelsItsRequests(t *testing.T) {
	s := newSite(t, nil)
	k := s.dial()
	k.send(get("/a"), get("/b"), get("/c"), get("/once"))
	s.await(s.started, "/a", "/b", "/c")
	_ = k.Close()
	s.await(s.cancelled, "/a", "/b", "/c")
	s.shutdown()
	s.c.Assert(s.started, qt.HasLen, 0)
}

// TestRequestsAreBounded guards against a client that has any number of requests run at once.
func TestRequestsAreBounded(t *testing.T) {
	s := newSite(t, func(p *Pipelines) { p.MaxRequests = 2 })
	k := s.dial()
	k.send(get("/a"), get("/b"), get("/c"), get("/d"))
	s.await(s.started, "/a", "/b")
	s.release("/b", "/a")
	s.await(s.started, "/c", "/d")
	s.release("/d", "/c")
	k.expect("/a", "/b", "/c", "/d")
	s.c.Assert(s.most, qt.Equals, 2)
}

// TestWaitingAnswersAreBounded guards against answers that fill the memory behind a slow one.
func TestWaitingAnswersAreBounded(t *testing.T) {
	s := newSite(t, func(p *Pipelines) { p.MaxBytes = 2000 })
	content := strings.Repeat("x", 1500)
	written := make(chan string, 10)
	s.answer = func(w http.ResponseWriter, req *http.Request) {
		for range 2 {
			_, _ = io.WriteString(w, content)
			written <- req.URL.Path
		}
	}
	k := s.dial()
	k.send(get("/a"), get("/b"), get("/c"))
	s.await(s.started, "/a", "/b", "/c")
	s.release("/b")
	s.await(written, "/b")
	s.release("/a")
	// The answer to /b exceeds the bound, so it is finished only when it is the first one.
	for _, path := range []string{"/a", "/a", "/b"} {
		s.await(written, path)
	}
	k.expect(content+content, content+content)
	s.release("/c")
	k.expect(content + content)
}

// TestHeadsAreBounded guards against heads that fill the memory behind a slow request.
func TestHeadsAreBounded(t *testing.T) {
	s := newSite(t, func(p *Pipelines) { p.MaxBytes = 2000 })
	k := s.dial()
	k.send(get("/a"), "GET /b HTTP/1.1\r\nHost: site\r\nX: "+strings.Repeat("x", 3000)+"\r\n\r\n", get("/c"))
	s.await(s.started, "/a", "/b")
	s.release("/b", "/a")
	s.await(s.started, "/c")
	s.release("/c")
	k.expect("/a", "/b", "/c")
	s.c.Assert(s.most, qt.Equals, 2)
}

// TestReadingAheadIsBounded guards against a client that sends without end while its requests wait.
func TestReadingAheadIsBounded(t *testing.T) {
	s := newSite(t, func(p *Pipelines) { p.MaxRequests = 2 })
	k := s.dial()
	k.send(get("/a"), get("/b"))
	s.await(s.started, "/a", "/b")
	// More than what the sockets buffer.
	text := strings.Repeat(get("/c"), 1<<20)
	_ = k.SetWriteDeadline(time.Now().Add(300 * time.Millisecond))
	n, _ := io.WriteString(k, text)
	s.c.Assert(n < len(text), qt.IsTrue)
}

// TestStopFinishesWhatWasRead guards against a stop that breaks off requests, and against one
// that waits for a connection forever.
func TestStopFinishesWhatWasRead(t *testing.T) {
	s := newSite(t, nil)
	busy, idle := s.dial(), s.dial()
	idle.send(get("/i"), get("/j"))
	s.release("/i", "/j")
	idle.expect("/i", "/j")
	s.await(s.started, "/i", "/j")
	busy.send(get("/a"), get("/b"), get("/once"))
	s.await(s.started, "/a", "/b")
	s.stopping.Store(1)
	ended := make(chan string, 1)
	go func() {
		s.shutdown()
		ended <- "shutdown"
	}()
	idle.expectEnd()
	s.release("/once", "/b", "/a")
	s.c.Assert(busy.expect("/a", "/b").Close, qt.IsFalse)
	s.c.Assert(busy.expect("/once").Close, qt.IsTrue)
	_ = busy.closeWrite()
	busy.expectEnd()
	s.await(ended, "shutdown")
}

// TestOrdinaryClientStaysWithNetHTTP guards against taking over connections of clients that send
// a request only after the answer to the one before.
func TestOrdinaryClientStaysWithNetHTTP(t *testing.T) {
	s := newSite(t, nil)
	s.release("/a")
	k := s.dial()
	chunked := "POST /a HTTP/1.1\r\nHost: site\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n42\r\n0\r\n\r\n"
	for _, request := range []string{
		get("/a"), "POST /a HTTP/1.1\r\nHost: site\r\nContent-Length: 2\r\n\r\n42", get("/a"),
		"POST /a HTTP/1.1\r\nHost: site\r\nContent-Length: 0\r\n\r\n", chunked, get("/a"), chunked, chunked, get("/a"), get("/a"),
		"GET /a HTTP/1.1\nHost: site\n\n", get("/a"),
	} {
		k.send(request)
		_, body := k.receive(http.MethodGet)
		s.c.Assert(strings.HasPrefix(body, "/a"), qt.IsTrue)
		s.await(s.started, "/a")
	}
	s.c.Assert(s.takenOver.Load(), qt.Equals, int64(0))
	s.c.Assert(s.asked, qt.HasLen, 0)
}
