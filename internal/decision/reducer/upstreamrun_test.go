package reducer

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// announced returns an announcement of the upstream's run that started at a time.
func announced(instance string, started time.Time, draining bool) UpstreamAnnounced {
	return UpstreamAnnounced{
		Service: routedService, Address: "10.0.0.1:8080", Slots: 1, Instance: instance, Started: started, Draining: draining,
	}
}

// storedRuns returns the runs that a step stores as leaving, or nil if it stores nothing.
func storedRuns(effects []Effect) []UpstreamRun {
	for _, e := range effects {
		if store, ok := e.(StoreLeavingRuns); ok {
			return store.Runs
		}
	}
	return nil
}

// A run that leaves is stored once, and none of its later announcements undoes the leaving; a later
// start does, under the same ID or another.
func TestLeavingRunNeverTakesWorkAgain(t *testing.T) {
	for _, next := range []string{"i-1", "i-2"} {
		c := qt.New(t)
		n := newRoutedNode(true)
		started := n.now
		c.Assert(storedRuns(n.step(announced("i-1", started, false))), qt.HasLen, 0)
		runs := storedRuns(n.step(announced("i-1", started, true)))
		c.Assert(runs, qt.HasLen, 1)
		c.Assert(runs[0], qt.Equals, NewUpstreamRun("i-1", started))
		c.Assert(storedRuns(n.step(announced("i-1", started, true))), qt.HasLen, 0)
		n.step(announced("i-1", started, false))
		_, effects := n.offer("long", 250*time.Millisecond, time.Second, false)
		c.Assert(refusedWork(effects), qt.Equals, RefusalLeaving)
		n.step(announced(next, started.Add(time.Minute), false))
		work, effects := n.offer("long", 250*time.Millisecond, time.Second, false)
		c.Assert(startedWork(effects), qt.Equals, work)
	}
}

// An upstream of the native interface, which has no instance ID, can take work again after it was
// draining.
func TestUpstreamWithoutInstanceMayReturn(t *testing.T) {
	c := qt.New(t)
	n := newRoutedNode(true)
	c.Assert(storedRuns(n.step(announced("", time.Time{}, true))), qt.HasLen, 0)
	n.step(announced("", time.Time{}, false))
	c.Assert(n.Self.Leaving, qt.IsFalse)
}

// A node that was started again learns from the record of its earlier process that the upstream
// leaves, whether the record or the upstream's announcement comes first.
func TestLeavingRunOfEarlierProcessStaysOut(t *testing.T) {
	c := qt.New(t)
	n := newRoutedNode(true)
	listed := MembersListed{LeavingRuns: []UpstreamRun{NewUpstreamRun("i-1", n.now)}}
	n.step(listed)
	n.step(announced("i-1", n.now, false))
	c.Assert(n.Self.Leaving, qt.IsTrue)
	_, effects := n.offer("long", 250*time.Millisecond, time.Second, false)
	c.Assert(refusedWork(effects), qt.Equals, RefusalLeaving)

	n = newGuard(1)
	n.step(announced("i-1", n.now, false))
	n.offer("long", 250*time.Millisecond, time.Second, true)
	n.offer("long", 250*time.Millisecond, time.Second, true)
	c.Assert(refusedWork(n.step(listed)), qt.Equals, RefusalLeaving)
	c.Assert(n.Self.Leaving, qt.IsTrue)
}

// The answer to the query of a node that starts has no start time, so it can't show that the
// upstream started again.
func TestFoundUpstreamMayBeTheLeavingRun(t *testing.T) {
	c := qt.New(t)
	n := newRoutedNode(true)
	n.step(MembersListed{LeavingRuns: []UpstreamRun{NewUpstreamRun("i-1", n.now)}})
	n.step(UpstreamFound{Announced: announced("i-1", time.Time{}, false)})
	c.Assert(n.Self.Leaving, qt.IsTrue)
	n.step(announced("i-1", n.now.Add(time.Second), false))
	c.Assert(n.Self.Leaving, qt.IsFalse)
}

// Records that say nothing of the present run have no effect, and what a process knows itself is not
// lost by them.
func TestOtherLeavingRunsAreIgnored(t *testing.T) {
	c := qt.New(t)
	n := newRoutedNode(true)
	n.step(announced("i-2", n.now, false))
	n.step(MembersListed{})
	n.step(MembersListed{LeavingRuns: []UpstreamRun{NewUpstreamRun("i-1", n.now.Add(time.Hour)), NewUpstreamRun("", n.now)}})
	n.step(UpstreamLeft{Run: NewUpstreamRun("i-2", n.now.Add(-time.Second))})
	c.Assert(n.Self.Leaving, qt.IsFalse)
	n.step(UpstreamLeft{Run: NewUpstreamRun("i-2", n.now)})
	c.Assert(n.Self.Leaving, qt.IsTrue)
	n.step(MembersListed{LeavingRuns: []UpstreamRun{NewUpstreamRun("i-1", n.now)}})
	n.step(announced("i-2", n.now, false))
	c.Assert(n.Self.Leaving, qt.IsTrue)
}

// The runs that are remembered are bounded, and the last ones are kept.
func TestLastLeavingRunsAreRemembered(t *testing.T) {
	c := qt.New(t)
	var runs leavingRuns
	started := time.UnixMilli(1000)
	for i := range 3 * maxLeavingRuns {
		c.Assert(runs.add(NewUpstreamRun(fmt.Sprint("i-", i), started)), qt.IsTrue)
	}
	c.Assert(runs, qt.HasLen, maxLeavingRuns)
	last := fmt.Sprint("i-", 3*maxLeavingRuns-1)
	c.Assert(runs.include(NewUpstreamRun(last, started)), qt.IsTrue)
	c.Assert(runs.include(NewUpstreamRun("i-0", started)), qt.IsFalse)
	// A later run with the same ID takes the place of the earlier one.
	c.Assert(runs.add(NewUpstreamRun(last, started.Add(time.Second))), qt.IsTrue)
	c.Assert(runs.add(NewUpstreamRun(last, started)), qt.IsFalse)
	c.Assert(runs, qt.HasLen, maxLeavingRuns)
}

// However announcements are lost, late, repeated or reach another process of the node, no work
// starts on a run after its leaving was announced and stored.
func TestNothingStartsOnALeavingRun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newRoutedNode(true)
		first := n.now
		runs := []UpstreamAnnounced{
			announced("i-1", first, false), announced("i-1", first.Add(time.Minute), false), announced("i-2", first.Add(2*time.Minute), false),
		}
		left := map[UpstreamRun]bool{}
		var stored []UpstreamRun
		current := 0
		for range rapid.IntRange(1, 40).Draw(t, "events") {
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0:
				n.step(runs[current])
			case 1:
				run := NewUpstreamRun(runs[current].Instance, runs[current].Started)
				var leave Event = UpstreamLeft{Run: run}
				if rapid.Bool().Draw(t, "by heartbeat") {
					draining := runs[current]
					draining.Draining = true
					leave = draining
				}
				if storing := storedRuns(n.step(leave)); storing != nil {
					stored = storing
				}
				left[run] = true
			case 2:
				// Only a run that has left is followed by another.
				if current+1 < len(runs) && left[NewUpstreamRun(runs[current].Instance, runs[current].Started)] {
					current++
				}
			case 3:
				now := n.now
				n = newRoutedNode(true)
				n.now = now
				n.step(MembersListed{LeavingRuns: stored})
			case 4:
				found := runs[current]
				found.Started = time.Time{}
				n.step(UpstreamFound{Announced: found})
			}
			work, effects := n.offer("long", 250*time.Millisecond, time.Second, false)
			if startedWork(effects) != work {
				continue
			}
			n.end(work)
			if run := n.guard.run; left[run] || run.started.IsZero() && left[NewUpstreamRun(runs[current].Instance, runs[current].Started)] {
				t.Fatalf("work started on %v, which is leaving", run)
			}
		}
	})
}
