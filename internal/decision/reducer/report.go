package reducer

import (
	"slices"
	"time"
)

const (
	// introductionTime is how long after a change every report carries the node's
	// announcement, because datagrams can be lost.
	introductionTime = time.Second
	// introductionPeriod is the time between two reports that carry the announcement when it
	// has not changed.
	introductionPeriod = time.Second
	// minFarIntroductionPeriod is the same for reports to other regions, which relay it among
	// their own nodes. With many nodes it is longer: farIntroductionShare for each of them.
	minFarIntroductionPeriod = 3 * time.Second
	farIntroductionShare     = 50 * time.Millisecond
	// heartbeatPeriod is the time between two reports of an unchanged load, sent as heartbeats.
	heartbeatPeriod = 400 * time.Millisecond
	// maxSilenceInRegion and maxSilenceOtherRegion are the times without a report after which a peer of this
	// region or of another one is skipped: three heartbeats in this region, and three and a
	// half report intervals (ReportFar, 1 s by default) for other regions, so that one lost
	// datagram does not matter.
	maxSilenceInRegion    = 3 * heartbeatPeriod
	maxSilenceOtherRegion = 3500 * time.Millisecond
)

// reportSchedule holds when this node sends its next load reports and announcements.
type reportSchedule struct {
	// nearDue is the earliest time of the next report of a changed load to this region.
	nearDue time.Time
	// heartbeatDue is when a report goes to the entries that use this node's upstream even if
	// the load is unchanged.
	heartbeatDue time.Time
	// presenceDue is when the next report goes to the other nodes of this region.
	presenceDue time.Time
	// farDue is when the next report goes to other regions.
	farDue time.Time
	// introduceDue is when a report to this region next carries the announcement.
	introduceDue time.Time
	// farIntroduceDue is when a report to other regions next carries the announcement.
	farIntroduceDue time.Time
	// introduceUntil is the end of the time in which every report carries the announcement.
	introduceUntil time.Time
	// lastReported is the load in the last report to the entries that use this upstream.
	lastReported LoadReport
}

// reportSoon makes the next report to this region due now.
func (r *Reducer) reportSoon() {
	r.reportSchedule.nearDue = r.now
	r.reportSchedule.heartbeatDue = r.now
	r.reportSchedule.presenceDue = r.now
}

// introduce makes reports to all peers due now and includes the announcement for
// introductionTime.
func (r *Reducer) introduce() {
	r.reportSchedule.introduceUntil = r.now.Add(introductionTime)
	r.reportSchedule.farDue = r.now
	r.reportSchedule.farIntroduceDue = r.now
	r.reportSoon()
}

// report sends the load to the entries of this region that use this node's upstream when it has
// changed or a heartbeat is due, to the other nodes of the region often enough to show that
// this node is there, and to other regions every ReportFar.
func (r *Reducer) report() {
	if r.Settings.ReportNear <= 0 {
		return
	}
	t := &r.reportSchedule
	using, others := r.members.reportReceivers(r.members.peers[r.Self.Address])
	load := r.loadReport()
	changed := load != t.lastReported
	if !r.now.Before(t.heartbeatDue) || (changed && !r.now.Before(t.nearDue)) {
		t.lastReported = load
		t.nearDue = r.now.Add(r.nearPeriod(len(using)))
		t.heartbeatDue = r.now.Add(heartbeatPeriod)
		r.reportTo(using, r.introduction())
	}
	if !r.now.Before(t.presenceDue) {
		t.presenceDue = r.now.Add(r.presencePeriod(len(others)))
		r.reportTo(others, []Member{r.members.self})
	}
	if !r.now.Before(t.farDue) {
		t.farDue = r.now.Add(r.Settings.ReportFar)
		if r.now.Before(t.introduceUntil) {
			t.farDue = r.now.Add(introductionTime / 4)
		}
		r.reportToOtherRegions()
	}
}

// reportTo sends the load to nodes of this region.
func (r *Reducer) reportTo(addresses []string, members []Member) {
	if len(addresses) > 0 {
		r.emit(SendLoadReport{Addresses: addresses, Digest: r.loadDigest(), Members: members})
	}
}

// presencePeriod returns the time between two reports to the peers of this region that don't use
// this node's upstream. All of them count on the few nodes that watch the plan store or hold tenants'
// quotas, which therefore report as often as to entries that use them, as does a node that has changed.
func (r *Reducer) presencePeriod(peers int) time.Duration {
	if r.now.Before(r.reportSchedule.introduceUntil) || r.WatchesPlanStore() || r.holdsOwnQuotas() {
		return heartbeatPeriod
	}
	return max(heartbeatPeriod, time.Duration(peers)*time.Second/presencePerSecond)
}

// farReceivers is the number of nodes of another region that get a report while a changed
// announcement is being sent, because one of them may be gone. Otherwise one node gets it.
const farReceivers = 2

// reportToOtherRegions sends a report to one or a few nodes of each other region, which relay it
// within their region. Traffic between regions is paid for and must not grow with the
// square of the fleet's size.
func (r *Reducer) reportToOtherRegions() {
	addresses := r.farAddresses()
	if len(addresses) == 0 {
		return
	}
	tell := SendLoadReport{Addresses: addresses, Digest: r.loadDigest()}
	if r.now.Before(r.reportSchedule.introduceUntil) || !r.now.Before(r.reportSchedule.farIntroduceDue) {
		r.reportSchedule.farIntroduceDue = r.now.Add(r.farIntroductionPeriod())
		tell.Members = []Member{r.members.self}
	}
	r.emit(tell)
}

// farIntroductionPeriod returns the time between two reports to other regions that carry an
// unchanged announcement.
func (r *Reducer) farIntroductionPeriod() time.Duration {
	return max(minFarIntroductionPeriod, time.Duration(len(r.members.order))*farIntroductionShare)
}

// farAddresses returns the addresses in other regions that get the next report: for each
// region, random nodes among those that reported recently, or among all if none did.
func (r *Reducer) farAddresses() []string {
	receivers := 1
	if r.now.Before(r.reportSchedule.introduceUntil) {
		receivers = farReceivers
	}
	names, heard, silent := r.farNodes()
	var addresses []string
	for _, name := range names {
		known := heard[name]
		if len(known) == 0 {
			known = silent[name]
		}
		first := r.random.IntN(len(known))
		for i := range min(receivers, len(known)) {
			addresses = append(addresses, known[(first+i)%len(known)])
		}
	}
	return addresses
}

// farNodes returns the names of the other regions and, by region, the addresses of the nodes
// that reported recently and of those that did not.
func (r *Reducer) farNodes() (names []string, heard, silent map[string][]string) {
	heard = map[string][]string{}
	silent = map[string][]string{}
	for _, p := range r.members.order {
		if p.tier != tierOtherRegion || p.member.Leaving() {
			continue
		}
		region := p.member.Region()
		if !slices.Contains(names, region) {
			names = append(names, region)
		}
		if r.reportedRecently(p) {
			heard[region] = append(heard[region], p.member.spec.Address)
		} else {
			silent[region] = append(silent[region], p.member.spec.Address)
		}
	}
	return names, heard, silent
}

// relayReport relays a report that came directly from another region within this region: to the
// entries that use the peer's upstream, or to all nodes if it carries an announcement or the peer
// holds tenants' quotas, because every entry must notice soon when a holder is gone. The holders of this region get all
// reports, because they must know which entries use them. A report whose sender is not the peer itself was relayed already and is not relayed again.
func (r *Reducer) relayReport(e LoadReportReceived, p *peer) {
	if p.tier != tierOtherRegion || e.From != p.member.spec.Address {
		return
	}
	receivers, others := r.members.reportReceivers(p)
	if len(e.Members) > 0 || r.holdsQuotas(p) {
		receivers = slices.Concat(receivers, others)
	} else {
		receivers = r.addQuotaHolders(receivers)
	}
	if len(receivers) > 0 {
		r.emit(SendLoadReport{Addresses: receivers, Digest: e.Digest, Members: e.Members})
	}
}

// nearPeriod returns the minimum time between two reports of a changed load to the entries that
// use this upstream. It grows with the number of peers, so that the node sends at most ReportsPerSecond.
func (r *Reducer) nearPeriod(peers int) time.Duration {
	period := r.Settings.ReportNear
	if r.Settings.ReportsPerSecond <= 0 {
		return period
	}
	return max(period, time.Duration(peers)*time.Second/time.Duration(r.Settings.ReportsPerSecond))
}

// introduction returns this node's announcement when the next report to this region must
// carry it, and nil otherwise.
func (r *Reducer) introduction() []Member {
	t := &r.reportSchedule
	if r.now.Before(t.introduceUntil) || !r.now.Before(t.introduceDue) {
		t.introduceDue = r.now.Add(introductionPeriod)
		return []Member{r.members.self}
	}
	return nil
}

// loadDigest returns the digest that a report carries, without the state of the log and of
// the members.
func (r *Reducer) loadDigest() Digest {
	d := Digest{
		Address: r.Self.Address, Incarnation: r.Self.Incarnation, PlanOffset: r.planInForce.offset, Load: r.loadReport(),
		PlanStoreReachable: r.plansReachable,
		LeavingUnknown:     !r.guard.leavingMemory.known, LeavingHash: r.guard.leaving.hash(),
		StoreEra: r.storeEra.era,
	}
	if r.quotasOn() {
		d.Uptime = r.uptime()
		d.QuotaHolders = r.quotaHolderMarks()
	}
	return d
}

// loadReportReceived handles a peer's load report.
func (r *Reducer) loadReportReceived(e LoadReportReceived) {
	known := r.members.peers[e.Digest.Address]
	for _, m := range e.Members {
		r.introduced(m)
	}
	r.notePeerStoreEra(e.Digest)
	r.peerToldMembers(e.Digest, e.Members)
	r.peerToldPlan(e.Digest)
	p := r.members.peers[e.Digest.Address]
	if p == nil || p.tier == tierSelf || p.member.ID().Incarnation() != e.Digest.Incarnation {
		return
	}
	if e.From == e.Digest.Address {
		lacking := r.leavingRunsToReport(e)
		if known != p && len(e.Members) > 0 {
			// The peer is new here, so it may not know this node either.
			lacking = append(lacking, r.members.self)
		}
		if len(lacking) > 0 {
			r.emit(SendLoadReport{Addresses: []string{e.Digest.Address}, Digest: r.loadDigest(), Members: lacking})
		}
	}
	if r.now.After(p.heardAt) {
		p.heardAt = r.now
	}
	p.plansReachable = e.Digest.PlanStoreReachable
	p.quotaHolders = e.Digest.QuotaHolders
	r.noteUptime(p, e.Digest.Uptime)
	p.reachable()
	if !e.Digest.Load.IsZero() {
		p.recordReport(e.Digest.Load, r.now, 0)
	}
	r.askForPlan(p, e.Digest.PlanOffset)
	r.relayReport(e, p)
}

// maxReportDelay is the longest delay with which a report of an earlier process at an
// address may still arrive.
const maxReportDelay = 300 * time.Millisecond

// introduced handles an announcement that came with its own process's report. It replaces a
// different process at the address even if that one's start time is later, because a clock
// that was set back can reverse the order of start times.
func (r *Reducer) introduced(m Member) {
	r.learnLeavingRuns(m)
	known := r.members.peers[m.ID().Address()]
	if known == nil || known.tier == tierSelf || known.member.ID() == m.ID() || m.supersedes(known.member) {
		if known != nil && known.tier != tierSelf {
			known.heardAt = time.Time{}
		}
		r.memberAnnounced(m)
		return
	}
	if r.now.Sub(known.heardAt) > maxReportDelay {
		r.members.remove(known)
		r.members.merge(m, r.planInForceIndex, r.now, r.memberLifetime())
	}
}

// reportedRecently reports whether a peer's last report is younger than maxSilenceInRegion or maxSilenceOtherRegion.
// It is always true when load reports are switched off.
func (r *Reducer) reportedRecently(p *peer) bool {
	if r.Settings.ReportNear <= 0 {
		return true
	}
	limit := maxSilenceInRegion
	if p.tier == tierOtherRegion {
		limit = maxSilenceOtherRegion
	}
	return r.now.Sub(p.heardAt) < limit
}

// membersListed applies the record of runs that are leaving, and adds the members of a
// directory whose addresses are unknown. For known addresses the peers' own announcements are more
// current.
func (r *Reducer) membersListed(e MembersListed) {
	r.membersWereListed = true
	r.leavingRunsListed(e.LeavingRuns)
	for _, m := range e.Members {
		if r.members.peers[m.ID().Address()] == nil {
			r.memberAnnounced(m)
			r.introduce()
		}
	}
	r.directoryTold()
}
