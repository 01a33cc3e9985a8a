package reducer

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// tenantPlan has a route that needs an access key and one that is open.
func tenantPlan(version int64, keys ...string) Plan {
	spec := routedPlan(version, true).Spec()
	spec.Routes[1].Open = true
	spec.Tenants = []Tenant{{Name: "t1", KeyDigests: keys}, {Name: "t2", KeyDigests: []string{"digest-of-t2"}}}
	return NewPlan(version, spec)
}

func (n *routedNode) callWithKey(path, digest string, internal bool) []Effect {
	n.calls++
	return n.step(CallArrived{
		Call: n.calls, Routed: true, Host: routedHost, Path: path, Retries: -1, Deadline: n.now.Add(time.Second),
		Fingerprint: uint64(n.calls), AccessKeyDigest: digest, Internal: internal,
	})
}

// A request must not run without a known key, run for another tenant than its key's, or take its key
// to a guard; only open routes and the upstream's own calls need no key.
func TestAccessKeysSelectTheTenant(t *testing.T) {
	c := qt.New(t)
	n := newRoutedNode(true)
	n.step(PlanPublished{Plan: tenantPlan(2, "digest-of-t1")})
	ledger := MemberSpec{
		Address: "10.0.0.3:7600", Incarnation: 3, Started: n.now, Version: 1, Region: "r1", Zone: "z1",
		Service: "ledger", Upstream: "10.0.0.3:8080", Slots: 6,
	}
	n.report(ledger, load(0, time.Millisecond))
	n.peer(2, "r1", load(0, time.Millisecond))
	for _, test := range []struct {
		name, path, digest string
		internal           bool
		rejected           bool
		tenant             string
	}{
		{"known key", "/a/x", "digest-of-t1", false, false, "t1"},
		{"key of another tenant", "/a/x", "digest-of-t2", false, false, "t2"},
		{"unknown key", "/a/x", "digest", false, true, ""},
		{"no key", "/a/x", "", false, true, ""},
		{"unknown key on an open route", "/a/b/x", "digest", false, false, ""},
		{"no key on an open route", "/a/b/x", "", false, false, ""},
		{"call of the upstream", "/a/x", "", true, false, ""},
		{"unknown key from the upstream's VM", "/a/x", "digest", true, true, ""},
	} {
		effects := n.callWithKey(test.path, test.digest, test.internal)
		if test.rejected {
			reject := mustReject(c, effects)
			c.Check(reject.Problem, qt.Equals, ProblemUnauthorized, qt.Commentf(test.name))
			c.Check(reject.Outcome, qt.Equals, OutcomeNotRun)
			continue
		}
		sent, ok := effects[0].(SendAttempt)
		c.Assert(ok, qt.IsTrue, qt.Commentf(test.name))
		c.Check(sent.Tenant, qt.Equals, test.tenant, qt.Commentf(test.name))
		c.Check(sent.HideCredentials, qt.IsTrue)
	}
}

// A key that a new plan takes away must be refused from the next request on, while a plan without
// tenants leaves the callers' headers alone.
func TestRemovedAccessKeyIsRefused(t *testing.T) {
	c := qt.New(t)
	n := newRoutedNode(true)
	n.peer(2, "r1", load(0, time.Millisecond))
	sent, _ := n.callWithKey("/a/x", "anything", false)[0].(SendAttempt)
	c.Assert(sent.HideCredentials, qt.IsFalse)
	n.step(PlanPublished{Plan: tenantPlan(2, "k1", "k2")})
	_, ok := n.callWithKey("/a/x", "k1", false)[0].(SendAttempt)
	c.Assert(ok, qt.IsTrue)
	n.step(PlanPublished{Plan: tenantPlan(3, "k2")})
	c.Assert(mustReject(c, n.callWithKey("/a/x", "k1", false)).Problem, qt.Equals, ProblemUnauthorized)
}

// A tenant's regions must bind beside the route's.
func TestRegionsOfTheTenantBind(t *testing.T) {
	c := qt.New(t)
	n := newRoutedNode(true)
	plan := tenantPlan(2, "k1").Spec()
	plan.Tenants[0].Regions = []string{"r2"}
	n.step(PlanPublished{Plan: NewPlan(2, plan)})
	n.peer(2, "r1", load(0, time.Millisecond))
	c.Assert(mustReject(c, n.callWithKey("/a/x", "k1", false)).Outcome, qt.Equals, OutcomeNotRun)
	far := n.peer(3, "r2", load(0, time.Millisecond))
	sent, _ := n.callWithKey("/a/x", "k1", false)[0].(SendAttempt)
	c.Assert(sent.Target, qt.Equals, far)
	sent, _ = n.callWithKey("/a/x", "digest-of-t2", false)[0].(SendAttempt)
	c.Assert(sent.Target, qt.Not(qt.Equals), far)
}

// The deadline of a call without a known key must not count for other calls: one that is far off would make
// them look like resends of requests whose objective has passed.
func TestDeadlinesOfUnauthorizedCallsDontCount(t *testing.T) {
	c := qt.New(t)
	n := newRoutedNode(true)
	n.peer(2, "r1", load(0, time.Millisecond))
	n.step(PlanPublished{Plan: tenantPlan(2, "k1")})
	before, _ := n.callWithKey("/a/x", "k1", false)[0].(SendAttempt)
	mustReject(c, n.step(CallArrived{
		Call: 1000, Routed: true, Host: routedHost, Path: "/a/x", Retries: -1, Deadline: n.now.Add(time.Hour), AccessKeyDigest: "digest",
	}))
	after, _ := n.callWithKey("/a/x", "k1", false)[0].(SendAttempt)
	c.Assert(before.Objective.After(n.now), qt.IsTrue)
	c.Assert(after.Objective, qt.Equals, before.Objective)
}

// A caller of an open route may set any deadline: it must not move the objectives of other calls.
func TestDeadlinesOfAnonymousCallsDontCount(t *testing.T) {
	c := qt.New(t)
	n := newRoutedNode(true)
	n.report(MemberSpec{
		Address: "10.0.0.3:7600", Incarnation: 3, Started: n.now, Version: 1, Region: "r1", Zone: "z1",
		Service: "ledger", Upstream: "10.0.0.3:8080", Slots: 6,
	}, load(0, time.Millisecond))
	n.step(PlanPublished{Plan: tenantPlan(2, "k1")})
	n.call("/a/b/x", time.Hour)
	for _, key := range []string{"", "k1"} {
		c.Assert(sent(c, n.callWithKey("/a/b/x", key, false)).Objective.Sub(n.now), qt.Equals, 250*time.Millisecond)
	}
}

// Callers may wait longer than the route's timeout: a request that they send again must still be told from
// one that they send for the first time.
func TestResendIsToldByADeadlineBeyondTheTimeout(t *testing.T) {
	c := qt.New(t)
	n := newRoutedNode(true)
	n.peer(2, "r1", load(0, time.Millisecond))
	first := sent(c, n.call("/a/x", 2*time.Second)).Objective.Sub(n.now)
	again := sent(c, n.call("/a/x", 1500*time.Millisecond)).Objective.Sub(n.now)
	c.Assert(first, qt.Equals, 250*time.Millisecond)
	c.Assert(again < first, qt.IsTrue, qt.Commentf("%v", again))
}
