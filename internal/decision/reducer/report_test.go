package reducer

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// loadReports returns the load reports among the effects.
func loadReports(effects []Effect) []SendLoadReport {
	var told []SendLoadReport
	for _, e := range effects {
		if tell, ok := e.(SendLoadReport); ok {
			told = append(told, tell)
		}
	}
	return told
}

// TestReportsBetweenRegionsDoNotGrowWithTheFleet runs a node for ten seconds that knows 48
// nodes in two other regions. It guards against sending a report to each of them.
func TestReportsBetweenRegionsDoNotGrowWithTheFleet(t *testing.T) {
	c := qt.New(t)
	n := newRoutedNode(true)
	far := map[string]bool{}
	for i := 2; i < 50; i++ {
		region := "r2"
		if i%2 == 0 {
			region = "r3"
		}
		far[n.peer(i, region, load(0, testServiceTime)).Address()] = true
	}
	sent := 0
	for range 1000 {
		n.advance(10 * time.Millisecond)
		for address := range far {
			n.members.peers[address].heardAt = n.now
		}
		for _, tell := range loadReports(n.step(Tick{})) {
			sent += len(tell.Addresses)
		}
	}
	// In ten seconds: one report per second to each of two regions, plus those at the start.
	c.Assert(sent >= 20 && sent <= 40, qt.IsTrue, qt.Commentf("%d reports", sent))
}

// TestReportFromAnotherRegionIsPassedOnOnce guards against reports that are relayed
// endlessly within a region: only a report that came directly from its own process is relayed.
func TestReportFromAnotherRegionIsPassedOnOnce(t *testing.T) {
	c := qt.New(t)
	n := newRoutedNode(true)
	near := n.peer(2, "r1", load(0, testServiceTime))
	far := n.peer(3, "r2", load(0, testServiceTime))
	n.peer(4, "r2", load(0, testServiceTime))
	heard := func(from string) []SendLoadReport {
		return loadReports(n.step(LoadReportReceived{
			From: from, Digest: Digest{Address: far.Address(), Incarnation: far.Incarnation(), Load: load(1, testServiceTime)},
		}))
	}
	told := heard(far.Address())
	c.Assert(told, qt.HasLen, 1)
	c.Assert(told[0].Addresses, qt.DeepEquals, []string{near.Address()})
	c.Assert(told[0].Digest.Address, qt.Equals, far.Address())
	c.Assert(heard(near.Address()), qt.HasLen, 0)
}

// TestAnotherRegionIsAskedAfterThreeRefusals refuses every attempt of a call and checks that
// the call leaves its region after maxOwnRegionTries and ends there, where it may wait.
func TestAnotherRegionIsAskedAfterThreeRefusals(t *testing.T) {
	c := qt.New(t)
	n := newRoutedNode(true)
	for i := 2; i < 9; i++ {
		n.peer(i, "r1", load(5, testServiceTime))
	}
	far := n.peer(9, "r2", load(0, testServiceTime))
	effects := n.call("/a/x", time.Second)
	var targets []NodeID
	for range maxRoutedTries {
		attempt := sent(c, effects)
		targets = append(targets, attempt.Target)
		c.Assert(attempt.RefuseIfBusy, qt.IsTrue, qt.Commentf("try %s", fmt.Sprint(targets)))
		effects = n.step(AttemptRefused{Call: attempt.Call, Attempt: attempt.Attempt, Reason: RefusalBusy})
	}
	c.Assert(targets[maxOwnRegionTries], qt.Equals, far)
	// The last attempt goes to the call's own region again, where it may wait in a queue.
	last := sent(c, effects)
	c.Assert(last.Target.Address() != far.Address(), qt.IsTrue)
	c.Assert(last.RefuseIfBusy, qt.IsFalse)
}
