package reducer

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// newDisturbedGuard returns a guard with three free slots whose upstream, which takes 300 ms for the
// route "render" and 50 ms for "long", has just become four times as slow.
func newDisturbedGuard() *routedNode {
	n := newGuard(4)
	n.guard.admission.routeTimes["render"] = 300 * time.Millisecond
	probe, _ := n.offer("short", 250*time.Millisecond, time.Second, true)
	n.advance(10 * time.Millisecond)
	n.step(WorkEnded{Work: probe, Outcome: OutcomeRan, Status: 200, PacePercent: 4 * usualPacePercent})
	return n
}

// Work of 300 ms that started on an upstream four times as slow for 300 ms held its slot for 1.2 s and
// was late. It must start after the disturbance instead, while short work still starts at once.
func TestLongWorkStartsAfterADisturbance(t *testing.T) {
	c := qt.New(t)
	n := newDisturbedGuard()
	// An entry that can still try another upstream does so.
	_, effects := n.offer("render", time.Second, 2*time.Second, true)
	c.Assert(refusedWork(effects), qt.Equals, RefusalBusy)
	held, effects := n.offer("render", time.Second, 2*time.Second, false)
	c.Assert(refusedWork(effects), qt.Equals, RefusalReason(""))
	c.Assert(startedWork(effects), qt.Equals, WorkID(0))
	short, effects := n.offer("short", 250*time.Millisecond, time.Second, true)
	c.Assert(startedWork(effects), qt.Equals, short)
	n.advance(100 * time.Millisecond)
	c.Assert(startedWork(n.end(short)), qt.Equals, held)
}

// After all machines lost power, upstreams were slow for seconds: slots must not stay free for a
// disturbance that doesn't end, nor on an upstream that no longer reports its pace.
func TestLastingSlownessIsNotWaitedFor(t *testing.T) {
	c := qt.New(t)
	n := newDisturbedGuard()
	held, _ := n.offer("render", time.Second, 3*time.Second, false)
	n.advance(longestDisturbance + time.Millisecond)
	n.guard.admission.recordPace(4*usualPacePercent, n.now)
	c.Assert(startedWork(n.step(Tick{})), qt.Equals, held)

	n = newDisturbedGuard()
	held, _ = n.offer("render", time.Second, 3*time.Second, false)
	n.advance(maxPaceAge)
	c.Assert(startedWork(n.step(Tick{})), qt.Equals, held)
}
