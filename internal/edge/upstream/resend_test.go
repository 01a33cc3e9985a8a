package upstream

import (
	"io"
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

// refusingProtocol takes status 421 for the statement that the request did not run.
type refusingProtocol struct{ bufferingProtocol }

func (refusingProtocol) ClassifyAnswer(resp *http.Response) AnswerClass {
	if resp.StatusCode == http.StatusMisdirectedRequest {
		return AnswerClass{Outcome: reducer.OutcomeNotRun, ReplacementInstance: resp.Header.Get("Run")}
	}
	return AnswerClass{Outcome: reducer.OutcomeRan}
}

// An upstream that refuses the second copy of a request says nothing of the first one, which ran until its
// process died: the guard must not promise that the request has not run.
func TestRefusedResendMayHaveRun(t *testing.T) {
	for _, run := range []string{"", "i-2"} {
		c := qt.New(t)
		var reached atomic.Int64
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			switch reached.Add(1) {
			case 2:
				conn, _, err := http.NewResponseController(w).Hijack()
				c.Check(err, qt.IsNil)
				_ = conn.Close()
			case 3:
				w.Header().Set("Run", run)
				w.WriteHeader(http.StatusMisdirectedRequest)
			}
		}))
		l := &loop.Loop{
			Reducer: &reducer.Reducer{Self: reducer.MemberSpec{Address: "127.0.0.1:1", Incarnation: 7}, Settings: reducer.DefaultSettings()},
			Clock:   time.Now, Background: func(reducer.Effect) {},
		}
		l.Prepare()
		l.Do(reducer.UpstreamAnnounced{Service: "desk", Address: strings.TrimPrefix(server.URL, "http://"), Slots: 4, Instance: "i-1"})
		guard := &Guard{Loop: l, PendingCrashNotices: func() int64 { return 0 }, Protocol: refusingProtocol{}}
		guard.Prepare()
		var outcomes []string
		for _, attempt := range []string{"a1", "a2"} {
			req := httptest.NewRequest(http.MethodGet, "/x", http.NoBody)
			for name, value := range map[string]string{
				peer.HeaderAttempt: attempt, peer.HeaderTo: "7", peer.HeaderTimeout: "2s", peer.HeaderFingerprint: "1", peer.HeaderService: "desk",
			} {
				req.Header[name] = []string{value}
			}
			resp, err := guard.RoundTrip(req)
			c.Assert(err, qt.IsNil)
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
			outcomes = append(outcomes, resp.Header.Get(peer.HeaderOutcome))
		}
		server.Close()
		c.Assert(reached.Load(), qt.Equals, int64(3))
		c.Assert(outcomes, qt.DeepEquals, []string{string(reducer.OutcomeRan), string(reducer.OutcomeUnknown)})
	}
}
