package upstream

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/tanagerline/tanagerline/internal/decision/loop"
	"github.com/tanagerline/tanagerline/internal/decision/reducer"
	"github.com/tanagerline/tanagerline/internal/mesh/peer"
)

// The loser of a hedged call must end at the upstream, too: its connection is closed. It must not make
// other entries avoid the upstream, as a failure does.
func TestCanceledAttemptEndsAtTheUpstreamAndIsNoFailure(t *testing.T) {
	for _, test := range []struct {
		share  float64
		failed string
	}{{0, "15"}, {0.1, "0"}} {
		c := qt.New(t)
		started, ended := make(chan bool, 1), make(chan bool, 1)
		upstream := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, req *http.Request) {
			started <- true
			<-req.Context().Done()
			ended <- true
		}))
		defer upstream.Close()
		settings := reducer.DefaultSettings()
		settings.HedgeShare = test.share
		l := &loop.Loop{Clock: time.Now, Background: func(reducer.Effect) {}, Reducer: &reducer.Reducer{
			Self: reducer.MemberSpec{Address: "127.0.0.1:1", Incarnation: 7, Region: "r", Zone: "z"}, Settings: settings,
		}}
		l.Prepare()
		l.Do(reducer.UpstreamAnnounced{Service: "desk", Address: strings.TrimPrefix(upstream.URL, "http://"), Slots: 4})
		guard := &Guard{Loop: l, PendingCrashNotices: func() int64 { return 0 }, Protocol: bufferingProtocol{}}
		guard.Prepare()
		ctx, cancel := context.WithCancel(context.Background())
		req := httptest.NewRequest(http.MethodGet, "/x", http.NoBody).WithContext(ctx)
		for name, value := range map[string]string{
			peer.HeaderAttempt: "a1", peer.HeaderTo: "7", peer.HeaderTimeout: "20s", peer.HeaderObjective: "10s",
			peer.HeaderFingerprint: "1", peer.HeaderService: "desk",
		} {
			req.Header.Set(name, value)
		}
		go func() {
			<-started
			cancel()
		}()
		resp, _ := guard.RoundTrip(req)
		_ = resp.Body.Close()
		c.Assert(resp.Header.Get(peer.HeaderOutcome), qt.Equals, string(reducer.OutcomeUnknown))
		select {
		case <-ended:
		case <-time.After(5 * time.Second):
			c.Fatal("the upstream's request goes on")
		}
		fields := strings.Split(resp.Header.Get(peer.HeaderLoad), ",")
		c.Assert(fields[len(fields)-1], qt.Equals, test.failed)
	}
}
