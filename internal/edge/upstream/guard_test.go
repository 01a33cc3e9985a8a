package upstream

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/tanagerline/tanagerline/internal/decision/loop"
	"github.com/tanagerline/tanagerline/internal/decision/reducer"
	"github.com/tanagerline/tanagerline/internal/mesh/peer"
)

// bufferingProtocol is the native protocol with buffered answers.
type bufferingProtocol struct{ nativeProtocol }

func (bufferingProtocol) BuffersAnswers() bool { return true }

// Identify returns the instance in the Run header.
func (bufferingProtocol) Identify(resp *http.Response) (Identity, error) {
	return Identity{Instance: resp.Header.Get("Run"), Slots: 8}, nil
}

// newListeningGuard returns the address of a guard's listener and the number of requests that
// its upstream received.
func newListeningGuard(t *testing.T) (string, *atomic.Int64) {
	t.Helper()
	var reached atomic.Int64
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		reached.Add(1)
		w.WriteHeader(http.StatusOK)
	}))
	t.Cleanup(upstream.Close)
	l := &loop.Loop{
		Reducer: &reducer.Reducer{
			Self:     reducer.MemberSpec{Address: "127.0.0.1:1", Incarnation: 7, Region: "r", Zone: "z"},
			Settings: reducer.DefaultSettings(),
		},
		Clock: time.Now, Background: func(reducer.Effect) {},
	}
	l.Prepare()
	l.Do(reducer.UpstreamAnnounced{Service: "desk", Address: strings.TrimPrefix(upstream.URL, "http://"), Slots: 4})
	guard := &Guard{Loop: l, PendingCrashNotices: func() int64 { return 0 }, Protocol: bufferingProtocol{}}
	guard.Prepare()
	listener := &peer.Listener{Loop: l, Guard: guard}
	server := httptest.NewServer(listener.Handler())
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://"), &reached
}

// offerBody sends the head of an attempt with a body of the given length in bytes and returns
// once the guard has sent 100 Continue.
func offerBody(c *qt.C, address string, length int) net.Conn {
	c.Helper()
	conn, err := net.Dial("tcp", address)
	c.Assert(err, qt.IsNil)
	_, err = fmt.Fprintf(conn, "POST /x HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: %d\r\n"+
		"%s: a1\r\n%s: 7\r\n%s: 2s\r\n%s: 1s\r\n%s: 1\r\n%s: desk\r\n\r\n", length,
		peer.HeaderAttempt, peer.HeaderTo, peer.HeaderTimeout, peer.HeaderObjective, peer.HeaderFingerprint, peer.HeaderService)
	c.Assert(err, qt.IsNil)
	line, err := bufio.NewReader(conn).ReadString('\n')
	c.Assert(err, qt.IsNil)
	c.Assert(line, qt.Equals, "HTTP/1.1 100 Continue\r\n")
	return conn
}

func TestBodyIsRequestedOnceAndTheAttemptRuns(t *testing.T) {
	c := qt.New(t)
	address, reached := newListeningGuard(t)
	conn := offerBody(c, address, 30_000)
	defer func() { _ = conn.Close() }()
	c.Assert(reached.Load(), qt.Equals, int64(0))
	_, err := conn.Write(make([]byte, 30_000))
	c.Assert(err, qt.IsNil)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err == nil && resp.StatusCode == http.StatusContinue {
		t.Fatal("the body was requested twice")
	}
	c.Assert(reached.Load(), qt.Equals, int64(1))
}

// TestRequesterThatLeftBehindItsBodyIsNotRun guards against running an attempt whose requester
// disconnected while its body was in transit on a slow link: the body still arrives in full, and
// the close of the connection right after it.
func TestRequesterThatLeftBehindItsBodyIsNotRun(t *testing.T) {
	c := qt.New(t)
	for range 20 {
		address, reached := newListeningGuard(t)
		conn := offerBody(c, address, 30_000)
		_, err := conn.Write(make([]byte, 30_000))
		c.Assert(err, qt.IsNil)
		c.Assert(conn.Close(), qt.IsNil)
		time.Sleep(50 * time.Millisecond)
		c.Assert(reached.Load(), qt.Equals, int64(0))
	}
}

// attemptHead returns the head of an attempt with a body of the given length that is sent at once; to is the
// incarnation that it is meant for.
func attemptHead(attempt, to string, length int) string {
	return fmt.Sprintf("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n"+
		"%s: %s\r\n%s: %s\r\n%s: 2s\r\n%s: 1s\r\n%s: 1\r\n%s: desk\r\n\r\n", length, peer.HeaderAttempt, attempt,
		peer.HeaderTo, to, peer.HeaderTimeout, peer.HeaderObjective, peer.HeaderFingerprint, peer.HeaderService)
}

// A guard refuses an attempt whose body is still partly on its way, as on a link that lost a packet, and
// the next attempt stands right behind that body. Its body is read beside the handler, and that read
// met the server's own and ended the process.
func TestAttemptBehindARefusedBodyRuns(t *testing.T) {
	c := qt.New(t)
	address, reached := newListeningGuard(t)
	conn, err := net.Dial("tcp", address)
	c.Assert(err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	c.Assert(conn.SetDeadline(time.Now().Add(5*time.Second)), qt.IsNil)
	reader := bufio.NewReader(conn)
	for i := range 10 {
		_, err = conn.Write([]byte(attemptHead(fmt.Sprint("refused", i), "8", 3000) + strings.Repeat("x", 2000)))
		c.Assert(err, qt.IsNil)
		resp, err := http.ReadResponse(reader, nil)
		c.Assert(err, qt.IsNil)
		c.Assert(resp.Header.Get(peer.HeaderOutcome), qt.Equals, string(reducer.OutcomeNotRun))
		_, err = conn.Write([]byte(strings.Repeat("x", 1000) + attemptHead(fmt.Sprint("next", i), "7", 4)))
		c.Assert(err, qt.IsNil)
		// The body arrives later than the head.
		time.Sleep(10 * time.Millisecond)
		_, err = conn.Write([]byte("next"))
		c.Assert(err, qt.IsNil)
		resp, err = http.ReadResponse(reader, nil)
		c.Assert(err, qt.IsNil)
		c.Assert(resp.Header.Get(peer.HeaderOutcome), qt.Equals, string(reducer.OutcomeRan))
		c.Assert(reached.Load(), qt.Equals, int64(i+1))
	}
}

func TestFindIdentifiesTheUpstreamByItsHealthEndpoint(t *testing.T) {
	c := qt.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		c.Check(req.URL.Path, qt.Equals, "/health")
		w.Header().Set("Run", "i-1")
	}))
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	guard := &Guard{Protocol: bufferingProtocol{}}
	guard.Prepare()
	found, err := guard.Discover(context.Background(), "s1", address, "/health")
	c.Assert(err, qt.IsNil)
	c.Assert(found.Slots, qt.Equals, 8)
	c.Assert(found.Instance, qt.Equals, "i-1")
	c.Assert(found.Service+" "+found.Address, qt.Equals, "s1 "+address)
	// The native protocol has no identification: its upstreams announce themselves.
	guard.Protocol = nativeProtocol{}
	_, err = guard.Discover(context.Background(), "s1", address, "/health")
	c.Assert(err, qt.ErrorIs, errNoIdentity)
}
