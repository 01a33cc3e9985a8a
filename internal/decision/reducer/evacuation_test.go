package reducer

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// evacuationPlan returns the routed plan with evacuated zones.
func evacuationPlan(version int64, zones ...string) Plan {
	spec := routedPlan(version, true).Spec()
	spec.EvacuatedZones = zones
	return NewPlan(version, spec)
}

// refusals returns the reasons by which the effects refuse attempts.
func refusals(effects []Effect) map[WorkID]RefusalReason {
	reasons := map[WorkID]RefusalReason{}
	for _, e := range effects {
		if refusal, ok := e.(RefuseWork); ok {
			reasons[refusal.Work] = refusal.Reason
		}
	}
	return reasons
}

// An evacuation that arrives while attempts are queued must give them back at once and start none of
// them, while those that run finish: otherwise the zone gets new work for as long as its queue lasts.
func TestEvacuationRefusesQueuedAttemptsAndSparesRunningOnes(t *testing.T) {
	c := qt.New(t)
	n := newGuard(1)
	running, _ := n.offer("long", 250*time.Millisecond, time.Second, true)
	queued, _ := n.offer("long", 250*time.Millisecond, time.Second, true)
	n.works++
	plain := n.works
	n.step(WorkArrived{Work: plain, Attempt: "plain", To: 1, Service: routedService, Deadline: n.now.Add(time.Second), Keyed: true})
	effects := n.step(PlanPublished{Plan: evacuationPlan(2, "z1")})
	c.Assert(refusals(effects), qt.DeepEquals, map[WorkID]RefusalReason{queued: RefusalEvacuated, plain: RefusalEvacuated})
	c.Assert(n.guard.running, qt.Equals, 1)
	late, effects := n.offer("long", 250*time.Millisecond, time.Second, false)
	c.Assert(refusals(effects)[late], qt.Equals, RefusalEvacuated)
	c.Assert(startedWork(n.end(running)), qt.Equals, WorkID(0))
	c.Assert(n.guard.running, qt.Equals, 0)
	c.Assert(startedWork(n.step(Tick{})), qt.Equals, WorkID(0))
	// Work is admitted again after the evacuation.
	n.step(PlanPublished{Plan: evacuationPlan(3, "z2")})
	again, effects := n.offer("long", 250*time.Millisecond, time.Second, true)
	c.Assert(startedWork(effects), qt.Equals, again)
}

// Both ends of an evacuation are reported to operators, once each.
func TestEvacuationIsReported(t *testing.T) {
	c := qt.New(t)
	n := newGuard(1)
	for _, test := range []struct {
		plan       Plan
		begun, end int
	}{
		{evacuationPlan(2, "z1"), 1, 0}, {evacuationPlan(3, "z1", "z2"), 0, 0}, {evacuationPlan(4), 0, 1}, {evacuationPlan(5), 0, 0},
	} {
		effects := n.Step(n.now, PlanPublished{Plan: test.plan})
		c.Assert(decisionsOf(effects, DecisionEvacuationBegun), qt.HasLen, test.begun)
		c.Assert(decisionsOf(effects, DecisionEvacuationEnded), qt.HasLen, test.end)
	}
}

// The entry in an evacuated zone must go on serving its callers and its upstream's internal calls
// from other zones, and never by its own upstream, even if that is the only one left.
func TestEntryInEvacuatedZoneUsesOtherZones(t *testing.T) {
	for _, internal := range []bool{false, true} {
		t.Run(fmt.Sprint("internal=", internal), func(t *testing.T) {
			c := qt.New(t)
			n := newGuard(4)
			n.step(Tick{})
			other := n.peer(2, "r1", load(9, testServiceTime))
			n.step(PlanPublished{Plan: evacuationPlan(2, "z1")})
			call := func() []Effect {
				n.calls++
				return n.step(CallArrived{
					Call: n.calls, Routed: true, Host: routedHost, Path: "/a/x", Retries: -1,
					Deadline: n.now.Add(time.Second), Internal: internal,
				})
			}
			attempt := sent(c, call())
			c.Assert(attempt.Target, qt.Equals, other)
			// The only other upstream is evacuated too, as its guard already knows.
			effects := n.step(AttemptRefused{Call: attempt.Call, Attempt: attempt.Attempt, Reason: RefusalEvacuated})
			reject := mustReject(c, effects)
			c.Assert(reject.Outcome, qt.Equals, OutcomeNotRun)
			n.step(PlanPublished{Plan: evacuationPlan(3, "z1", "zr1")})
			c.Assert(mustReject(c, call()).Problem, qt.Equals, ProblemNoUpstream)
		})
	}
}

// A guard may know of an evacuation before the entry: the refused call goes to another zone without
// drawing on the retry budget, and later calls pass over that guard.
func TestCallRefusedAsEvacuatedGoesElsewhere(t *testing.T) {
	c := qt.New(t)
	n := newRoutedNode(false)
	n.peer(2, "r1", load(0, testServiceTime))
	n.peer(3, "r1", load(0, testServiceTime))
	first := sent(c, n.call("/a/x", time.Second))
	second := sent(c, n.step(AttemptRefused{Call: first.Call, Attempt: first.Attempt, Reason: RefusalEvacuated}))
	c.Assert(second.Target, qt.Not(qt.Equals), first.Target)
	c.Assert(n.counts.Retries, qt.Equals, uint64(0))
	for range 5 {
		c.Assert(sent(c, n.call("/a/x", time.Second)).Target, qt.Equals, second.Target)
	}
}

// Unrouted calls must obey an evacuation under every balancing policy, the last resort included.
func TestUnroutedCallsAreNotSentToEvacuatedZones(t *testing.T) {
	for _, policy := range PolicyNames() {
		t.Run(string(policy), func(t *testing.T) {
			c := qt.New(t)
			n := newRoutedNode(true)
			n.Settings.Policy = policy
			n.peer(2, "r1", load(0, testServiceTime))
			plan := evacuationPlan(2, "zr1").Spec()
			plan.Services = []ServicePlan{{Name: routedService, Kinds: []Kind{{Name: "read", Idempotent: true, Allowance: time.Second}}}}
			n.step(PlanPublished{Plan: NewPlan(2, plan)})
			call := func() []Effect {
				n.calls++
				return n.step(CallArrived{Call: n.calls, Service: routedService, Kind: "read", Retries: -1})
			}
			c.Assert(mustReject(c, call()).Outcome, qt.Equals, OutcomeNotRun)
			far := n.peer(3, "r2", load(0, testServiceTime))
			c.Assert(sent(c, call()).Target, qt.Equals, far)
		})
	}
}

// An entry's subset must not be spent on evacuated upstreams: otherwise the entries of a large region
// would crowd the few live ones in their subsets.
func TestSubsetsLeaveOutEvacuatedZones(t *testing.T) {
	c := qt.New(t)
	specs := largeRegionSpecs(time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC))
	n := largeRegionNode(specs[0], specs, idleLoad)
	zone := ""
	for _, spec := range specs {
		if spec.Region == specs[0].Region && spec.Zone != specs[0].Zone {
			zone = spec.Zone
		}
	}
	plan := evacuationPlan(2, zone)
	n.step(PlanPublished{Plan: plan})
	chosen := n.members.subset(n.members.services[routedService])[tierRegion]
	for _, p := range chosen {
		c.Assert(p.member.Zone(), qt.Not(qt.Equals), zone)
	}
	c.Assert(chosen, qt.HasLen, maxRegionSubset)
}
