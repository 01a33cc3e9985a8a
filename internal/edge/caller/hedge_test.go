package caller

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/tanagerline/tanagerline/internal/decision/loop"
	"github.com/tanagerline/tanagerline/internal/decision/reducer"
	"github.com/tanagerline/tanagerline/internal/mesh/peer"
)

// routedProtocol selects routes by the request's host and path and buffers answers.
type routedProtocol struct{ nativeProtocol }

func (routedProtocol) ParseRequest(req *http.Request) (reducer.CallArrived, error) {
	return reducer.CallArrived{
		Routed: true, Host: "desk.example", Path: req.URL.Path, Retries: -1, Deadline: time.Now().Add(5 * time.Second),
	}, nil
}

func (routedProtocol) BuffersAnswers() bool { return true }

// hedgingSite is an entry in front of guards in two zones that answer on loopback addresses.
type hedgingSite struct {
	entry  *httptest.Server
	client *http.Client
	// muteFirst and muteAll are set while guards don't answer first attempts, or any.
	muteFirst, muteAll atomic.Bool
	// failFirst is set while guards answer first attempts with an error after a while.
	failFirst atomic.Bool
	// left receives a value for each attempt whose requester disconnected.
	left   chan string
	bodies chan string
}

// label returns which attempt of a call a request is.
func label(req *http.Request) string {
	if req.Header.Get(peer.HeaderRepeat) != "" {
		return "hedge"
	}
	return "first"
}

func (s *hedgingSite) guard(w http.ResponseWriter, req *http.Request) {
	body, _ := io.ReadAll(req.Body)
	if len(body) > 0 {
		s.bodies <- string(body)
	}
	first := label(req) == "first"
	if s.muteAll.Load() || (first && s.muteFirst.Load()) {
		<-req.Context().Done()
		s.left <- label(req)
		return
	}
	w.Header()[peer.HeaderAttempt] = req.Header[peer.HeaderAttempt]
	w.Header().Set(peer.HeaderOutcome, string(reducer.OutcomeRan))
	w.Header().Set(peer.HeaderLoad, reducer.NewLoadReport(0, 0, 6, time.Millisecond, 1).String())
	if first && s.failFirst.Load() {
		time.Sleep(100 * time.Millisecond)
		w.WriteHeader(http.StatusInternalServerError)
	} else if s.failFirst.Load() {
		// The hedge is still in flight when the first attempt has failed.
		time.Sleep(300 * time.Millisecond)
	}
	_, _ = io.WriteString(w, label(req))
}

func newHedgingSite(c *qt.C) *hedgingSite {
	s := &hedgingSite{left: make(chan string, 16), bodies: make(chan string, 16)}
	settings := reducer.DefaultSettings()
	settings.HedgeShare = 0.2
	// The requests before the test proper are hedged, too, and must leave enough of the budget.
	settings.RetryShare = 1
	settings.Retention = 0
	l := &loop.Loop{Clock: time.Now, Background: func(reducer.Effect) {}, Reducer: &reducer.Reducer{
		Self: reducer.MemberSpec{Address: "127.0.0.1:1", Incarnation: 1, Region: "r1", Zone: "za"}, Settings: settings,
	}}
	l.Prepare()
	l.Do(reducer.PlanPublished{Plan: reducer.NewPlan(1, reducer.PlanSpec{
		Services: []reducer.ServicePlan{{Name: "desk"}},
		Routes: []reducer.Route{{
			Name: "lookup", Host: "desk.example", Prefix: "/", Idempotent: true, MaxAttempts: 2, Timeout: 5 * time.Second,
			Services: []reducer.RouteService{{Service: "desk", Weight: 1}},
		}},
	})})
	for i, zone := range []string{"za", "zb", "za", "zb"} {
		guard := httptest.NewServer(http.HandlerFunc(s.guard))
		c.Cleanup(guard.Close)
		member := reducer.NewMember(reducer.MemberSpec{
			Address: guard.Listener.Addr().String(), Incarnation: uint64(i + 2), Started: time.Now(), Version: 1, Region: "r1", Zone: zone,
			Service: "desk", Upstream: guard.Listener.Addr().String(), Slots: 6,
		})
		l.Do(reducer.LoadReportReceived{
			Digest:  reducer.Digest{Address: member.ID().Address(), Incarnation: uint64(i + 2), Load: reducer.NewLoadReport(0, 0, 6, time.Millisecond, 1)},
			Members: []reducer.Member{member},
		})
	}
	transport := &http.Transport{}
	c.Cleanup(transport.CloseIdleConnections)
	entry := &Entry{
		Loop: l, Mesh: transportFunc(transport.RoundTrip), Protocol: routedProtocol{}, BodyReadTimeout: time.Second,
		Stopping: func() bool { return false },
	}
	entry.Prepare()
	s.entry = httptest.NewServer(entry.Handler())
	c.Cleanup(s.entry.Close)
	s.client = s.entry.Client()
	// The retry budget's fixed part and the limit on hedges are earned by requests.
	for range 60 {
		c.Assert(s.call(c, context.Background(), ""), qt.Not(qt.Equals), "")
	}
	return s
}

// call sends a request and returns the answer's body, or an empty string without an answer.
func (s *hedgingSite) call(c *qt.C, ctx context.Context, body string) string {
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, s.entry.URL+"/a", strings.NewReader(body))
	c.Assert(err, qt.IsNil)
	resp, err := s.client.Do(req)
	if err != nil {
		return ""
	}
	defer func() { _ = resp.Body.Close() }()
	answer, _ := io.ReadAll(resp.Body)
	return string(answer)
}

// disconnected waits until the requester of an attempt has disconnected and returns its label.
func (s *hedgingSite) disconnected(c *qt.C) string {
	select {
	case which := <-s.left:
		return which
	case <-time.After(5 * time.Second):
		c.Fatal("no attempt was canceled")
		return ""
	}
}

// The loser must not go on at its upstream: its connection is closed, by which the guard learns that
// nobody waits any more. Both attempts must carry the whole body.
func TestLoserOfAHedgedCallIsCanceled(t *testing.T) {
	c := qt.New(t)
	s := newHedgingSite(c)
	s.muteFirst.Store(true)
	c.Assert(s.call(c, context.Background(), "the body"), qt.Equals, "hedge")
	c.Assert(s.disconnected(c), qt.Equals, "first")
	c.Assert([]string{<-s.bodies, <-s.bodies}, qt.DeepEquals, []string{"the body", "the body"})
}

// An error of one attempt must not reach the caller while the other is in flight.
func TestErrorWaitsForTheOtherAttempt(t *testing.T) {
	c := qt.New(t)
	s := newHedgingSite(c)
	s.failFirst.Store(true)
	c.Assert(s.call(c, context.Background(), ""), qt.Equals, "hedge")
}

// Both attempts must end with their caller, and no goroutine may stay behind.
func TestBothAttemptsEndWithTheirCaller(t *testing.T) {
	c := qt.New(t)
	s := newHedgingSite(c)
	s.muteAll.Store(true)
	before := runtime.NumGoroutine()
	ctx, leave := context.WithCancel(context.Background())
	answer := make(chan string)
	go func() { answer <- s.call(c, ctx, "both") }()
	for range 2 {
		select {
		case <-s.bodies:
		case <-time.After(4 * time.Second):
			c.Fatal("the call was not hedged")
		}
	}
	leave()
	c.Assert(<-answer, qt.Equals, "")
	c.Assert(map[string]bool{s.disconnected(c): true, s.disconnected(c): true}, qt.DeepEquals, map[string]bool{"first": true, "hedge": true})
	for deadline := time.Now().Add(5 * time.Second); runtime.NumGoroutine() > before && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	c.Assert(runtime.NumGoroutine() <= before, qt.IsTrue)
}
