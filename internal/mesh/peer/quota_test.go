package peer

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/tanagerline/tanagerline/internal/decision/loop"
	"github.com/tanagerline/tanagerline/internal/decision/reducer"
)

// quotaLoop returns the loop of a process whose clock only the test moves.
func quotaLoop(address string, incarnation uint64, now func() time.Time) *loop.Loop {
	settings := reducer.DefaultSettings()
	settings.QuotaWindow, settings.QuotaOverage, settings.QuotaSlack = 5*time.Second, 0.1, 20
	l := &loop.Loop{
		Clock: now, Background: func(reducer.Effect) {},
		Reducer: &reducer.Reducer{
			Self:     reducer.MemberSpec{Address: address, Incarnation: incarnation, Region: "r", Zone: "z", Started: now()},
			Settings: settings,
		},
	}
	l.Prepare()
	return l
}

// TestEntryLeasesTokensOverTheNetwork guards against requests for tokens that do not reach the holder or
// whose answers are lost on the way back, and measures their size.
func TestEntryLeasesTokensOverTheNetwork(t *testing.T) {
	c := qt.New(t)
	var passed atomic.Int64
	start := time.Now()
	now := func() time.Time { return start.Add(time.Duration(passed.Load())) }
	var handler Server
	server := httptest.NewServer(NewPeerServer(&handler))
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	handler.Loop = quotaLoop(address, 2, now)
	entry := quotaLoop("127.0.0.1:1", 1, now)
	client := &Client{Loop: entry, Counter: &ByteCounter{}, Self: reducer.NewNodeID("127.0.0.1:1", 1)}
	client.Prepare()
	requests := make(chan reducer.RequestQuota, 8)
	entry.Background = func(effect reducer.Effect) {
		if e, ok := effect.(reducer.RequestQuota); ok {
			requests <- e
		}
	}
	holder := reducer.NewMember(reducer.MemberSpec{
		Address: address, Incarnation: 2, Region: "r", Zone: "z", Started: start, Service: "desk", Upstream: "u", Slots: 8,
	})
	plan := reducer.PlanSpec{
		Services: []reducer.ServicePlan{{Name: "desk"}},
		Routes: []reducer.Route{{
			Name: "r", Host: "h", Prefix: "/", Timeout: time.Minute, Services: []reducer.RouteService{{Service: "desk", Weight: 1}},
		}},
	}
	for i := range 40 {
		name := fmt.Sprint("tenant-", i)
		plan.Tenants = append(plan.Tenants, reducer.Tenant{Name: name, KeyDigests: []string{name}, RatePerSecond: 10, Burst: 10})
	}
	for _, l := range []*loop.Loop{entry, handler.Loop} {
		l.Do(reducer.MembersListed{Members: []reducer.Member{holder}})
		l.Do(reducer.PlanPublished{Plan: reducer.NewPlan(1, plan)})
		l.Do(reducer.Tick{})
	}
	passed.Add(int64(900 * time.Millisecond))
	handler.Loop.Do(reducer.Tick{})
	passed.Add(int64(900 * time.Millisecond))
	granted := 0
	for _, tenant := range plan.Tenants {
		mailbox := entry.OpenCall(func() {})
		entry.Do(reducer.CallArrived{
			Call: mailbox.ID(), Routed: true, Host: "h", Path: "/", Retries: -1, Deadline: now().Add(time.Minute), AccessKeyDigest: tenant.KeyDigests[0],
		})
		select {
		case e := <-requests:
			client.RequestQuota(e)
			_, sent := (<-mailbox.Effects()).(reducer.SendAttempt)
			c.Assert(sent, qt.IsTrue)
			granted++
		default:
			// This entry is itself the holder of the tenant's quota.
		}
		entry.CloseCall(mailbox)
	}
	c.Assert(granted > 0, qt.IsTrue)
	t.Logf("%d requests, %d bytes each", granted, client.Counter.Bytes()/int64(granted))
	resp, err := client.stub(address).GrantQuota(t.Context(), &GrantQuotaRequest{
		HolderIncarnation: 3, Wanted: []*QuotaTokens{{Tenant: "tenant-1", Tokens: 1}},
	})
	c.Assert(err, qt.IsNil)
	c.Assert(resp.GetHolder(), qt.IsFalse)
}
