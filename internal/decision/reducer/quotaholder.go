package reducer

import (
	"slices"
	"strconv"
	"time"

	"github.com/tanagerline/tanagerline/internal/decision/quota"
)

const (
	// quotaViewPeriod is how often the holders are worked out.
	quotaViewPeriod = 20 * time.Millisecond
	// isolationSilence is the time without a report from anybody after which a holder takes
	// itself for cut off, in a fleet of at least minIsolationMembers. Each of them sends a heartbeat
	// every 400 ms.
	isolationSilence    = 500 * time.Millisecond
	minIsolationMembers = 4
	// regionSilenceMargin is added to ReportFar, in which each node of another region sends a report,
	// for the time after which a holder counts no node of a region from which it heard none.
	regionSilenceMargin = 200 * time.Millisecond
	// failedSilence is the time without a report after which a peer of another region is gone if a
	// request for tokens to it failed, too. A holder's reports reach other regions every second.
	failedSilence = 1500 * time.Millisecond
	// freezeThreshold is the gap in this process's time above which it takes itself for frozen. It is
	// shorter than the time in which another node becomes the holder and may grant (1.8 s after the
	// last report at the soonest), and longer than usual delays of a report.
	freezeThreshold = time.Second
	// youngUptime is the age of processes that take part in a common start, and youngShare the share
	// of the known members that must have been heard then. The directory still lists machines that
	// were taken away for good, a tenth of them or more on days with replacements.
	youngUptime = 3 * time.Second
	youngShare  = 0.7
	// uptimeRise is how fast the expected lead of a peer's uptime rises per second of this process's
	// time: more than two clocks differ in speed, and so slowly that a lead lowered by a late report is
	// forgotten within minutes.
	uptimeRise = 0.01
)

// quotaGroupKeys holds the part of the holders' order that belongs to each group.
var quotaGroupKeys = func() (keys [quotaGroups]uint64) {
	for i := range keys {
		keys[i] = subsetKey("quota-" + strconv.Itoa(i))
	}
	return keys
}()

// refreshQuotaHolders works out the holder of each group: the live member with the highest rendezvous
// hash.
func (r *Reducer) refreshQuotaHolders() {
	r.noteOwnFreeze()
	if r.now.Before(r.quotas.viewDue) {
		return
	}
	r.quotas.viewDue = r.now.Add(quotaViewPeriod)
	var best [quotaGroups]NodeID
	var bestOrder [quotaGroups]uint64
	consider := func(id NodeID, key uint64) {
		for i := range best {
			if order := subsetOrder(quotaGroupKeys[i], key); best[i].IsZero() || order > bestOrder[i] {
				best[i], bestOrder[i] = id, order
			}
		}
	}
	if !r.members.self.Leaving() {
		consider(r.selfID(), subsetKey(r.Self.Address))
	}
	nearLimit := r.quotaSilence()
	for _, p := range r.members.order {
		if p.tier != tierSelf && !p.member.Leaving() && r.quotaLive(p, nearLimit) {
			consider(p.member.ID(), p.subsetKey)
		}
	}
	for i := range r.quotas.groups {
		r.quotas.groups[i].index = i
		r.setQuotaHolder(&r.quotas.groups[i], best[i])
	}
	r.countQuotaMembers(nearLimit)
}

// setQuotaHolder changes the holder of a group. A holder grants nothing before entries have stopped to
// use the former one, and its buckets are empty then.
func (r *Reducer) setQuotaHolder(g *quotaGroup, holder NodeID) {
	if g.holder == holder {
		return
	}
	first := g.holder.IsZero()
	wait := maxSilenceInRegion
	if !first && r.quotaHolderGone(g.holder) {
		// Entries have missed it for nearly as long as this node.
		wait = heartbeatPeriod
	}
	if former := r.members.byIncarnation[g.holder.Incarnation()]; former != nil && !r.quotaLive(former, maxSilenceInRegion) {
		former.quotaDroppedAt = r.now
	}
	g.holder = holder
	g.request = nil
	g.grantFrom = time.Time{}
	if holder == r.selfID() {
		g.grantFrom = r.now.Add(wait)
	}
	r.emptyQuotaBuckets(g)
	r.reportQuotaHolders()
	if !first {
		r.noteDecision(Decision{Kind: DecisionQuotaHolderChanged, Peer: holder.String(), Reason: strconv.Itoa(g.index), Plan: r.planInForce.offset})
	}
	if len(g.waiting) > 0 {
		r.requestQuota(g)
	}
}

// quotaHolderGone reports whether a former holder ended, leaves, or has been silent until it takes
// itself for cut off from this node.
func (r *Reducer) quotaHolderGone(former NodeID) bool {
	if former == r.selfID() {
		return false
	}
	p := r.members.byIncarnation[former.Incarnation()]
	return p == nil || p.member.Leaving() || !r.quotaLive(p, r.quotaSilence())
}

func (r *Reducer) emptyQuotaBuckets(g *quotaGroup) {
	for _, q := range g.tenants {
		q.bucket = nil
	}
}

// quotaSilence returns the time without a report after which a peer of this region is not live: three
// heartbeats, or three presence reports where those are less frequent.
func (r *Reducer) quotaSilence() time.Duration {
	near := 0
	for _, p := range r.members.order {
		if p.near() {
			near++
		}
	}
	return max(maxSilenceInRegion, 3*time.Duration(near)*time.Second/presencePerSecond)
}

// quotaLive reports whether a peer reported within nearLimit, or within maxSilenceOtherRegion if it is
// in another region and has not failed to answer a request for tokens. Its answers count as reports.
func (r *Reducer) quotaLive(p *peer, nearLimit time.Duration) bool {
	if r.Settings.ReportNear <= 0 {
		return true
	}
	last := p.heardAt
	if p.quotaAnsweredAt.After(last) {
		last = p.quotaAnsweredAt
	}
	if !last.After(p.quotaDroppedAt) {
		// A former holder was not heard since.
		return false
	}
	limit := nearLimit
	if r.holdsQuotas(p) {
		// Holders report as often as nodes that watch the plan store.
		limit = maxSilenceInRegion
	}
	if p.tier == tierOtherRegion {
		limit = maxSilenceOtherRegion
		if !p.quotaFailedAt.IsZero() && r.now.Sub(p.quotaFailedAt) < maxSilenceOtherRegion {
			limit = failedSilence
		}
	}
	return r.now.Sub(last) < limit
}

// quotaHolderMark returns the mark of a holder, which is not zero. Two holders may have the same mark:
// then both count an entry that uses one of them.
func quotaHolderMark(holder NodeID) byte {
	return byte(subsetOrder(0, holder.Incarnation())%255) + 1
}

// quotaHolderMarks returns the marks of the holders that this entry uses, a byte for each group. It
// is zero for a group for which the entry uses fixed shares.
func (r *Reducer) quotaHolderMarks() uint64 {
	var marks uint64
	for i := range r.quotas.groups {
		if g := &r.quotas.groups[i]; !g.fallback && !g.holder.IsZero() {
			marks |= uint64(quotaHolderMark(g.holder)) << (8 * i)
		}
	}
	return marks
}

// reportQuotaHolders makes reports due now, because holders count the entries that use them.
func (r *Reducer) reportQuotaHolders() {
	r.reportSoon()
	r.reportSchedule.farDue = r.now
}

// addQuotaHolders adds the holders of this region to the receivers of a report.
func (r *Reducer) addQuotaHolders(receivers []string) []string {
	if !r.quotasOn() {
		return receivers
	}
	receivers = slices.Clone(receivers)
	for i := range r.quotas.groups {
		p := r.members.byIncarnation[r.quotas.groups[i].holder.Incarnation()]
		if p != nil && p.near() && !slices.Contains(receivers, p.member.spec.Address) {
			receivers = append(receivers, p.member.spec.Address)
		}
	}
	return receivers
}

// holdsQuotas reports whether a peer is the holder of a group of tenants' quotas.
func (r *Reducer) holdsQuotas(p *peer) bool {
	if !r.quotasOn() {
		return false
	}
	for i := range r.quotas.groups {
		if r.quotas.groups[i].holder == p.member.ID() {
			return true
		}
	}
	return false
}

// holdsOwnQuotas reports whether this node is the holder of a group of tenants' quotas.
func (r *Reducer) holdsOwnQuotas() bool {
	self := r.selfID()
	return r.quotasOn() && slices.ContainsFunc(r.quotas.groups[:], func(g quotaGroup) bool { return g.holder == self })
}

// countQuotaMembers works out the fraction of the known members that this node hears and whose entries
// use it as the holder, for each group.
func (r *Reducer) countQuotaMembers(nearLimit time.Duration) {
	hears := r.quotaHearing(nearLimit)
	known := r.knownMembers()
	mark := quotaHolderMark(r.selfID())
	var counted [quotaGroups]int
	for _, p := range r.members.order {
		if p.tier == tierSelf || p.member.Leaving() || !hears(p) {
			continue
		}
		for i := range counted {
			if r.Settings.ReportNear <= 0 || byte(p.quotaHolders>>(8*i)) == mark {
				counted[i]++
			}
		}
	}
	young := r.fleetYoung(known)
	for i := range counted {
		g := &r.quotas.groups[i]
		g.fraction = float64(1+counted[i]) / float64(known)
		if young && r.now.Before(g.grantFrom) {
			g.grantFrom = r.now
		}
	}
}

// knownMembers returns the number of members, this node included, that don't leave.
func (r *Reducer) knownMembers() int {
	known := 1
	for _, p := range r.members.order {
		if p.tier != tierSelf && !p.member.Leaving() {
			known++
		}
	}
	return known
}

// quotaHearing returns the function that reports whether this node hears a peer.
func (r *Reducer) quotaHearing(nearLimit time.Duration) func(*peer) bool {
	if r.Settings.ReportNear <= 0 {
		return func(*peer) bool { return true }
	}
	regions := map[string]time.Time{}
	var last time.Time
	for _, p := range r.members.order {
		if p.heardAt.After(regions[p.member.Region()]) {
			regions[p.member.Region()] = p.heardAt
		}
		if p.heardAt.After(last) {
			last = p.heardAt
		}
	}
	if len(r.members.order) >= minIsolationMembers && r.now.Sub(last) > isolationSilence {
		return func(*peer) bool { return false }
	}
	return func(p *peer) bool {
		return r.quotaLive(p, nearLimit) &&
			(p.near() || r.now.Sub(regions[p.member.Region()]) < r.Settings.ReportFar+regionSilenceMargin)
	}
}

// fleetYoung reports whether all processes have just started, as after a loss of power at all nodes.
// None of them holds quotas then, so that a holder need not wait for a former one.
func (r *Reducer) fleetYoung(known int) bool {
	if r.Settings.ReportNear <= 0 || r.uptime() > youngUptime || !r.membersWereListed {
		return false
	}
	young := 1
	for _, p := range r.members.order {
		if p.tier == tierSelf || p.uptimeNotedAt.IsZero() {
			continue
		}
		if p.uptimeAhead+r.uptime() > youngUptime {
			return false
		}
		young++
	}
	return float64(young) >= youngShare*float64(known)
}

// quotaRequested answers an entry's request for tokens.
func (r *Reducer) quotaRequested(e QuotaRequested) {
	reply := QuotaReply{Work: e.Work}
	if p := r.members.byIncarnation[e.Entry.Incarnation()]; p != nil {
		r.noteUptime(p, e.Uptime)
	}
	if r.quotasOn() && e.Holder == r.Self.Incarnation {
		r.refreshQuotaHolders()
		reply.Granted, reply.Holder = r.grantQuota(e.Entry, e.Wanted)
	}
	r.emit(reply)
}

// grantQuota grants tokens to an entry. It returns false if this node is not the holder of a tenant's
// group, or not yet.
func (r *Reducer) grantQuota(entry NodeID, wanted []QuotaTokens) ([]QuotaTokens, bool) {
	var granted []QuotaTokens
	for _, w := range wanted {
		q := r.quotas.tenants[w.Tenant]
		if q == nil {
			// The entry and this node have different plans.
			continue
		}
		g := q.group
		if g.grantFrom.IsZero() || r.now.Before(g.grantFrom) {
			return nil, false
		}
		if p := r.members.byIncarnation[entry.Incarnation()]; p != nil {
			p.quotaHolders &^= 0xff << (8 * g.index)
			p.quotaHolders |= uint64(quotaHolderMark(r.selfID())) << (8 * g.index)
		}
		if q.bucket == nil {
			q.bucket = quota.NewBucket(g.grantFrom)
		}
		want := quota.Want{Demand: w.Tokens, Ahead: w.Ahead, Held: w.Held}
		n := q.bucket.Grant(r.now, q.limit.Scaled(g.fraction), r.quotaBounds(), entry.Incarnation(), want)
		r.counts.QuotaTokensGranted += uint64(n)
		granted = append(granted, QuotaTokens{Tenant: w.Tenant, Tokens: n})
	}
	return granted, true
}

// uptime returns the time since this process started.
func (r *Reducer) uptime() time.Duration { return r.now.Sub(r.startedAt) }

// noteUptime compares a peer's uptime with this process's own time. If the peer's has advanced much
// further since it was noted last, this process was frozen and its clock did not run.
func (r *Reducer) noteUptime(p *peer, uptime time.Duration) {
	if uptime <= 0 {
		return
	}
	ahead := uptime - r.uptime()
	if p.uptimeNotedAt.IsZero() {
		p.uptimeAhead, p.uptimeNotedAt = ahead, r.now
		return
	}
	// Reports that queued up during a freeze arrive at once, so the expected lead must not follow them.
	expected := p.uptimeAhead + time.Duration(uptimeRise*float64(r.now.Sub(p.uptimeNotedAt)))
	if ahead > expected+freezeThreshold {
		r.frozen()
		return
	}
	p.uptimeAhead, p.uptimeNotedAt = min(ahead, expected), r.now
}

// noteOwnFreeze notices a freeze during which this process's clock ran.
func (r *Reducer) noteOwnFreeze() {
	if !r.quotas.steppedAt.IsZero() && r.now.Sub(r.quotas.steppedAt) > freezeThreshold {
		r.frozen()
	}
	r.quotas.steppedAt = r.now
}

// frozen makes this node start again as an entry and a holder after a freeze: other nodes may have
// taken its place, and its tokens may have expired.
func (r *Reducer) frozen() {
	for i := range r.quotas.groups {
		g := &r.quotas.groups[i]
		if !g.grantFrom.IsZero() {
			g.grantFrom = r.now.Add(maxSilenceInRegion)
		}
		r.emptyQuotaBuckets(g)
		for _, q := range g.tenants {
			q.lease.Drop()
		}
	}
	for _, p := range r.members.order {
		p.uptimeNotedAt = time.Time{}
	}
	r.noteDecision(Decision{Kind: DecisionQuotaHolderChanged, Reason: "frozen", Plan: r.planInForce.offset})
	r.introduce()
}
