package reducer

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// decisionsOf returns the decisions of one kind that a step reports.
func decisionsOf(effects []Effect, kind DecisionKind) []Decision {
	var found []Decision
	for _, e := range effects {
		if d, ok := e.(Decision); ok && d.Kind == kind {
			found = append(found, d)
		}
	}
	return found
}

// An operator must see from the log that an attempt came twice, and by which requests.
func TestRepeatedAttemptIsReported(t *testing.T) {
	c := qt.New(t)
	n := newGuard(1)
	arrived := WorkArrived{
		Work: 1, Attempt: "a1", To: n.Self.Incarnation, Service: routedService, Kind: "long", Keyed: true,
		RequestID: "r1", Deadline: n.now.Add(time.Second), Objective: n.now.Add(time.Second),
	}
	n.Step(n.now, arrived)
	arrived.Work = 2
	repeated := decisionsOf(n.Step(n.now, arrived), DecisionWorkRepeated)
	c.Assert(repeated, qt.HasLen, 1)
	c.Assert(repeated[0].Request, qt.Equals, "r1")
	c.Assert(repeated[0].Reason, qt.Equals, string(OutcomeRunning))
	effects := n.Step(n.now, WorkEnded{Work: 1, Outcome: OutcomeNotRun, Basis: BasisRejected, Status: 503, Skipped: 1})
	ended := decisionsOf(effects, DecisionWorkEnded)
	c.Assert(ended, qt.HasLen, 1)
	c.Assert(ended[0].Basis, qt.Equals, BasisRejected)
	c.Assert(ended[0].Status, qt.Equals, 503)
	c.Assert(ended[0].Skipped, qt.Equals, 1)
	refused := decisionsOf(effects, DecisionWorkRefused)
	c.Assert(slices.ContainsFunc(refused, func(d Decision) bool { return d.Request == "r1" }), qt.IsTrue)
}
