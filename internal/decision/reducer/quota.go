package reducer

import (
	"slices"
	"time"

	"github.com/tanagerline/tanagerline/internal/decision/quota"
)

const (
	// quotaGroups is the number of groups that tenants are hashed to. Each group has one holder, so
	// an entry talks to at most that many.
	quotaGroups = 8
	// maxQuotaWait bounds how long a call waits for a token.
	maxQuotaWait = 100 * time.Millisecond
	// maxQuotaWaiting bounds the calls of one tenant that wait for tokens at an entry.
	maxQuotaWaiting = 256
	// quotaProbePeriod is the time between two requests to a holder that grants nothing.
	quotaProbePeriod = 200 * time.Millisecond
	// uncertainShare is the part of its fixed share that an entry admits for uncertainTime after
	// it has lost its holder: a holder that is alive on the other side of a partition still grants
	// the whole limit until it misses the reports of this side.
	uncertainShare = 0.75
	uncertainTime  = 1500 * time.Millisecond
)

// quotas holds what this node knows of tenants' quotas, as an entry and as a holder.
type quotas struct {
	groups [quotaGroups]quotaGroup
	// tenants holds the state of the tenants of the plan that have a quota, by name.
	tenants map[string]*tenantQuota
	// viewDue is when the holders are worked out next.
	viewDue time.Time
	// steppedAt is the time of the last step that this node noticed.
	steppedAt time.Time
}

// quotaGroup is a group of tenants that have the same holder.
type quotaGroup struct {
	index   int
	holder  NodeID
	tenants []*tenantQuota
	// active holds the tenants that may want tokens: a plan may have thousands of others.
	active []*tenantQuota
	// grantFrom is when this node may grant tokens, or zero if it is not the holder.
	grantFrom time.Time
	// fraction is the part of the known members that this node hears and that use its grants.
	fraction float64
	// request is the request in flight, or nil.
	request *quotaRequest
	// fallback is set while this entry uses fixed shares.
	fallback bool
	// lostSince is when the holder first did not grant, or zero.
	lostSince time.Time
	// probeAt is the earliest time of the next request while the holder is lost.
	probeAt time.Time
	// waiting holds the calls that wait for tokens, in order of arrival.
	waiting []*call
}

// tenantQuota is the state of one tenant's quota.
type tenantQuota struct {
	name  string
	limit quota.Limit
	group *quotaGroup
	lease quota.Lease
	share quota.Share
	// active is set while the tenant is one of the group's active tenants.
	active bool
	// shareStarted is the loss of the holder for which the share was started.
	shareStarted time.Time
	// bucket holds the tokens if this node is the holder, or is nil.
	bucket *quota.Bucket
}

// quotaRequest is a request for tokens in flight.
type quotaRequest struct {
	id     uint64
	sent   time.Time
	wanted []quotaWant
}

// quotaWant is a part of a request for one tenant.
type quotaWant struct {
	tenant *tenantQuota
	want   quota.Want
	// waiting is the number of calls that waited when the request was sent.
	waiting int
}

func (r *Reducer) quotasOn() bool { return r.Settings.QuotaWindow > 0 }

func (r *Reducer) quotaBounds() quota.Bounds {
	return quota.Bounds{Window: r.Settings.QuotaWindow, Overage: r.Settings.QuotaOverage, Slack: r.Settings.QuotaSlack}
}

// quotaPlanChanged applies the limits of the plan in force and drops the state of tenants that have
// none. Calls that wait for a token of such a tenant continue without one, unless it is gone.
func (r *Reducer) quotaPlanChanged() {
	former := r.quotas.tenants
	r.quotas.tenants = map[string]*tenantQuota{}
	for i := range r.quotas.groups {
		r.quotas.groups[i].index = i
		r.quotas.groups[i].tenants = nil
	}
	for _, t := range r.tenants.tenants {
		if t.RatePerSecond <= 0 {
			continue
		}
		q := former[t.Name]
		if q == nil {
			q = &tenantQuota{name: t.Name, group: &r.quotas.groups[subsetKey(t.Name)%quotaGroups]}
		}
		q.limit = quota.Limit{Rate: t.RatePerSecond, Burst: t.Burst}
		q.group.tenants = append(q.group.tenants, q)
		r.quotas.tenants[t.Name] = q
	}
	for i := range r.quotas.groups {
		g := &r.quotas.groups[i]
		g.active = slices.DeleteFunc(g.active, func(q *tenantQuota) bool { return r.quotas.tenants[q.name] != q })
		r.endQuotaWait(g, func(c *call) bool { return r.quotas.tenants[c.quota.name] != c.quota }, r.tenantWithoutQuota)
	}
}

// tenantWithoutQuota continues a call whose tenant lost its quota while it waited.
func (r *Reducer) tenantWithoutQuota(c *call) {
	for _, t := range r.tenants.tenants {
		if t.Name == c.quota.name {
			r.sendAdmitted(c)
			return
		}
	}
	r.reject(c, OutcomeNotRun, ProblemUnauthorized)
}

// admitByQuota sends a call on if its tenant has a token for it, lets it wait for one, or rejects it.
func (r *Reducer) admitByQuota(c *call) {
	if c.tenant != nil && r.quotasOn() {
		c.quota = r.quotas.tenants[c.tenant.Name]
	}
	if c.quota == nil {
		r.sendAdmitted(c)
		return
	}
	q := c.quota
	r.refreshQuotaHolders()
	q.arrived(r.now)
	if q.lease.Take(r.now) {
		r.sendAdmitted(c)
		if !q.lease.Want(r.now, 0).IsZero() {
			r.requestQuota(q.group)
		}
		return
	}
	g := q.group
	switch {
	case !g.lostSince.IsZero() && (g.request != nil || r.now.Before(g.probeAt)):
		r.admitByShare(c)
	case !q.lease.MayAsk(r.now) || g.waitingOf(q) >= maxQuotaWaiting:
		r.rejectOverQuota(c, q.lease.AskAt())
	default:
		c.quotaDeadline = r.now.Add(maxQuotaWait)
		g.waiting = append(g.waiting, c)
		r.requestQuota(g)
	}
}

// arrived counts a call of the tenant.
func (q *tenantQuota) arrived(now time.Time) {
	q.lease.Arrived(now)
	if !q.active {
		q.active = true
		q.group.active = append(q.group.active, q)
	}
}

// waitingOf returns the number of calls of a tenant that wait for tokens.
func (g *quotaGroup) waitingOf(q *tenantQuota) int {
	n := 0
	for _, c := range g.waiting {
		if c.quota == q {
			n++
		}
	}
	return n
}

// admitByShare sends a call on if the entry's fixed share of the limit has a token, or rejects it.
func (r *Reducer) admitByShare(c *call) {
	q := c.quota
	g := q.group
	if !g.fallback {
		// The holder counts only the entries that use its grants.
		g.fallback = true
		r.reportQuotaHolders()
	}
	rate := q.limit.Rate / float64(max(1, len(r.members.order)))
	if r.now.Before(g.lostSince.Add(uncertainTime)) {
		rate *= uncertainShare
	}
	if !r.fleetKnown() {
		rate = 0
	}
	if !q.shareStarted.Equal(g.lostSince) {
		q.shareStarted = g.lostSince
		q.share.Start(r.now, rate, r.random.Float64())
	}
	if !q.share.Take(r.now, rate, q.limit.Rate) {
		r.rejectOverQuota(c, q.share.Next(r.now, rate, q.limit.Rate))
		return
	}
	r.noteCallDecision(DecisionQuotaAdmitted, c, Decision{Reason: "fixed-share"})
	r.sendAdmitted(c)
}

// fleetKnown reports whether this process has had the time to learn of the other members. Before,
// its share of a limit would be too large.
func (r *Reducer) fleetKnown() bool {
	return r.membersWereListed || r.now.Sub(r.startedAt) >= maxSilenceInRegion
}

const (
	// minQuotaRetry and maxQuotaRetry bound the time after which a call over the quota may be
	// sent again.
	minQuotaRetry = 100 * time.Millisecond
	maxQuotaRetry = 5 * time.Second
)

// rejectOverQuota rejects a call whose tenant has no token until a time at the earliest. Callers are
// asked to return at different times after that.
func (r *Reducer) rejectOverQuota(c *call, tokensAt time.Time) {
	wait := min(max(tokensAt.Sub(r.now), minQuotaRetry), maxQuotaRetry)
	c.quotaRetryAt = r.now.Add(wait + r.jitter(wait))
	r.reject(c, OutcomeNotRun, ProblemQuotaExceeded)
}

// endQuotaWait ends the wait of the calls of a group that match, in order of arrival. A call whose
// caller left is dropped: its handler ends it.
func (r *Reducer) endQuotaWait(g *quotaGroup, matches func(*call) bool, end func(*call)) {
	waiting := g.waiting
	g.waiting = nil
	var ended []*call
	for _, c := range waiting {
		switch {
		case c.answered || c.callerLeft:
		case matches(c):
			ended = append(ended, c)
		default:
			g.waiting = append(g.waiting, c)
		}
	}
	for _, c := range ended {
		end(c)
	}
}

// forgetQuotaWait removes a call that ended from the calls that wait for tokens.
func (r *Reducer) forgetQuotaWait(c *call) {
	if c.quota != nil {
		g := c.quota.group
		g.waiting = slices.DeleteFunc(g.waiting, func(w *call) bool { return w == c })
	}
}

// quotaTick works out the holders and ends waits that are too long.
func (r *Reducer) quotaTick() {
	if !r.quotasOn() {
		// Calls may still wait if the settings have just changed.
		for i := range r.quotas.groups {
			if len(r.quotas.groups[i].waiting) > 0 {
				r.endQuotaWait(&r.quotas.groups[i], func(*call) bool { return true }, r.sendAdmitted)
			}
		}
		return
	}
	r.refreshQuotaHolders()
	for i := range r.quotas.groups {
		g := &r.quotas.groups[i]
		if len(g.waiting) > 0 && !r.now.Before(g.waiting[0].quotaDeadline) {
			r.quotaHolderFailed(g)
			r.quotaHolderLost(g)
			r.endQuotaWait(g, func(c *call) bool { return !r.now.Before(c.quotaDeadline) }, r.admitByShare)
		}
		if g.request != nil && !r.now.Before(g.request.sent.Add(quota.AheadLifetime)) {
			g.request = nil
		}
		if len(g.waiting) > 0 {
			r.requestQuota(g)
		}
	}
}
