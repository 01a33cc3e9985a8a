package reducer

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/tanagerline/tanagerline/internal/decision/tenant"
)

// hedgeTail is the latency of every attempt that newHedgingNode has seen.
const hedgeTail = 60 * time.Millisecond

// newHedgingNode returns an entry in r1 that knows two upstreams in each of the zones za and zb, and the
// latencies of its route.
func newHedgingNode(share float64) *routedNode {
	n := newRoutedNode(true)
	n.Settings.HedgeShare = share
	for i := 2; i <= 5; i++ {
		n.zonePeer(i, "r1", "z"+string("ab"[i%2]), load(0, hedgeTail))
	}
	n.warm(40)
	return n
}

func (n *routedNode) zonePeer(i int, region, zone string, l LoadReport) {
	n.report(MemberSpec{
		Address: fmt.Sprintf("10.0.0.%d:7600", i), Incarnation: uint64(i), Started: n.now, Version: 1, Region: region, Zone: zone,
		Service: routedService, Upstream: fmt.Sprintf("10.0.0.%d:8080", i), Slots: 6,
	}, l)
}

// zonePeers reports the load of all the peers of newHedgingNode.
func (n *routedNode) zonePeers(l LoadReport) {
	for i := 2; i <= 5; i++ {
		n.zonePeer(i, "r1", "z"+string("ab"[i%2]), l)
	}
}

// warm has calls answered after hedgeTail.
func (n *routedNode) warm(calls int) {
	for range calls {
		e := n.hedgeCall(nil)
		for _, effect := range e {
			if send, ok := effect.(SendAttempt); ok {
				n.advance(hedgeTail)
				n.step(AttemptAnswered{Call: send.Call, Attempt: send.Attempt, Status: 200, Load: load(0, hedgeTail)})
				n.step(AnswerEnded{Call: send.Call, Attempt: send.Attempt, Whole: true})
				n.step(CallEnded{Call: send.Call})
			}
		}
		n.zonePeers(load(0, hedgeTail))
	}
}

// hedgeCall starts a call without a body.
func (n *routedNode) hedgeCall(change func(*CallArrived)) []Effect {
	n.calls++
	e := CallArrived{
		Call: n.calls, Routed: true, Host: routedHost, Path: "/a/x", Retries: -1, Deadline: n.now.Add(time.Second),
		Fingerprint: uint64(n.calls), BodyBuffered: true,
	}
	if change != nil {
		change(&e)
	}
	return n.step(e)
}

// due lets an attempt be silent until its hedge is due, and returns the effects.
func (n *routedNode) due(a SendAttempt) []Effect {
	n.now = a.HedgeAt
	return n.step(HedgeDue{Call: a.Call, Attempt: a.Attempt})
}

// hedged starts a call and its hedge.
func (n *routedNode) hedged(c *qt.C) (first, hedge SendAttempt) {
	c.Helper()
	first = sent(c, n.hedgeCall(nil))
	c.Assert(first.HedgeAt, qt.Equals, n.now.Add(hedgeTail))
	hedge = sent(c, n.due(first))
	c.Assert(hedge.Hedge, qt.IsTrue)
	return first, hedge
}

func (n *routedNode) zoneOf(id NodeID) string { return n.members.peers[id.Address()].member.Zone() }

// outstandingAttempts counts the attempts that hold a slot in the entry's view.
func (n *routedNode) outstandingAttempts() int {
	total := 0
	for _, p := range n.members.order {
		total += p.outstanding()
	}
	return total
}

// withheldOf returns the reported reasons why a call was not hedged.
func withheldOf(effects []Effect) (reasons []string) {
	for _, effect := range effects {
		if d, ok := effect.(Decision); ok && d.Kind == DecisionHedgeWithheld {
			reasons = append(reasons, d.Reason)
		}
	}
	return reasons
}

// An upstream that never answers must not cost the call: the hedge, in another zone, answers it, and
// the mute attempt is canceled and gives its slot back.
func TestHedgeRescuesACallFromAMuteUpstream(t *testing.T) {
	c := qt.New(t)
	n := newHedgingNode(0.1)
	first, hedge := n.hedged(c)
	c.Assert(n.zoneOf(hedge.Target), qt.Not(qt.Equals), n.zoneOf(first.Target))
	c.Assert([]bool{first.Repeat, hedge.Repeat, hedge.RefuseIfBusy}, qt.DeepEquals, []bool{false, true, true})
	c.Assert(hedge.HedgeAt.IsZero(), qt.IsTrue)
	n.advance(20 * time.Millisecond)
	effects := n.step(AttemptAnswered{Call: hedge.Call, Attempt: hedge.Attempt, Status: 200, Load: load(0, hedgeTail)})
	c.Assert(effects, qt.HasLen, 2)
	c.Assert(effects[0], qt.Equals, Effect(CancelAttempt{Call: first.Call, Attempt: first.Attempt}))
	c.Assert(effects[1], qt.Equals, Effect(RelayAnswer{Call: hedge.Call, Attempt: hedge.Attempt, Target: hedge.Target}))
	n.step(AnswerEnded{Call: hedge.Call, Attempt: hedge.Attempt, Whole: true})
	c.Assert(n.outstandingAttempts(), qt.Equals, 0)
	// The loser's late result changes nothing.
	c.Assert(n.step(AttemptLost{Call: first.Call, Attempt: first.Attempt, Sent: true}), qt.HasLen, 0)
	c.Assert(n.counts.Bad, qt.Equals, uint64(0))
}

// A call gets one hedge at most, however long both attempts are silent.
func TestCallIsHedgedOnce(t *testing.T) {
	c := qt.New(t)
	n := newHedgingNode(0.2)
	first, hedge := n.hedged(c)
	for _, a := range []SendAttempt{first, hedge} {
		n.advance(hedgeTail)
		c.Assert(n.step(HedgeDue{Call: a.Call, Attempt: a.Attempt}), qt.HasLen, 0)
	}
}

// An error that is kept back for the other attempt must leave the node before the caller gives up.
func TestHeldErrorIsDueBeforeTheDeadline(t *testing.T) {
	c := qt.New(t)
	n := newHedgingNode(0.2)
	first, _ := n.hedged(c)
	c.Assert(n.CallDeadline(first.Call), qt.Equals, first.Deadline)
	n.step(AttemptAnswered{Call: first.Call, Attempt: first.Attempt, Status: 503})
	c.Assert(n.CallDeadline(first.Call).Before(first.Deadline), qt.IsTrue)
}

// A caller that leaves must not keep two slots: its call is canceled as a whole and nothing is sent
// again.
func TestCallerWhoLeavesCancelsBothAttempts(t *testing.T) {
	c := qt.New(t)
	n := newHedgingNode(0.2)
	first, hedge := n.hedged(c)
	c.Assert(n.step(CallerLeft{Call: first.Call}), qt.DeepEquals, []Effect{CancelCall{Call: first.Call}})
	for _, a := range []SendAttempt{hedge, first} {
		for _, effect := range n.step(AttemptLost{Call: a.Call, Attempt: a.Attempt, Sent: true}) {
			_, again := effect.(SendAttempt)
			c.Assert(again, qt.IsFalse)
		}
	}
	second, _ := n.hedged(c)
	n.step(CallerLeft{Call: second.Call})
	n.step(CallEnded{Call: second.Call})
	c.Assert(n.outstandingAttempts(), qt.Equals, 0)
	c.Assert(n.counts.CallersLeft, qt.Equals, uint64(2))
}

// Calls that must not reach two upstreams are never to be hedged, and start no goroutine for it.
func TestCallsThatAreNeverHedged(t *testing.T) {
	onPlan := func(change func(*Route)) func(n *routedNode) {
		return func(n *routedNode) {
			spec := routedPlan(2, true).Spec()
			change(&spec.Routes[0])
			n.step(PlanPublished{Plan: NewPlan(2, spec)})
		}
	}
	for name, test := range map[string]struct {
		prepare func(n *routedNode)
		change  func(e *CallArrived)
	}{
		"internal":         {change: func(e *CallArrived) { e.Internal = true }},
		"streamed body":    {change: func(e *CallArrived) { e.BodyBuffered = false }},
		"not idempotent":   {prepare: onPlan(func(r *Route) { r.Idempotent = false })},
		"one attempt only": {prepare: onPlan(func(r *Route) { r.MaxAttempts = 1 })},
		"off":              {prepare: func(n *routedNode) { n.Settings.HedgeShare = 0 }},
		"deadline before":  {change: func(e *CallArrived) { e.Deadline = e.Deadline.Add(hedgeTail - time.Second) }},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			n := newHedgingNode(0.2)
			if test.prepare != nil {
				test.prepare(n)
			}
			a := sent(c, n.hedgeCall(test.change))
			c.Assert(a.HedgeAt.IsZero(), qt.IsTrue)
		})
	}
}

// A hedge must not take what the service, the region or the limits don't have to spare.
func TestHedgeIsWithheld(t *testing.T) {
	full, cold := load(4, hedgeTail), NewLoadReport(0, 0, 2, hedgeTail, 1)
	for _, test := range []struct {
		name, want string
		prepare    func(n *routedNode, first SendAttempt)
	}{
		{"service full", "capacity", func(n *routedNode, _ SendAttempt) { n.zonePeers(full) }},
		{"call queued elsewhere", "capacity", func(n *routedNode, _ SendAttempt) {
			n.noteShortCapacity(n.callsInProgress()[0])
		}},
		{"cold upstreams", "capacity", func(n *routedNode, _ SendAttempt) { n.zonePeers(cold) }},
		{"others cold", "no-free-upstream", func(n *routedNode, first SendAttempt) { n.othersReport(first, cold) }},
		{"free slots in another region only", "capacity", func(n *routedNode, _ SendAttempt) {
			n.zonePeers(full)
			n.zonePeer(9, "r2", "zc", load(0, hedgeTail))
		}},
		{"region not allowed", "no-free-upstream", func(n *routedNode, _ SendAttempt) {
			for _, c := range n.callsInProgress() {
				c.regions = regionsOf("r2")
			}
		}},
		{"zones evacuated", "no-free-upstream", func(n *routedNode, _ SendAttempt) {
			spec := routedPlan(2, true).Spec()
			spec.EvacuatedZones = []string{"za", "zb"}
			n.step(PlanPublished{Plan: NewPlan(2, spec)})
		}},
		{"too little time", "time", func(n *routedNode, first SendAttempt) { n.now = first.Deadline.Add(-hedgeTail) }},
		{"share used up", "share", func(n *routedNode, first SendAttempt) {
			for range 8 {
				n.callsInProgress()[0].route.state.hedging.limit.Spend()
			}
		}},
		{"retry budget used up", "retry-budget", func(n *routedNode, _ SendAttempt) {
			for n.spendRoutedRetry(n.callsInProgress()[0]) {
				continue
			}
		}},
		{"crashed upstreams", "quarantined", func(n *routedNode, first SendAttempt) {
			n.addSuspect(first.Fingerprint, 1)
			n.addSuspect(first.Fingerprint, 2)
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			n := newHedgingNode(0.2)
			first := sent(c, n.hedgeCall(nil))
			n.now = first.HedgeAt
			n.zonePeers(load(0, hedgeTail))
			test.prepare(n, first)
			var reasons []string
			for range 3 {
				effects := n.Step(n.now, HedgeDue{Call: first.Call, Attempt: first.Attempt})
				reasons = append(reasons, withheldOf(effects)...)
				for _, effect := range effects {
					_, isSent := effect.(SendAttempt)
					c.Assert(isSent, qt.IsFalse)
				}
			}
			c.Assert(reasons, qt.DeepEquals, []string{test.want})
		})
	}
}

// A hedge that was withheld for a reason that passes is considered again, so that a mute upstream
// does not keep its call once there is room.
func TestWithheldHedgeIsSentOnceThereIsRoom(t *testing.T) {
	c := qt.New(t)
	n := newHedgingNode(0.2)
	first := sent(c, n.hedgeCall(nil))
	n.now = first.HedgeAt
	n.zonePeers(load(4, hedgeTail))
	effects := n.due(first)
	c.Assert(effects, qt.HasLen, 1)
	postponed := effects[0].(PostponeHedge)
	c.Assert(postponed.Until.After(n.now), qt.IsTrue)
	n.now = postponed.Until
	n.zonePeers(load(0, hedgeTail))
	sent(c, n.step(HedgeDue{Call: first.Call, Attempt: first.Attempt}))
}

// Evacuated zones and other regions get no hedge while the own region has room elsewhere.
func TestHedgesAvoidEvacuatedZonesAndOtherRegions(t *testing.T) {
	c := qt.New(t)
	rapid.Check(t, func(t *rapid.T) {
		n := newHedgingNode(0.2)
		n.zonePeer(9, "r2", "zc", load(0, hedgeTail))
		spec := routedPlan(2, true).Spec()
		spec.EvacuatedZones = []string{rapid.SampledFrom([]string{"za", "zb"}).Draw(t, "zone")}
		for range rapid.IntRange(1, 8).Draw(t, "calls") {
			first := sent(c, n.hedgeCall(nil))
			if first.HedgeAt.IsZero() {
				t.Fatal("the call is not to be hedged")
			}
			n.now = first.HedgeAt
			n.zonePeers(load(rapid.IntRange(0, 2).Draw(t, "load"), hedgeTail))
			n.zonePeer(9, "r2", "zc", load(0, hedgeTail))
			n.step(PlanPublished{Plan: NewPlan(2, spec)})
			for _, effect := range n.due(first) {
				a, ok := effect.(SendAttempt)
				if ok && (n.zoneOf(a.Target) == spec.EvacuatedZones[0] || n.zoneOf(a.Target) == "zc") {
					t.Fatalf("a hedge went to zone %s", n.zoneOf(a.Target))
				}
			}
			n.step(CallEnded{Call: first.Call})
		}
	})
}

// callsInProgress returns the calls in progress.
func (n *routedNode) callsInProgress() (calls []*call) {
	for _, c := range n.Reducer.calls {
		calls = append(calls, c)
	}
	return calls
}

// othersReport reports a load of all peers but the first attempt's.
func (n *routedNode) othersReport(first SendAttempt, l LoadReport) {
	for i := 2; i <= 5; i++ {
		if fmt.Sprintf("10.0.0.%d:7600", i) != first.Target.Address() {
			n.zonePeer(i, "r1", "z"+string("ab"[i%2]), l)
		}
	}
}

func regionsOf(names ...string) tenant.Regions { return tenant.AllowedRegions(names, nil) }
