package reducer

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// After all machines lost power, holders waited 1.2 s for a former holder, because the directory still
// listed a few machines that had been taken away. They must wait if an older process is heard.
func TestHolderDoesNotWaitAfterACommonStart(t *testing.T) {
	const others, takenAway = 9, 2
	for _, test := range []struct {
		name   string
		uptime time.Duration
		young  bool
	}{
		{"all processes are new", 300 * time.Millisecond, true},
		{"one is older", time.Hour, false},
	} {
		c := qt.New(t)
		n := newRoutedNode(true)
		n.Settings.QuotaWindow, n.Settings.QuotaOverage, n.Settings.QuotaSlack = 5*time.Second, 0.1, 20
		n.step(Tick{})
		n.advance(300 * time.Millisecond)
		var members []Member
		for i := 2; i < 2+others; i++ {
			spec := MemberSpec{
				Address: fmt.Sprintf("10.0.1.%d:7600", i), Incarnation: uint64(i), Started: n.now, Version: 1,
				Region: "r1", Zone: "z1", Service: routedService, Upstream: fmt.Sprintf("10.0.0.%d:8080", i), Slots: 6,
			}
			members = append(members, NewMember(spec))
		}
		n.step(MembersListed{Members: members})
		for i, m := range members[takenAway:] {
			uptime := 300 * time.Millisecond
			if i == 0 {
				uptime = test.uptime
			}
			n.step(LoadReportReceived{
				From: m.ID().Address(), Members: []Member{m},
				Digest: Digest{Address: m.ID().Address(), Incarnation: m.ID().Incarnation(), Load: load(0, time.Millisecond), Uptime: uptime},
			})
		}
		n.advance(quotaViewPeriod)
		n.step(Tick{})
		held := 0
		for i := range n.quotas.groups {
			g := &n.quotas.groups[i]
			if g.holder != n.selfID() {
				continue
			}
			held++
			c.Check(!n.now.Before(g.grantFrom), qt.Equals, test.young, qt.Commentf(test.name))
		}
		c.Assert(held > 0, qt.IsTrue)
	}
}

// In a region of 100 nodes, which report to each other every two seconds only, a silent holder was missed
// after 6 s, and tenants got their fixed shares until then. It must be missed after three heartbeats, and not
// count again before it is heard.
func TestSilentHolderIsMissedInALargeRegion(t *testing.T) {
	c := qt.New(t)
	n, _ := newQuotaEntry(c)
	n.Settings.ReportNear = 30 * time.Millisecond
	hear := func(id NodeID) {
		n.step(LoadReportReceived{
			From: id.Address(), Digest: Digest{Address: id.Address(), Incarnation: id.Incarnation(), Load: load(0, time.Millisecond)},
		})
	}
	var others []NodeID
	for i := 3; i < 103; i++ {
		others = append(others, n.peer(i, "r1", load(0, time.Millisecond)))
	}
	n.advance(quotaViewPeriod)
	n.step(Tick{})
	g := n.quotas.tenants[n.tenants.tenants[0].Name].group
	holder := g.holder
	if holder == n.selfID() {
		c.Fatal("the node itself holds the group")
	}
	for range 4 {
		n.advance(heartbeatPeriod)
		for _, id := range others {
			if id != holder {
				hear(id)
			}
		}
		n.step(Tick{})
	}
	c.Assert(g.holder, qt.Not(qt.Equals), holder)
	n.advance(quotaViewPeriod)
	n.step(Tick{})
	c.Assert(g.holder, qt.Not(qt.Equals), holder)
	hear(holder)
	n.advance(quotaViewPeriod)
	n.step(Tick{})
	c.Assert(g.holder, qt.Equals, holder)
}
