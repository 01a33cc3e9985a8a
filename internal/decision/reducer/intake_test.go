package reducer

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// narrowLink is a link rate of 10 Mbit/s, in bytes per second.
const narrowLink = 1_250_000

// offerBody sends an attempt to the guard whose long body has the given length in bytes.
func (n *routedNode) offerBody(objective time.Duration, length int64) (WorkID, []Effect) {
	n.works++
	return n.works, n.step(WorkArrived{
		Work: n.works, Attempt: AttemptID(fmt.Sprint("a", n.works)), To: n.Self.Incarnation, Service: routedService,
		Kind: "long", Deadline: n.now.Add(2 * time.Second), Objective: n.now.Add(objective), BodyBytes: length,
	})
}

func takenBodies(effects []Effect) []WorkID {
	var taken []WorkID
	for _, e := range effects {
		if take, ok := e.(RequestBody); ok {
			taken = append(taken, take.Work)
		}
	}
	return taken
}

func newNarrowGuard(slots int) *routedNode {
	n := newGuard(slots)
	n.Settings.LinkRate = narrowLink
	return n
}

func TestBodiesComeInTurnOverANarrowLink(t *testing.T) {
	c := qt.New(t)
	n := newNarrowGuard(4)
	first, effects := n.offerBody(time.Second, 60_000)
	c.Assert(takenBodies(effects), qt.DeepEquals, []WorkID{first})
	relaxed, effects := n.offerBody(1200*time.Millisecond, 60_000)
	c.Assert(takenBodies(effects), qt.HasLen, 0)
	urgent, effects := n.offerBody(800*time.Millisecond, 60_000)
	c.Assert(takenBodies(effects), qt.HasLen, 0)
	// The body of the attempt with the earliest latest start is next.
	n.advance(50 * time.Millisecond)
	effects = n.step(BodyReceived{Work: first})
	c.Assert(startedWork(effects), qt.Equals, first)
	c.Assert(takenBodies(effects), qt.DeepEquals, []WorkID{urgent})
	n.advance(50 * time.Millisecond)
	c.Assert(takenBodies(n.step(BodyReceived{Work: urgent})), qt.DeepEquals, []WorkID{relaxed})
}

func TestShortBodiesComeTogether(t *testing.T) {
	c := qt.New(t)
	n := newNarrowGuard(4)
	_, effects := n.offerBody(time.Second, 20_000)
	c.Assert(takenBodies(effects), qt.HasLen, 1)
	_, effects = n.offerBody(time.Second, 20_000)
	c.Assert(takenBodies(effects), qt.HasLen, 1)
	_, effects = n.offerBody(time.Second, 20_000)
	c.Assert(takenBodies(effects), qt.HasLen, 0)
}

func TestNoSlotWaitsForABody(t *testing.T) {
	c := qt.New(t)
	n := newNarrowGuard(1)
	upload, effects := n.offerBody(time.Second, 60_000)
	c.Assert(startedWork(effects), qt.Equals, WorkID(0))
	short, effects := n.offer("short", 80*time.Millisecond, 200*time.Millisecond, true)
	c.Assert(startedWork(effects), qt.Equals, short)
	c.Assert(startedWork(n.step(BodyReceived{Work: upload})), qt.Equals, WorkID(0))
	c.Assert(startedWork(n.end(short)), qt.Equals, upload)
}

func TestStalledBodyMakesWay(t *testing.T) {
	c := qt.New(t)
	n := newNarrowGuard(4)
	n.offerBody(time.Second, 60_000)
	waiting, _ := n.offerBody(time.Second, 60_000)
	n.advance(bodyStallTimeout)
	c.Assert(takenBodies(n.step(Tick{})), qt.DeepEquals, []WorkID{waiting})
}

func TestBodyOfAnAttemptThatLeftMakesWay(t *testing.T) {
	c := qt.New(t)
	n := newNarrowGuard(4)
	left, _ := n.offerBody(time.Second, 60_000)
	waiting, _ := n.offerBody(time.Second, 60_000)
	n.step(WorkLeft{Work: left})
	c.Assert(takenBodies(n.step(Tick{})), qt.DeepEquals, []WorkID{waiting})
	c.Assert(n.guard.requestedBodyBytes(), qt.Equals, int64(60_000))
}

func TestAttemptWhoseBodyComesTooLateIsRefusedAtOnce(t *testing.T) {
	c := qt.New(t)
	n := newNarrowGuard(4)
	for range 4 {
		n.offerBody(time.Second, 100_000)
	}
	n.works++
	effects := n.step(WorkArrived{
		Work: n.works, Attempt: "late", To: n.Self.Incarnation, Service: routedService, Kind: "long",
		Deadline: n.now.Add(2 * time.Second), Objective: n.now.Add(300 * time.Millisecond), BodyBytes: 100_000, RefuseIfBusy: true,
	})
	c.Assert(refusedWork(effects), qt.Equals, RefusalBusy)
}
