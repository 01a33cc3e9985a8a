package pipeline

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/tanagerline/tanagerline/internal/edge/budget"
)

// fakeClient counts what a connection draws, and refuses what the test says.
type fakeClient struct {
	mu                     sync.Mutex
	heads, answers         int64
	mostHeads, mostAnswers int64
	noAhead, noAnswers     bool
	causes                 []budget.Cause
}

func (f *fakeClient) add(heads, answers int64) {
	f.heads += heads
	f.answers += answers
	f.mostHeads, f.mostAnswers = max(f.mostHeads, f.heads), max(f.mostAnswers, f.answers)
}

// DrawReadAhead refuses heads, but not the takeover.
func (f *fakeClient) DrawReadAhead(n int64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.noAhead && n != connectionBytes {
		return false
	}
	f.add(n, 0)
	return true
}

func (f *fakeClient) DrawHead(n int64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.add(n, 0)
	return nil
}

func (f *fakeClient) DrawAnswer(n int64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.noAnswers {
		return budget.ErrShort
	}
	f.add(0, n)
	return nil
}

func (f *fakeClient) Release(heads, answers int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.add(-heads, -answers)
}

func (f *fakeClient) ReleaseAll() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.heads, f.answers = 0, 0
}

func (f *fakeClient) Refuse(cause budget.Cause) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.causes = append(f.causes, cause)
}

func (f *fakeClient) NoteHead()    {}
func (f *fakeClient) NoteRunning() {}
func (f *fakeClient) NoteIdle()    {}

func newSiteWithClient(t *testing.T, f *fakeClient) *site {
	return newSite(t, func(p *Pipelines) { p.Client = func(context.Context) Client { return f } })
}

// TestHeadsWaitWhereTheBudgetIsShort guards against reading ahead without memory, and against refusing such requests:
// each runs once those before it were answered.
func TestHeadsWaitWhereTheBudgetIsShort(t *testing.T) {
	f := &fakeClient{noAhead: true}
	s := newSiteWithClient(t, f)
	k := s.dial()
	k.send(get("/a"))
	s.await(s.started, "/a")
	k.send(get("/b"))
	for s.takenOver.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	select {
	case path := <-s.started:
		s.c.Fatalf("%s runs without memory for its head", path)
	case <-time.After(50 * time.Millisecond):
	}
	s.release("/a")
	k.expect("/a")
	s.await(s.started, "/b")
	s.release("/b")
	k.expect("/b")
}

// TestHeldMemoryIsDrawnAndReleased guards against memory that is held without being counted, and against memory that
// stays counted when it was given back.
func TestHeldMemoryIsDrawnAndReleased(t *testing.T) {
	const content = 100 << 10
	f := &fakeClient{}
	s := newSiteWithClient(t, f)
	s.answer = func(w http.ResponseWriter, _ *http.Request) {
		s.c.Check(ExpectContent(w, content), qt.IsTrue)
		_, _ = io.WriteString(w, strings.Repeat("x", content/2))
		_, _ = io.WriteString(w, strings.Repeat("x", content/2))
	}
	k := s.dial()
	k.send(get("/a"), strings.Replace(get("/b"), "Host", "Filler: "+strings.Repeat("f", 3<<10)+"\r\nHost", 1))
	s.await(s.started, "/a", "/b")
	s.release("/b")
	for f.held() < content {
		time.Sleep(time.Millisecond)
	}
	s.release("/a")
	k.expect(strings.Repeat("x", content), strings.Repeat("x", content))
	// Answers and heads are given back once they were written, while the connection stays open.
	for end := time.Now().Add(patience); f.held() > 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	s.c.Check(f.held(), qt.Equals, int64(0))
	_ = k.closeWrite()
	s.shutdown()
	s.c.Check(f.mostHeads > connectionBytes+3<<10, qt.IsTrue, qt.Commentf("%d bytes", f.mostHeads))
	s.c.Check(f.mostAnswers, qt.Equals, int64(2*content))
	s.c.Check([]int64{f.heads, f.answers}, qt.DeepEquals, []int64{0, 0})
}

func (f *fakeClient) held() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.answers
}

// TestAnswerWithoutMemoryClosesTheConnection guards against a refusal of a request that has run.
func TestAnswerWithoutMemoryClosesTheConnection(t *testing.T) {
	f := &fakeClient{noAnswers: true}
	s := newSiteWithClient(t, f)
	k := s.dial()
	k.send(get("/a"), get("/b"))
	s.await(s.started, "/a", "/b")
	s.release("/b")
	s.await(s.cancelled, "/a")
	k.expectEnd()
	s.shutdown()
}

// TestPresentLimitsApplyToEachHead guards against a plan's limits that don't hold once a connection was taken over,
// and against connections that are closed without a cause for operators.
func TestPresentLimitsApplyToEachHead(t *testing.T) {
	f := &fakeClient{}
	var mu sync.Mutex
	limits := Limits{HeaderBytes: 4 << 10, HeaderTime: patience, IdleTime: patience}
	s := newSite(t, func(p *Pipelines) {
		p.Client = func(context.Context) Client { return f }
		p.Limits = func() Limits {
			mu.Lock()
			defer mu.Unlock()
			return limits
		}
	})
	k := s.dial()
	k.send(get("/a"), get("/b"))
	s.await(s.started, "/a", "/b")
	mu.Lock()
	limits.IdleTime = 50 * time.Millisecond
	mu.Unlock()
	// The head after this one is the first that waits within the new limits.
	k.send(get("/c"))
	s.await(s.started, "/c")
	s.release("/a", "/b", "/c")
	k.expect("/a", "/b", "/c")
	k.expectEnd()
	s.shutdown()
	s.c.Check(f.causes, qt.DeepEquals, []budget.Cause{budget.CauseIdle})
}
