package reducer

import (
	"slices"
	"time"
)

// requestQuota asks a group's holder for what its tenants want, unless a request is in flight. The
// tenants of the group share the request.
func (r *Reducer) requestQuota(g *quotaGroup) {
	lost := !g.lostSince.IsZero()
	if g.request != nil || (lost && r.now.Before(g.probeAt)) {
		return
	}
	request := &quotaRequest{sent: r.now}
	var wanted []QuotaTokens
	g.active = slices.DeleteFunc(g.active, func(q *tenantQuota) bool {
		q.active = !q.lease.Idle(r.now) || g.waitingOf(q) > 0
		return !q.active
	})
	for _, q := range g.active {
		waiting := g.waitingOf(q)
		want := q.lease.Want(r.now, waiting)
		if want.IsZero() {
			continue
		}
		request.wanted = append(request.wanted, quotaWant{tenant: q, want: want, waiting: waiting})
		wanted = append(wanted, QuotaTokens{Tenant: q.name, Tokens: want.Demand, Ahead: want.Ahead, Held: want.Held})
	}
	if len(wanted) == 0 {
		return
	}
	request.id = r.nextSequence()
	g.request = request
	g.probeAt = r.now.Add(quotaProbePeriod)
	if g.holder.IsZero() {
		r.quotaRequestFailed(QuotaRequestFailed{Request: request.id})
		return
	}
	if g.holder == r.selfID() {
		granted, ok := r.grantQuota(r.selfID(), wanted)
		r.quotaAnswered(QuotaAnswered{Request: request.id, Holder: ok, Granted: granted})
		return
	}
	r.counts.QuotaRequests++
	r.emit(RequestQuota{Request: request.id, Target: g.holder, Wanted: wanted, Uptime: r.uptime()})
}

// quotaGroupOf returns the group whose request in flight has an ID, or nil.
func (r *Reducer) quotaGroupOf(request uint64) *quotaGroup {
	for i := range r.quotas.groups {
		if g := &r.quotas.groups[i]; g.request != nil && g.request.id == request {
			return g
		}
	}
	return nil
}

// quotaRequestFailed handles a request that its holder did not answer.
func (r *Reducer) quotaRequestFailed(e QuotaRequestFailed) {
	if g := r.quotaGroupOf(e.Request); g != nil {
		r.quotaHolderFailed(g)
	}
	r.quotaAnswered(QuotaAnswered{Request: e.Request})
}

// quotaAnswered distributes granted tokens to the calls that wait.
func (r *Reducer) quotaAnswered(e QuotaAnswered) {
	g := r.quotaGroupOf(e.Request)
	if g == nil {
		return
	}
	request := g.request
	g.request = nil
	if !e.Holder {
		r.quotaHolderLost(g)
		r.endQuotaWait(g, func(*call) bool { return true }, r.admitByShare)
		return
	}
	g.lostSince = time.Time{}
	if g.fallback {
		g.fallback = false
		r.reportQuotaHolders()
	}
	if p := r.members.byIncarnation[g.holder.Incarnation()]; p != nil {
		p.quotaAnsweredAt = r.now
		p.quotaFailedAt = time.Time{}
	}
	granted := map[string]int{}
	for _, t := range e.Granted {
		granted[t.Tenant] = t.Tokens
	}
	for _, w := range request.wanted {
		q := w.tenant
		still := 0
		for _, c := range g.waiting {
			if c.quota == q && !c.arrived.After(request.sent) && !c.callerLeft {
				still++
			}
		}
		gaveUp := max(0, w.waiting-still)
		q.lease.Granted(r.now, request.sent, w.want, granted[q.name], gaveUp, q.limit, r.quotaBounds(), r.random.Float64())
		r.spendLease(g, q)
	}
	r.requestQuota(g)
}

// spendLease sends on the calls of a tenant for which there are tokens. The others wait only if the
// holder may be asked at once.
func (r *Reducer) spendLease(g *quotaGroup, q *tenantQuota) {
	mayAsk := q.lease.MayAsk(r.now)
	admitted := map[*call]bool{}
	r.endQuotaWait(g, func(c *call) bool {
		if c.quota != q {
			return false
		}
		admitted[c] = q.lease.Take(r.now)
		return admitted[c] || !mayAsk
	}, func(c *call) {
		if !admitted[c] {
			r.rejectOverQuota(c, q.lease.AskAt())
			return
		}
		r.noteCallDecision(DecisionQuotaAdmitted, c, Decision{Reason: "granted"})
		r.sendAdmitted(c)
	})
}

// quotaHolderFailed notes that a group's holder did not answer.
func (r *Reducer) quotaHolderFailed(g *quotaGroup) {
	if p := r.members.byIncarnation[g.holder.Incarnation()]; p != nil {
		p.quotaFailedAt = r.now
	}
}

// quotaHolderLost notes that a group's holder does not grant.
func (r *Reducer) quotaHolderLost(g *quotaGroup) {
	if g.lostSince.IsZero() {
		g.lostSince = r.now
		g.probeAt = r.now.Add(quotaProbePeriod)
		r.noteDecision(Decision{Kind: DecisionQuotaHolderLost, Peer: g.holder.String(), Plan: r.planInForce.offset})
	}
}
