package reducer

import (
	"cmp"
	"slices"
	"time"
)

// digest returns the summary of this node's state that starts an exchange.
func (r *Reducer) digest() Digest {
	return Digest{
		Address: r.Self.Address, Incarnation: r.Self.Incarnation, PlanOffset: r.planInForce.offset,
		LogNext: r.log.next, LogKnown: r.log.known,
		Members: len(r.members.peers), MembersHash: r.members.hash, Load: r.loadReport(),
		LeavingUnknown: !r.guard.leavingMemory.known, LeavingHash: r.guard.leaving.hash(),
		StoreEra: r.storeEra.era,
	}
}

// exchangeIfDue starts an exchange of state with a random peer, or with a seed if there is none,
// when one is due. The interval is random: half to one and a half exchange periods.
func (r *Reducer) exchangeIfDue() {
	if r.now.Before(r.members.exchangeDue) {
		return
	}
	jitter := time.Duration(r.random.Int64N(int64(r.Settings.ExchangePeriod)))
	r.members.exchangeDue = r.now.Add(r.Settings.ExchangePeriod/2 + jitter)
	if r.leavingUnknown() {
		r.members.exchangeDue = r.now.Add(leavingQueryPeriod)
	}
	p := r.randomPeer()
	switch {
	case p != nil:
		r.sendExchange(p)
	case len(r.Seeds) > 0:
		seed := r.Seeds[r.random.IntN(len(r.Seeds))]
		r.emit(SendExchange{Address: seed, Digest: r.digest(), Members: r.members.takeRecentMembers()})
	}
}

// askForPlan starts an exchange with a peer whose plan is newer, at most once per
// planAskPeriod.
func (r *Reducer) askForPlan(p *peer, offset int64) {
	if offset <= r.planInForce.offset || r.now.Before(r.members.planAskDue) || !r.mayFetchPlan(p, offset) {
		return
	}
	r.members.planAskDue = r.now.Add(planAskPeriod)
	r.sendExchange(p)
}

// sameRegionPlanWait is how long a node waits for a peer of its own region to have a plan
// before it fetches the plan from another region: plans are large, and traffic between
// regions is billed.
const sameRegionPlanWait = 600 * time.Millisecond

// mayFetchPlan reports whether the plan at offset may be fetched from the peer now.
func (r *Reducer) mayFetchPlan(p *peer, offset int64) bool {
	if p.tier != tierOtherRegion || r.Settings.ReportNear <= 0 || r.planInForce.offset == 0 {
		return true
	}
	if r.members.crossRegionPlanOffset < offset {
		r.members.crossRegionPlanOffset = offset
		r.members.crossRegionPlanDue = r.now.Add(sameRegionPlanWait)
	}
	return !r.now.Before(r.members.crossRegionPlanDue)
}

// sendExchange starts an exchange with the peer and sends the recent announcements along.
func (r *Reducer) sendExchange(p *peer) {
	r.emit(SendExchange{
		Address: p.member.ID().Address(), Digest: r.digest(), Members: r.members.takeRecentMembers(),
	})
}

// randomPeer returns a random reachable peer, or nil after four samples without one.
func (r *Reducer) randomPeer() *peer {
	others := len(r.members.order)
	for range 4 {
		if others == 0 {
			return nil
		}
		p := r.members.order[r.random.IntN(others)]
		if p.tier != tierSelf && !r.now.Before(p.avoidUntil) {
			return p
		}
	}
	return nil
}

// exchangeRequested merges the members a peer sent and replies with the state that the peer lacks.
func (r *Reducer) exchangeRequested(e ExchangeRequested) {
	for _, m := range e.Members {
		r.memberAnnounced(m)
	}
	r.notePeerStoreEra(e.Digest)
	r.peerToldMembers(e.Digest, e.Members)
	if p := r.members.peers[e.Digest.Address]; p != nil {
		p.reachable()
		r.askForPlan(p, e.Digest.PlanOffset)
	}
	reply := ExchangeReply{
		Work: e.Work, Digest: r.digest(), Suspects: r.suspects.newest(),
		Members: append(r.announcementsFor(e.Digest), r.leavingRunsFor(e.Digest)...),
	}
	if r.planInForce.offset > e.Digest.PlanOffset {
		plan := r.planInForce
		reply.Plan = &plan
	}
	if !e.Digest.LogKnown && r.log.known {
		if s, ok := r.log.snapshot(); ok {
			reply.State = &s
		}
	}
	r.emit(reply)
}

// announcementsFor returns the announcements that a peer with this digest may lack: all of
// them if it knows half as many members or fewer, and otherwise the recent ones, with a
// random sample if the hashes of the members differ.
func (r *Reducer) announcementsFor(d Digest) []Member {
	if d.Members*2 <= len(r.members.peers) {
		return r.allMembers()
	}
	members := r.members.takeRecentMembers()
	if d.MembersHash == r.members.hash {
		return members
	}
	for range min(maxRandomMembers, len(r.members.order)) {
		p := r.members.order[r.random.IntN(len(r.members.order))]
		members = append(members, p.member)
	}
	return members
}

// allMembers returns the announcements of all members, ordered by address.
func (r *Reducer) allMembers() []Member {
	members := make([]Member, 0, len(r.members.order))
	for _, p := range r.members.order {
		members = append(members, p.member)
	}
	slices.SortFunc(members, func(a, b Member) int {
		return cmp.Compare(a.ID().Address(), b.ID().Address())
	})
	return members
}

// exchangeReceived merges the state that a peer sent in an exchange.
func (r *Reducer) exchangeReceived(e ExchangeReceived) {
	for _, m := range e.Members {
		r.memberAnnounced(m)
	}
	r.notePeerStoreEra(e.Digest)
	r.peerToldMembers(e.Digest, e.Members)
	r.noteLeavingHolder(e.From, e.SelfVersion)
	for _, s := range e.Suspects {
		r.suspectHeard(s)
	}
	if e.State != nil && r.log.restore(*e.State) {
		r.logAdvanced()
	}
	if e.Plan != nil {
		r.peerPlanReceived(*e.Plan)
	}
	r.peerToldPlan(e.Digest)
	p := r.members.peers[e.From]
	if p == nil {
		return
	}
	p.reachable()
	if !e.Digest.Load.IsZero() {
		p.recordReport(e.Digest.Load, r.now, r.Settings.ReportPeriod)
	}
	r.askForPlan(p, e.Digest.PlanOffset)
}
