package reducer

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const testServiceTime = 50 * time.Millisecond

func TestCallsGoToTheUpstreamThatShouldAnswerFirst(t *testing.T) {
	slow := load(0, testServiceTime)
	slow.pace = 400
	failing := load(0, testServiceTime)
	failing.failures = 50
	for _, test := range []struct {
		name        string
		two, three  LoadReport
		regionThree string
		want        int
	}{
		{"less work", load(12, testServiceTime), load(2, testServiceTime), "r1", 3},
		{"shorter work", load(0, 4*testServiceTime), load(0, testServiceTime), "r1", 3},
		{"undisturbed", slow, load(3, testServiceTime), "r1", 3},
		{"no failures", failing, load(5, testServiceTime), "r1", 3},
		{"own region", load(9, testServiceTime), load(0, testServiceTime), "r2", 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			n := newRoutedNode(true)
			ids := map[int]NodeID{2: n.peer(2, "r1", test.two), 3: n.peer(3, test.regionThree, test.three)}
			c.Assert(sent(c, n.call("/a/x", time.Second)).Target, qt.Equals, ids[test.want])
		})
	}
}

// TestBurstSpreadsByOwnAttempts checks that a burst between two load reports is spread evenly,
// because the entry counts its own attempts.
func TestBurstSpreadsByOwnAttempts(t *testing.T) {
	c := qt.New(t)
	n := newRoutedNode(true)
	for i := 2; i < 6; i++ {
		n.peer(i, "r1", load(0, testServiceTime))
	}
	counts := map[NodeID]int{}
	for range 48 {
		counts[sent(c, n.call("/a/x", time.Second)).Target]++
	}
	c.Assert(counts, qt.HasLen, 4)
	for id, count := range counts {
		c.Assert(count >= 9 && count <= 15, qt.IsTrue, qt.Commentf("%s got %d of 48", id, count))
	}
}

func TestAnotherRegionIsAskedOnlyWhereItHasRoom(t *testing.T) {
	for _, test := range []struct {
		name string
		far  int
		asks bool
	}{{"idle", 0, true}, {"half full", 3, false}, {"full", 9, false}} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			n := newRoutedNode(true)
			near := n.peer(2, "r1", load(9, testServiceTime))
			far := n.peer(3, "r2", load(test.far, testServiceTime))
			attempt := sent(c, n.call("/a/x", time.Second))
			effects := n.step(AttemptRefused{Call: attempt.Call, Attempt: attempt.Attempt, Reason: RefusalBusy})
			if !test.asks {
				// The call may be queued at the guard that refused it.
				again := sent(c, effects)
				c.Assert(again.Target, qt.Equals, near)
				c.Assert(again.RefuseIfBusy, qt.IsFalse)
				return
			}
			c.Assert(sent(c, effects).Target, qt.Equals, far)
		})
	}
}

func TestCallIsServedFarAwayRatherThanNotAtAll(t *testing.T) {
	c := qt.New(t)
	n := newRoutedNode(true)
	far := n.peer(3, "r2", load(5, testServiceTime))
	c.Assert(sent(c, n.call("/a/x", time.Second)).Target, qt.Equals, far)
}

func TestSilentAndLeavingPeersGetNoWork(t *testing.T) {
	c := qt.New(t)
	n := newRoutedNode(true)
	n.peer(2, "r1", load(0, testServiceTime))
	n.advance(maxSilenceInRegion + time.Millisecond)
	c.Assert(mustReject(c, n.call("/a/x", time.Second)).Problem, qt.Equals, ProblemNoUpstream)
	spec := MemberSpec{Address: "10.0.0.2:7600", Incarnation: 2, Started: n.now, Version: 9, Region: "r1", Service: routedService, Upstream: "10.0.0.2:8080", Slots: 6, Leaving: true}
	n.report(spec, load(0, testServiceTime))
	c.Assert(mustReject(c, n.call("/a/x", time.Second)).Problem, qt.Equals, ProblemNoUpstream)
	spec.Leaving = false
	spec.Version++
	n.report(spec, load(0, testServiceTime))
	sent(c, n.call("/a/x", time.Second))
}

// TestLaterProcessTakesItsAddress checks that a restarted process replaces the earlier one at
// its address, although the VM's clock was set back between the two starts.
func TestLaterProcessTakesItsAddress(t *testing.T) {
	c := qt.New(t)
	n := newRoutedNode(true)
	n.peer(2, "r1", load(0, testServiceTime))
	n.advance(time.Second)
	n.report(MemberSpec{
		Address: "10.0.0.2:7600", Incarnation: 77, Started: n.now.Add(-time.Hour), Version: 1, Region: "r1",
		Service: routedService, Upstream: "10.0.0.2:8080", Slots: 6,
	}, load(0, testServiceTime))
	c.Assert(sent(c, n.call("/a/x", time.Second)).Target.Incarnation(), qt.Equals, uint64(77))
	// Announcements of the earlier process by other nodes are ignored.
	n.step(ExchangeReceived{Members: []Member{NewMember(MemberSpec{Address: "10.0.0.2:7600", Incarnation: 2, Started: n.now, Version: 5})}})
	c.Assert(sent(c, n.call("/a/x", time.Second)).Target.Incarnation(), qt.Equals, uint64(77))
}

func TestFewNodesOfARegionWatchPlans(t *testing.T) {
	c := qt.New(t)
	watchers := 0
	specs := make([]MemberSpec, 0, 12)
	for i := range 12 {
		specs = append(specs, MemberSpec{Address: "10.0.1." + string(rune('a'+i)) + ":7600", Incarnation: uint64(100 + i), Version: 1, Region: "r1"})
	}
	for _, self := range specs {
		n := newRoutedNode(true)
		n.Reducer = &Reducer{Self: self, Settings: n.Settings, Seed: 3}
		c.Assert(n.WatchesPlanStore(), qt.IsTrue, qt.Commentf("a node without a plan must look for one"))
		n.step(PlanPublished{Plan: routedPlan(1, true)})
		for _, other := range specs {
			if other.Address != self.Address {
				n.report(other, LoadReport{})
			}
		}
		if n.WatchesPlanStore() {
			watchers++
		}
		// The node watches plans itself once the others stop reporting.
		n.advance(maxSilenceInRegion + time.Millisecond)
		n.step(Tick{})
		c.Assert(n.WatchesPlanStore(), qt.IsTrue)
	}
	c.Assert(watchers, qt.Equals, DefaultSettings().PlanWatchers)
}

func TestPlanIsFetchedFromTheOwnRegionFirst(t *testing.T) {
	c := qt.New(t)
	n := newRoutedNode(true)
	n.peer(2, "r2", load(0, testServiceTime))
	later := NewLoadReport(0, 0, 6, testServiceTime, 1)
	heard := func() bool {
		for _, e := range n.step(LoadReportReceived{Digest: Digest{Address: "10.0.0.2:7600", Incarnation: 2, PlanOffset: 8, Load: later}}) {
			if _, asks := e.(SendExchange); asks {
				return true
			}
		}
		return false
	}
	c.Assert(heard(), qt.IsFalse)
	n.advance(sameRegionPlanWait)
	c.Assert(heard(), qt.IsTrue)
}
