package upstream

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/tanagerline/tanagerline/internal/decision/loop"
	"github.com/tanagerline/tanagerline/internal/decision/reducer"
)

// warmingProtocol reads the cold time in milliseconds from the Cold header.
type warmingProtocol struct{ bufferingProtocol }

func (warmingProtocol) Identify(resp *http.Response) (Identity, error) {
	ms, err := strconv.Atoi(resp.Header.Get("Cold"))
	return Identity{Instance: "i-1", Slots: 4, WarmupRemaining: time.Duration(ms) * time.Millisecond}, err
}

// The health endpoint's answer must reach the reducer, and a failed query must not count as "warm":
// the guard would send a cold upstream all it has.
func TestWarmupQueryTellsTheColdTime(t *testing.T) {
	for _, test := range []struct {
		cold string
		want bool
	}{{"0", false}, {"60000", true}, {"none", true}} {
		t.Run(test.cold, func(t *testing.T) {
			c := qt.New(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
				c.Check(req.URL.Path, qt.Equals, "/health")
				w.Header().Set("Cold", test.cold)
			}))
			defer server.Close()
			address := strings.TrimPrefix(server.URL, "http://")
			var query reducer.QueryWarmup
			l := &loop.Loop{
				Reducer: &reducer.Reducer{Self: reducer.MemberSpec{Address: "127.0.0.1:1", Incarnation: 7}, Settings: reducer.DefaultSettings()},
				Clock:   time.Now,
				Background: func(e reducer.Effect) {
					if q, ok := e.(reducer.QueryWarmup); ok {
						query = q
					}
				},
			}
			l.Prepare()
			l.Do(reducer.PlanPublished{Plan: reducer.NewPlan(1, reducer.PlanSpec{Services: []reducer.ServicePlan{
				{Name: "desk", HealthPath: "/health", Warmup: time.Minute, WarmupRate: 1},
			}})})
			l.Do(reducer.UpstreamAnnounced{Service: "desk", Address: address, Slots: 4})
			guard := &Guard{Loop: l, Protocol: warmingProtocol{}}
			guard.Prepare()
			guard.QueryWarmup(context.Background(), query)
			reported := ""
			l.Inspect(func(r *reducer.Reducer) { reported = r.LoadReport().String() })
			// The third number of a load report holds the slots, which the bound reduces to one.
			c.Assert(strings.Split(reported, ",")[2] == "1", qt.Equals, test.want)
		})
	}
}

// A request that the guard sends once more after a broken connection takes no token, so a cold upstream
// must not get it.
func TestColdUpstreamGetsARequestOnce(t *testing.T) {
	for _, test := range []struct {
		cold bool
		want int64
	}{{false, 3}, {true, 2}} {
		c := qt.New(t)
		var reached atomic.Int64
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if reached.Add(1) != 2 {
				return
			}
			conn, _, err := http.NewResponseController(w).Hijack()
			c.Check(err, qt.IsNil)
			_ = conn.Close()
		}))
		guard := &Guard{Protocol: bufferingProtocol{}}
		guard.Prepare()
		for range 2 {
			out, err := http.NewRequest(http.MethodGet, server.URL, http.NoBody)
			c.Assert(err, qt.IsNil)
			r := &runningAttempt{guard: guard, address: strings.TrimPrefix(server.URL, "http://"), cold: test.cold}
			if resp, err := r.send(out); err == nil {
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
			}
		}
		c.Assert(reached.Load(), qt.Equals, test.want, qt.Commentf("cold=%v", test.cold))
		server.Close()
	}
}
