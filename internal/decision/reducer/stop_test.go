package reducer

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestStoppingNodeKeepsItsUpstreamBusy checks that a stopping node accepts work during
// StopOpen: in a rolling restart the upstream keeps running and its slots would idle.
func TestStoppingNodeKeepsItsUpstreamBusy(t *testing.T) {
	c := qt.New(t)
	n := newGuard(1)
	n.Settings.StopOpen = 2 * time.Second
	n.Settings.StopLinger = 2500 * time.Millisecond
	n.Settings.StopAllowance = 5 * time.Second
	n.step(StopRequested{})
	c.Assert(n.Ready(), qt.IsFalse)
	c.Assert(n.Self.Leaving, qt.IsFalse)
	first, effects := n.offer("long", 250*time.Millisecond, time.Second, true)
	c.Assert(startedWork(effects), qt.Equals, first)
	n.end(first)
	n.advance(2 * time.Second)
	last, effects := n.offer("long", 250*time.Millisecond, time.Second, true)
	c.Assert(refusedWork(effects), qt.Equals, RefusalLeaving, qt.Commentf("%d", last))
	n.step(Tick{})
	c.Assert(n.Self.Leaving, qt.IsTrue)
	n.advance(500 * time.Millisecond)
	c.Assert(n.step(Tick{}), qt.Contains, Effect(Stopped{}))
}

func TestWorkThatWaitsIsGivenBackWhenAStoppingNodeCloses(t *testing.T) {
	c := qt.New(t)
	n := newGuard(1)
	n.Settings.StopOpen = 50 * time.Millisecond
	n.offer("long", 250*time.Millisecond, time.Second, true)
	n.offer("long", 250*time.Millisecond, time.Second, true)
	c.Assert(refusedWork(n.step(StopRequested{})), qt.Equals, RefusalReason(""))
	n.advance(50 * time.Millisecond)
	c.Assert(refusedWork(n.step(Tick{})), qt.Equals, RefusalLeaving)
}

// TestFoundUpstreamDoesNotTurnBackAnAnnouncement guards against a late answer to the
// node's query overwriting the upstream's announcement that it is draining.
func TestFoundUpstreamDoesNotTurnBackAnAnnouncement(t *testing.T) {
	c := qt.New(t)
	found := UpstreamFound{Announced: UpstreamAnnounced{Service: routedService, Address: "10.0.0.1:8080", Slots: 2, Instance: "i-1"}}
	n := newRoutedNode(true)
	n.step(found)
	c.Assert(n.Self.Upstream, qt.Equals, "10.0.0.1:8080")
	n = newRoutedNode(true)
	n.step(UpstreamAnnounced{Service: routedService, Address: "10.0.0.1:8080", Slots: 2, Instance: "i-1", Draining: true})
	n.step(found)
	c.Assert(n.Self.Leaving, qt.IsTrue)
}
