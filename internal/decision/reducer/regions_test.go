package reducer

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// regionalPlan returns a plan whose route /a/ is limited to regions.
func regionalPlan(version int64, idempotent bool, regions ...string) Plan {
	spec := routedPlan(version, idempotent).Spec()
	spec.Routes = slices.Clone(spec.Routes)
	spec.Routes[0].Regions = regions
	return NewPlan(version, spec)
}

// A route whose only allowed region has no room must not be served elsewhere, and its caller must
// not wait for a rejection.
func TestCallOfAFullRegionIsRejectedAtOnceAndNotSentElsewhere(t *testing.T) {
	for _, test := range []struct{ allowed, other string }{{"r1", "r2"}, {"r2", "r1"}} {
		t.Run(test.allowed, func(t *testing.T) {
			c := qt.New(t)
			n := newRoutedNode(true)
			n.step(PlanPublished{Plan: regionalPlan(2, true, test.allowed)})
			allowed := []NodeID{n.peer(2, test.allowed, load(0, testServiceTime)), n.peer(3, test.allowed, load(0, testServiceTime))}
			n.peer(4, test.other, load(0, testServiceTime))
			effects := n.call("/a/x", time.Second)
			attempts := 0
			for {
				if _, ok := rejected(effects); ok {
					break
				}
				attempt := sent(c, effects)
				c.Assert(slices.Contains(allowed, attempt.Target), qt.IsTrue)
				attempts++
				effects = n.step(AttemptRefused{
					Call: attempt.Call, Attempt: attempt.Attempt, Reason: RefusalBusy, Load: load(9, testServiceTime),
				})
			}
			// Both guards refuse, and the one that may queue the call refuses again.
			c.Assert(attempts, qt.Equals, 3)
			c.Assert(mustReject(c, effects).Outcome, qt.Equals, OutcomeNotRun)
		})
	}
}

// A call whose allowed regions have no upstream must be rejected in the step of its arrival, and as
// not run.
func TestCallWithoutAllowedUpstreamIsRejectedOnArrival(t *testing.T) {
	c := qt.New(t)
	n := newRoutedNode(true)
	n.step(PlanPublished{Plan: regionalPlan(2, true, "r3")})
	n.peer(2, "r1", load(0, testServiceTime))
	n.peer(3, "r2", load(0, testServiceTime))
	reject := mustReject(c, n.call("/a/x", time.Second))
	c.Assert(reject.Problem, qt.Equals, ProblemNoUpstream)
	c.Assert(reject.Outcome, qt.Equals, OutcomeNotRun)
	// The other route has no regions and is served as before.
	n.step(PlanPublished{Plan: regionalPlan(3, true)})
	sent(c, n.call("/a/x", time.Second))
}

// The entry's own upstream must not serve a call either if its region is not allowed: only the
// caller's connection to the entry is excepted.
func TestOwnUpstreamOutsideTheAllowedRegionsIsNotUsed(t *testing.T) {
	c := qt.New(t)
	n := newGuard(4)
	n.step(Tick{})
	n.step(PlanPublished{Plan: regionalPlan(2, true, "r2")})
	c.Assert(mustReject(c, n.call("/a/x", time.Second)).Problem, qt.Equals, ProblemNoUpstream)
	far := n.peer(2, "r2", load(0, testServiceTime))
	c.Assert(sent(c, n.call("/a/x", time.Second)).Target, qt.Equals, far)
}

// No attempt, resend, waiting attempt or outcome query of a limited call may leave the allowed
// regions, whatever guards answer and however members and plans change.
func TestLimitedCallsNeverLeaveTheirRegions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newRoutedNode(rapid.Bool().Draw(t, "idempotent"))
		version := int64(1)
		var limit []string
		limits, regionOf := map[CallID][]string{}, map[string]string{}
		var inFlight []SendAttempt
		check := func(call CallID, target NodeID) {
			if allowed := limits[call]; len(allowed) > 0 && !slices.Contains(allowed, regionOf[target.Address()]) {
				t.Fatalf("call %d limited to %v was sent to %s in %s", call, allowed, target, regionOf[target.Address()])
			}
		}
		run := func(effects []Effect) {
			for _, effect := range effects {
				switch e := effect.(type) {
				case SendAttempt:
					check(e.Call, e.Target)
					inFlight = append(inFlight, e)
				case SettleAttempt:
					check(e.Call, e.Target)
				}
			}
		}
		regions := []string{"r1", "r2", "r3"}
		t.Repeat(map[string]func(*rapid.T){
			"member": func(t *rapid.T) {
				i := rapid.IntRange(2, 9).Draw(t, "member")
				region := regions[i%3]
				regionOf[n.peer(i, region, load(rapid.IntRange(0, 12).Draw(t, "work"), testServiceTime)).Address()] = region
			},
			"plan": func(t *rapid.T) {
				version++
				limit = rapid.SliceOfNDistinct(rapid.SampledFrom(regions), 0, 2, rapid.ID).Draw(t, "regions")
				n.step(PlanPublished{Plan: regionalPlan(version, rapid.Bool().Draw(t, "idempotent"), limit...)})
			},
			"call": func(*rapid.T) {
				limits[n.calls+1] = limit
				run(n.call("/a/x", time.Second))
			},
			"call again": func(*rapid.T) {
				limits[n.calls+1] = limit
				run(n.call("/a/x", time.Second))
			},
			"refuse or lose": func(t *rapid.T) {
				if len(inFlight) == 0 {
					t.Skip("nothing is in flight")
				}
				a := inFlight[len(inFlight)-1]
				inFlight = inFlight[:len(inFlight)-1]
				reason := rapid.SampledFrom([]RefusalReason{
					RefusalBusy, RefusalBusy, RefusalBusy, RefusalShed, RefusalLeaving, RefusalUnreachable, RefusalDeadline, "lost",
				}).Draw(t, "reason")
				if reason != "lost" {
					run(n.step(AttemptRefused{Call: a.Call, Attempt: a.Attempt, Reason: reason, Load: load(3, testServiceTime)}))
					return
				}
				run(n.step(AttemptLost{Call: a.Call, Attempt: a.Attempt, Sent: true}))
				run(n.step(AttemptSettled{Call: a.Call, Attempt: a.Attempt, Outcome: OutcomeNotRun}))
			},
			"advance": func(t *rapid.T) {
				n.advance(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
				run(n.step(Tick{}))
			},
		})
	})
}
