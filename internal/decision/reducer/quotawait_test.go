package reducer

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// newQuotaEntry returns a node with a tenant whose quota is held by another node, and that node's ID.
func newQuotaEntry(c *qt.C) (*routedNode, NodeID) {
	n := newRoutedNode(true)
	n.Settings.QuotaWindow, n.Settings.QuotaOverage, n.Settings.QuotaSlack = 5*time.Second, 0.1, 20
	holder := n.peer(2, "r1", load(0, time.Millisecond))
	n.step(MembersListed{})
	n.step(Tick{})
	for i := range 100 {
		n.step(PlanPublished{Plan: quotaPlan(int64(2+i), Tenant{Name: fmt.Sprint("t", i), RatePerSecond: 10, Burst: 5})})
		if q := n.quotas.tenants[fmt.Sprint("t", i)]; q.group.holder == holder {
			return n, holder
		}
	}
	c.Fatal("no tenant is held by the other node")
	return nil, holder
}

// quotaCall starts a call of the node's only tenant.
func (n *routedNode) quotaCall() []Effect {
	return n.callWithKey("/a/x", "digest-of-"+n.tenants.tenants[0].Name, false)
}

func quotaRequests(effects []Effect) (requests []RequestQuota) {
	for _, effect := range effects {
		if e, ok := effect.(RequestQuota); ok {
			requests = append(requests, e)
		}
	}
	return requests
}

func sentAttempts(effects []Effect) (sent []SendAttempt) {
	for _, effect := range effects {
		if e, ok := effect.(SendAttempt); ok {
			sent = append(sent, e)
		}
	}
	return sent
}

func (n *routedNode) grant(request RequestQuota, tokens int) []Effect {
	return n.step(QuotaAnswered{
		Request: request.Request, Holder: true, Granted: []QuotaTokens{{Tenant: request.Wanted[0].Tenant, Tokens: tokens}},
	})
}

// Calls that wait for the same holder must not ask one by one, and each must take one token, also if it
// is sent again.
func TestWaitingCallsShareARequest(t *testing.T) {
	c := qt.New(t)
	n, holder := newQuotaEntry(c)
	first := quotaRequests(n.quotaCall())
	c.Assert(first, qt.HasLen, 1)
	c.Assert(first[0].Target, qt.Equals, holder)
	for range 3 {
		c.Assert(n.quotaCall(), qt.HasLen, 0)
	}
	effects := n.grant(first[0], 1)
	c.Assert(sentAttempts(effects), qt.HasLen, 1)
	second := quotaRequests(effects)
	c.Assert(second, qt.HasLen, 1)
	c.Assert(second[0].Wanted[0].Tokens >= 3, qt.IsTrue)
	effects = n.grant(second[0], 2)
	sent := sentAttempts(effects)
	c.Assert(sent, qt.HasLen, 2)
	c.Assert(mustReject(c, effects).Problem, qt.Equals, ProblemQuotaExceeded)
	again := n.step(AttemptRefused{Call: sent[0].Call, Attempt: sent[0].Attempt, Reason: RefusalBusy})
	c.Assert(sentAttempts(again), qt.HasLen, 1)
	c.Assert(quotaRequests(again), qt.HasLen, 0)
}

// A call must not wait for ever, nor leave anything behind: it ends by its deadline, with its caller,
// or after a short time-out, also while the node stops.
func TestWaitForTokensEnds(t *testing.T) {
	c := qt.New(t)
	for name, end := range map[string]func(n *routedNode){
		"deadline": func(n *routedNode) {
			reject := mustReject(c, n.step(CallExpired{Call: n.calls}))
			c.Check(reject.Problem, qt.Equals, ProblemDeadline)
			c.Check(reject.Outcome, qt.Equals, OutcomeNotRun)
		},
		"caller left": func(n *routedNode) {
			n.step(CallerLeft{Call: n.calls})
			c.Check(sentAttempts(n.grant(RequestQuota{
				Request: n.quotas.tenants[n.tenants.tenants[0].Name].group.request.id, Wanted: []QuotaTokens{{Tenant: n.tenants.tenants[0].Name}},
			}, 1)), qt.HasLen, 0)
		},
		"time-out": func(n *routedNode) {
			n.advance(maxQuotaWait)
			reject := mustReject(c, n.step(Tick{}))
			c.Check(reject.Problem, qt.Equals, ProblemQuotaExceeded)
			c.Check(reject.Outcome, qt.Equals, OutcomeNotRun)
			c.Check(reject.ResendAt.After(n.now), qt.IsTrue)
		},
		"stop": func(n *routedNode) {
			n.step(StopRequested{})
			n.advance(maxQuotaWait)
			mustReject(c, n.step(Tick{}))
		},
		"quotas switched off": func(n *routedNode) {
			settings := n.Settings
			settings.QuotaWindow = 0
			n.step(SettingsChanged{Settings: settings})
			c.Check(sentAttempts(n.step(Tick{})), qt.HasLen, 1)
		},
	} {
		n, _ := newQuotaEntry(c)
		c.Assert(quotaRequests(n.quotaCall()), qt.HasLen, 1, qt.Commentf(name))
		end(n)
		n.step(CallEnded{Call: n.calls})
		c.Check(n.Reducer.calls, qt.HasLen, 0)
		for i := range n.quotas.groups {
			c.Check(n.quotas.groups[i].waiting, qt.HasLen, 0, qt.Commentf(name))
		}
	}
}

// Without the settings' section, limits in the plan must change nothing.
func TestQuotasAreOffWithoutSettings(t *testing.T) {
	c := qt.New(t)
	n, _ := newQuotaEntry(c)
	n.Settings.QuotaWindow = 0
	for range 100 {
		c.Assert(sentAttempts(n.quotaCall()), qt.HasLen, 1)
	}
	c.Assert(n.loadDigest().Uptime, qt.Equals, time.Duration(0))
}

// A node must grant nothing to an entry that takes another process for the holder, while it is not the
// holder in its own view, or while a former holder may still grant.
func TestOnlyTheHolderGrants(t *testing.T) {
	c := qt.New(t)
	n, other := newQuotaEntry(c)
	tenant := n.tenants.tenants[0].Name
	ask := func(incarnation uint64) bool {
		for _, effect := range n.step(QuotaRequested{
			Work: 1, Entry: other, Holder: incarnation, Wanted: []QuotaTokens{{Tenant: tenant, Tokens: 1}},
		}) {
			if reply, ok := effect.(QuotaReply); ok {
				return reply.Holder
			}
		}
		c.Fatal("no reply")
		return false
	}
	c.Assert(ask(n.Self.Incarnation), qt.IsFalse)
	var became time.Time
	for range 60 {
		// The other node falls silent, and this one becomes the holder.
		n.advance(50 * time.Millisecond)
		n.step(Tick{})
		q := n.quotas.tenants[tenant]
		if q.group.holder != other {
			if became.IsZero() {
				became = n.now
			}
			c.Assert(ask(n.Self.Incarnation), qt.Equals, n.now.Sub(became) >= heartbeatPeriod)
		}
	}
	c.Assert(ask(n.Self.Incarnation), qt.IsTrue)
	c.Assert(ask(n.Self.Incarnation+1), qt.IsFalse)
}

// State must not outlive the tenant's quota, and a call that waits must not be lost with it.
func TestQuotaStateIsDroppedWithThePlan(t *testing.T) {
	c := qt.New(t)
	n, _ := newQuotaEntry(c)
	n.quotaCall()
	former := n.tenants.tenants[0]
	effects := n.step(PlanPublished{Plan: quotaPlan(1000, Tenant{Name: former.Name})})
	c.Assert(sentAttempts(effects), qt.HasLen, 1)
	c.Assert(n.quotas.tenants, qt.HasLen, 0)
	for i := range n.quotas.groups {
		c.Assert(n.quotas.groups[i].tenants, qt.HasLen, 0)
		c.Assert(n.quotas.groups[i].waiting, qt.HasLen, 0)
	}
}

// A plan that ends a tenant's quota and evacuates a zone must not send the calls that waited for tokens
// into that zone.
func TestCallsThatWaitedAvoidTheNewPlansZones(t *testing.T) {
	c := qt.New(t)
	n, _ := newQuotaEntry(c)
	n.quotaCall()
	spec := quotaPlan(1000, Tenant{Name: n.tenants.tenants[0].Name}).Spec()
	spec.EvacuatedZones = []string{"zr1"}
	effects := n.step(PlanPublished{Plan: NewPlan(1000, spec)})
	c.Assert(sentAttempts(effects), qt.HasLen, 0)
	c.Assert(mustReject(c, effects).Outcome, qt.Equals, OutcomeNotRun)
}

// Calls over the quota reach no upstream, so a tenant that sends many of them must not earn the service retries.
func TestCallsOverTheQuotaEarnNoRetries(t *testing.T) {
	c := qt.New(t)
	n, _ := newQuotaEntry(c)
	requests := func() int {
		total, _ := n.retryWindowOf(routedService).total()
		return total
	}
	request := quotaRequests(n.quotaCall())[0]
	c.Assert(requests(), qt.Equals, 0)
	c.Assert(sentAttempts(n.grant(request, 1)), qt.HasLen, 1)
	c.Assert(requests(), qt.Equals, 1)
	mustReject(c, n.grant(quotaRequests(n.quotaCall())[0], 0))
	for range 10 {
		mustReject(c, n.quotaCall())
	}
	c.Assert(requests(), qt.Equals, 1)
}

// A call must not cost more for each tenant of the plan: a group looks at the tenants that send calls only,
// and at those no longer than they do.
func TestIdleTenantsCostNothing(t *testing.T) {
	c := qt.New(t)
	n, _ := newQuotaEntry(c)
	tenants := []Tenant{n.tenants.tenants[0]}
	for i := range 1000 {
		tenants = append(tenants, Tenant{Name: fmt.Sprint("idle", i), RatePerSecond: 10, Burst: 5})
	}
	n.step(PlanPublished{Plan: quotaPlan(1000, tenants...)})
	active := func() (sum int) {
		for i := range n.quotas.groups {
			sum += len(n.quotas.groups[i].active)
		}
		return sum
	}
	n.quotaCall()
	c.Assert(active(), qt.Equals, 1)
	for i := range 1000 {
		n.callWithKey("/a/x", fmt.Sprint("digest-of-idle", i), false)
	}
	for range 10 {
		n.advance(maxQuotaWait)
		n.step(Tick{})
	}
	n.quotaCall()
	c.Assert(active() <= 1000*(quotaGroups-1)/quotaGroups+100, qt.IsTrue, qt.Commentf("%d", active()))
	n.step(PlanPublished{Plan: quotaPlan(1001, tenants[0])})
	c.Assert(active() <= 1, qt.IsTrue)
}

// A lower limit must bind one window after it is in force everywhere.
func TestLowerLimitBindsAfterAWindow(t *testing.T) {
	for seed := range uint64(5) {
		f := newQuotaFleet(seed, 12, Tenant{Name: "t", RatePerSecond: 100, Burst: 200})
		clients := f.addClients("t", 12, steady(500))
		f.run(3 * time.Second)
		f.publish(quotaPlan(2, Tenant{Name: "t", RatePerSecond: 10, Burst: 10}))
		f.run(2 * time.Second)
		everywhere := f.now
		f.run(12 * time.Second)
		limit := f.nodes[0].quotas.tenants["t"].limit
		excess, calls := clients.worst(limit, everywhere, f.now)
		qt.Check(t, excess <= 0, qt.IsTrue, qt.Commentf("seed %d: %d calls", seed, calls))
	}
}

// A holder that was frozen must not grant what it could have granted meanwhile, nor go on as the holder:
// another node may have taken its place. Its clock may or may not have run.
func TestThawedHolderGrantsNothing(t *testing.T) {
	c := qt.New(t)
	for _, clockRan := range []bool{true, false} {
		n, other := newQuotaEntry(c)
		var uptime time.Duration
		hear := func() {
			n.step(LoadReportReceived{Digest: Digest{
				Address: other.Address(), Incarnation: other.Incarnation(), Load: load(0, time.Millisecond), Uptime: uptime,
			}})
		}
		pass := func(d time.Duration) {
			for ; d > 0; d -= 50 * time.Millisecond {
				n.advance(50 * time.Millisecond)
				uptime += 50 * time.Millisecond
				n.step(Tick{})
				hear()
			}
		}
		tenant := ""
		for i := 0; tenant == ""; i++ {
			name := fmt.Sprint("t", i)
			n.step(PlanPublished{Plan: quotaPlan(int64(1000+i), Tenant{Name: name, RatePerSecond: 10, Burst: 5})})
			if n.quotas.tenants[name].group.holder == n.selfID() {
				tenant = name
			}
		}
		ask := func() QuotaReply {
			for _, effect := range n.step(QuotaRequested{
				Work: 1, Entry: other, Holder: n.Self.Incarnation, Uptime: uptime, Wanted: []QuotaTokens{{Tenant: tenant, Tokens: 1}},
			}) {
				if reply, ok := effect.(QuotaReply); ok {
					return reply
				}
			}
			return QuotaReply{}
		}
		pass(5 * time.Second)
		c.Assert(ask().Granted[0].Tokens, qt.Equals, 1)
		uptime += 4 * time.Second
		if clockRan {
			n.advance(4 * time.Second)
		}
		c.Assert(ask().Holder, qt.IsFalse, qt.Commentf("clock ran: %v", clockRan))
		pass(2 * maxSilenceInRegion)
		c.Assert(ask().Granted[0].Tokens, qt.Equals, 1)
	}
}

// Tokens for calls that no longer wait must not be saved, because the bound does not provide for them.
func TestTokensOfCallsThatGaveUpAreDropped(t *testing.T) {
	c := qt.New(t)
	n, _ := newQuotaEntry(c)
	request := quotaRequests(n.quotaCall())[0]
	n.advance(maxQuotaWait)
	mustReject(c, n.step(Tick{}))
	n.grant(request, 1)
	effects := n.quotaCall()
	c.Assert(sentAttempts(effects), qt.HasLen, 0)
	c.Assert(quotaRequests(effects), qt.HasLen, 1)
}
