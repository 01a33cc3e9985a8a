package reducer

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func tellings(effects []Effect) []TellLoad {
	var told []TellLoad
	for _, e := range effects {
		if tell, ok := e.(TellLoad); ok {
			told = append(told, tell)
		}
	}
	return told
}

// TestReportsBetweenRegionsDoNotGrowWithTheFleet replays a minute of a node that knows
// many nodes of two other regions.
func TestReportsBetweenRegionsDoNotGrowWithTheFleet(t *testing.T) {
	c := qt.New(t)
	n := newRoutedNode(true)
	far := map[string]bool{}
	for i := 2; i < 50; i++ {
		region := "r2"
		if i%2 == 0 {
			region = "r3"
		}
		far[n.peer(i, region, load(0, usualService)).Address()] = true
	}
	sent := 0
	for range 1000 {
		n.pass(10 * time.Millisecond)
		for address := range far {
			n.members.peers[address].heardAt = n.now
		}
		for _, tell := range tellings(n.step(Tick{})) {
			sent += len(tell.Addresses)
		}
	}
	// Ten seconds: two regions, one report each a second, and those of the start.
	c.Assert(sent >= 20 && sent <= 40, qt.IsTrue, qt.Commentf("%d reports", sent))
}

func TestReportFromAnotherRegionIsPassedOnOnce(t *testing.T) {
	c := qt.New(t)
	n := newRoutedNode(true)
	near := n.peer(2, "r1", load(0, usualService))
	far := n.peer(3, "r2", load(0, usualService))
	n.peer(4, "r2", load(0, usualService))
	heard := func(from string) []TellLoad {
		return tellings(n.step(LoadHeard{
			From: from, Digest: Digest{Address: far.Address(), Incarnation: far.Incarnation(), Load: load(1, usualService)},
		}))
	}
	told := heard(far.Address())
	c.Assert(told, qt.HasLen, 1)
	c.Assert(told[0].Addresses, qt.DeepEquals, []string{near.Address()})
	c.Assert(told[0].Digest.Address, qt.Equals, far.Address())
	c.Assert(heard(near.Address()), qt.HasLen, 0)
}

func TestAnotherRegionIsAskedAfterThreeRefusals(t *testing.T) {
	c := qt.New(t)
	n := newRoutedNode(true)
	for i := 2; i < 9; i++ {
		n.peer(i, "r1", load(5, usualService))
	}
	far := n.peer(9, "r2", load(0, usualService))
	effects := n.call("/a/x", time.Second)
	var targets []NodeID
	for range maxTries {
		attempt := sent(c, effects)
		targets = append(targets, attempt.Target)
		c.Assert(attempt.Impatient, qt.IsTrue, qt.Commentf("try %s", fmt.Sprint(targets)))
		effects = n.step(AttemptRefused{Call: attempt.Call, Attempt: attempt.Attempt, Reason: RefusalBusy})
	}
	c.Assert(targets[nearTries], qt.Equals, far)
	// The last try is one of the own region again, where the call may wait.
	last := sent(c, effects)
	c.Assert(last.Target.Address() != far.Address(), qt.IsTrue)
	c.Assert(last.Impatient, qt.IsFalse)
}
