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

// A request that the guard sends once more after a broken connection takes no token and passes no
// admission, so an upstream that is cold, or that became cold or was evacuated while the request ran, must
// not get it.
func TestClosedUpstreamGetsARequestOnce(t *testing.T) {
	plan := reducer.PlanSpec{Services: []reducer.ServicePlan{{Name: "desk", WarmupRate: 1}}}
	evacuated := plan
	evacuated.EvacuatedZones = []string{"z"}
	upstream := reducer.UpstreamAnnounced{Service: "desk", Address: "127.0.0.1:2", Slots: 4}
	cold := upstream
	cold.WarmupRemaining = time.Minute
	for _, test := range []struct {
		name      string
		cold      bool
		meanwhile reducer.Event
		want      int64
	}{
		{"warm", false, upstream, 3},
		{"cold at the start", true, upstream, 2},
		{"becomes cold", false, cold, 2},
		{"evacuated", false, reducer.PlanPublished{Plan: reducer.NewPlan(2, evacuated)}, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			l := &loop.Loop{
				Reducer: &reducer.Reducer{Self: reducer.MemberSpec{Address: "127.0.0.1:1", Incarnation: 7, Zone: "z"}, Settings: reducer.DefaultSettings()},
				Clock:   time.Now, Background: func(reducer.Effect) {},
			}
			l.Prepare()
			l.Do(reducer.PlanPublished{Plan: reducer.NewPlan(1, plan)})
			// The first announcement may be out of date; the second one counts.
			l.Do(upstream)
			l.Do(upstream)
			var reached atomic.Int64
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if reached.Add(1) != 2 {
					return
				}
				l.Do(test.meanwhile)
				conn, _, err := http.NewResponseController(w).Hijack()
				c.Check(err, qt.IsNil)
				_ = conn.Close()
			}))
			defer server.Close()
			guard := &Guard{Loop: l, Protocol: bufferingProtocol{}}
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
			c.Assert(reached.Load(), qt.Equals, test.want)
		})
	}
}
