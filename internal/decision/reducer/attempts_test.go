package reducer

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// arriveKeyed sends a copy of an attempt that must run at most once to the guard.
func (n *routedNode) arriveKeyed(attempt AttemptID, replay bool) (WorkID, []Effect) {
	n.works++
	return n.works, n.step(WorkArrived{
		Work: n.works, Attempt: attempt, To: n.Self.Incarnation, Service: routedService, Kind: "long", Keyed: true, Replay: replay,
		Deadline: n.now.Add(time.Second), Objective: n.now.Add(time.Second),
	})
}

// refusalOf returns the refusal of a work in a step's effects, or an empty one.
func refusalOf(effects []Effect, id WorkID) RefuseWork {
	for _, e := range effects {
		if refusal, ok := e.(RefuseWork); ok && refusal.Work == id {
			return refusal
		}
	}
	return RefuseWork{}
}

// A second copy of an attempt is refused without "not run" while the first one runs or may have run, and
// with it once the first one can't run any more.
func TestRefusedCopySaysNotRunOnlyIfTheFirstDidNot(t *testing.T) {
	ended := func(outcome Outcome) func(n *routedNode, first WorkID, _ WorkID) []Effect {
		return func(n *routedNode, first WorkID, _ WorkID) []Effect {
			return n.step(WorkEnded{Work: first, Outcome: outcome})
		}
	}
	for _, test := range []struct {
		name string
		then func(n *routedNode, first, second WorkID) []Effect
		want Outcome
	}{
		{"the answer is not kept", ended(OutcomeRan), OutcomeUnknown},
		{"the answer was lost", ended(OutcomeUnknown), OutcomeUnknown},
		{"the upstream rejected it", ended(OutcomeNotRun), OutcomeNotRun},
		{"the requester left", func(n *routedNode, _, second WorkID) []Effect {
			return n.step(WorkLeft{Work: second})
		}, OutcomeUnknown},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			n := newGuard(1)
			first, effects := n.arriveKeyed("a1", false)
			c.Assert(startedWork(effects), qt.Equals, first)
			second, effects := n.arriveKeyed("a1", false)
			c.Assert(refusedWork(effects), qt.Equals, RefusalReason(""))
			refusal := refusalOf(test.then(n, first, second), second)
			c.Assert(refusal.Work, qt.Equals, second)
			c.Assert(refusal.Outcome, qt.Equals, test.want)
		})
	}
}

// A copy that comes once the first one has ended is refused like one that waited.
func TestCopyAfterTheEndIsNotReportedNotRun(t *testing.T) {
	c := qt.New(t)
	n := newGuard(1)
	first, _ := n.arriveKeyed("a1", false)
	n.step(WorkEnded{Work: first, Outcome: OutcomeUnknown})
	second, effects := n.arriveKeyed("a1", false)
	c.Assert(refusalOf(effects, second).Outcome, qt.Equals, OutcomeUnknown)
}

// A refused request for a stored answer says nothing of the attempt, whether its record is gone or the
// process is another one.
func TestRefusedReplayIsNotReportedNotRun(t *testing.T) {
	c := qt.New(t)
	n := newGuard(1)
	replay, effects := n.arriveKeyed("a1", true)
	c.Assert(refusalOf(effects, replay), qt.Equals, RefuseWork{Work: replay, Reason: RefusalAnswerNotKept, Outcome: OutcomeUnknown})
	effects = n.step(WorkArrived{Work: 99, Attempt: "a1", To: n.Self.Incarnation + 1, Service: routedService, Keyed: true, Replay: true})
	c.Assert(refusalOf(effects, 99), qt.Equals, RefuseWork{Work: 99, Reason: RefusalRestarted, Outcome: OutcomeUnknown})
}

// settleAt returns what the guard answers to the question for the outcome of an attempt.
func (n *routedNode) settleAt(attempt AttemptID, to uint64) Outcome {
	for _, e := range n.step(SettleRequested{Work: 1000, Attempt: attempt, To: to}) {
		if reply, ok := e.(SettleReply); ok {
			return reply.Outcome
		}
	}
	return ""
}

// An attempt is settled as not run only if it has not started, and then it never starts, whenever it arrives
// and whatever becomes free.
func TestSettledAttemptIsNotRunOnlyIfItNeverStarts(t *testing.T) {
	for _, test := range []struct {
		name string
		// prepare brings the attempt "a" into a state and returns the work that holds the slot, if any.
		prepare func(n *routedNode) (holder WorkID)
		want    Outcome
	}{
		{"never arrived", func(*routedNode) WorkID { return 0 }, OutcomeNotRun},
		{"queued", func(n *routedNode) WorkID {
			holder, _ := n.arriveKeyed("other", false)
			n.arriveKeyed("a", false)
			return holder
		}, OutcomeNotRun},
		{"running", func(n *routedNode) WorkID {
			n.arriveKeyed("a", false)
			return 0
		}, OutcomeRunning},
		{"ran", func(n *routedNode) WorkID {
			id, _ := n.arriveKeyed("a", false)
			n.step(WorkEnded{Work: id, Outcome: OutcomeRan})
			return 0
		}, OutcomeRan},
		{"answer lost", func(n *routedNode) WorkID {
			id, _ := n.arriveKeyed("a", false)
			n.step(WorkEnded{Work: id, Outcome: OutcomeUnknown})
			return 0
		}, OutcomeUnknown},
		{"rejected by the upstream", func(n *routedNode) WorkID {
			id, _ := n.arriveKeyed("a", false)
			n.step(WorkEnded{Work: id, Outcome: OutcomeNotRun})
			return 0
		}, OutcomeNotRun},
		{"left the queue", func(n *routedNode) WorkID {
			holder, _ := n.arriveKeyed("other", false)
			id, _ := n.arriveKeyed("a", false)
			n.step(WorkLeft{Work: id})
			return holder
		}, OutcomeNotRun},
		{"ran before the process was suspended", func(n *routedNode) WorkID {
			id, _ := n.arriveKeyed("a", false)
			n.step(WorkEnded{Work: id, Outcome: OutcomeRan})
			n.step(Tick{})
			n.advance(time.Hour)
			n.step(Tick{})
			return 0
		}, OutcomeRan},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			n := newGuard(1)
			holder := test.prepare(n)
			c.Assert(n.settleAt("a", n.Self.Incarnation), qt.Equals, test.want)
			c.Assert(n.settleAt("a", n.Self.Incarnation+1), qt.Equals, OutcomeUnknown)
			if test.want != OutcomeNotRun {
				return
			}
			if holder != 0 {
				c.Assert(startedWork(n.end(holder)), qt.Equals, WorkID(0))
			}
			late, effects := n.arriveKeyed("a", false)
			c.Assert(startedWork(effects), qt.Equals, WorkID(0))
			c.Assert(refusalOf(effects, late).Outcome, qt.Equals, OutcomeNotRun)
		})
	}
}
