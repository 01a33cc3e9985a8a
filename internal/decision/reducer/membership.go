package reducer

import (
	"hash/fnv"
	"slices"
	"time"
)

// tier orders upstreams by their distance from this node.
type tier int

const (
	// tierSelf is this node.
	tierSelf tier = iota
	// tierZone is another node of this zone.
	tierZone
	// tierRegion is another zone of this region.
	tierRegion
	// tierOtherRegion is another region.
	tierOtherRegion
	// tierCount is the number of tiers.
	tierCount
)

const (
	// maxRecentMembers limits the recent announcements that one exchange carries.
	maxRecentMembers = 48
	// recentMemberRounds is the number of exchanges that repeat a recent announcement.
	recentMemberRounds = 12
	// unreachableBackoff is how long an unreachable peer is avoided after its first
	// failure; it doubles with every further one, up to maxUnreachable.
	unreachableBackoff = 500 * time.Millisecond
	maxUnreachable     = 15 * time.Second
	// maxRandomMembers is the number of random announcements added to a reply when
	// the two nodes' member hashes differ.
	maxRandomMembers = 16
	// planAskPeriod is the minimum time between two requests to peers for a newer plan.
	planAskPeriod = 200 * time.Millisecond
)

// Digest summarizes a node's state. Exchanges and load reports carry it.
type Digest struct {
	// Address and Incarnation identify the node's process.
	Address     string
	Incarnation uint64
	// PlanOffset is the log offset of the plan in force, or zero.
	PlanOffset int64
	// LogNext is the next log offset that the node will read.
	LogNext int64
	// LogKnown reports whether the node has derived the log's complete state.
	LogKnown bool
	// Members is the number of members known to the node.
	Members int
	// MembersHash is the XOR of the hashes of all known announcements.
	MembersHash uint64
	// PlanStoreReachable reports whether the node can reach the plan store.
	PlanStoreReachable bool
	// Uptime is the time since the process's start, and QuotaHolders has a byte for each group of
	// tenants, the mark of the holder that the entry uses. Both are zero where quotas are off.
	Uptime       time.Duration
	QuotaHolders uint64
	// LeavingUnknown is set while the node doesn't know which runs of its upstream have left, and
	// LeavingHash is the hash of those that it knows.
	LeavingUnknown bool
	LeavingHash    uint64
	// StoreEra is the highest era of the store that the node knows of, or zero.
	StoreEra uint64
	// Load is the load of the node's guard.
	Load LoadReport
}

// membership holds the known members of the fleet, this node included.
type membership struct {
	self Member
	// peers holds the members by peer address.
	peers         map[string]*peer
	byIncarnation map[uint64]*peer
	// leavingRuns holds the leaving runs of the upstreams at the members' addresses, if there are any.
	leavingRuns map[string]leavingRuns
	// services holds the members that have an upstream, by service name.
	services map[string]*servicePeers
	// order holds the members in the order in which their addresses became known.
	order []*peer
	// recentMembers holds the recent announcements that exchanges still carry, oldest first.
	recentMembers []recentMember
	// hash is the XOR of the hashes of all known announcements.
	hash uint64
	// exchangeDue is when this node begins its next exchange.
	exchangeDue time.Time
	// planAskDue is the earliest time at which a peer may be asked for a plan again.
	planAskDue time.Time
	// crossRegionPlanOffset is the offset of a newer plan that another region has, and crossRegionPlanDue the
	// earliest time at which it may be fetched from there.
	crossRegionPlanOffset int64
	crossRegionPlanDue    time.Time
	// evacuatedZones holds the availability zones whose upstreams get no new work.
	evacuatedZones []string
	// generation counts the changes of the services and of their members, from one.
	generation int
	// refreshDue is when expiry and outlier ejection run next.
	refreshDue time.Time
}

// recentMember is a recent announcement that exchanges still carry.
type recentMember struct {
	address string
	// rounds is the number of exchanges left that will carry the announcement.
	rounds int
}

// servicePeers holds the members that have an upstream of one service.
type servicePeers struct {
	// tiers holds the members by distance, nearest first.
	tiers [tierCount][]*peer
	all   []*peer
	// subset holds the members that this entry sends work to, by distance, once subsetKnown.
	subset      [tierCount][]*peer
	subsetKnown bool
	// medianServiceTime is the median smoothed service time of short work.
	medianServiceTime time.Duration
	// roundRobinIndex is the index in all of the last round-robin choice.
	roundRobinIndex int
}

func (m *membership) init(self Member) {
	m.self = self
	m.peers = map[string]*peer{}
	m.byIncarnation = map[uint64]*peer{}
	m.leavingRuns = map[string]leavingRuns{}
	m.services = map[string]*servicePeers{}
}

// merge stores an announcement and extends the member's expiry to lifetime from now,
// unless a later announcement for the same address is known.
func (m *membership) merge(member Member, index planIndex, now time.Time, lifetime time.Duration) {
	address := member.ID().Address()
	known := m.peers[address]
	if known != nil && !member.supersedes(known.member) {
		return
	}
	expires := now.Add(lifetime)
	switch {
	case known == nil:
		known = newPeer(member, m.tierOf(member))
		m.peers[address] = known
		m.order = append(m.order, known)
	case known.member.ID() != member.ID():
		delete(m.byIncarnation, known.member.ID().Incarnation())
		m.hash ^= memberHash(known.member)
		fresh := newPeer(member, m.tierOf(member))
		m.peers[address] = fresh
		m.order[slices.Index(m.order, known)] = fresh
		known = fresh
	default:
		m.hash ^= memberHash(known.member)
		known.announced(member)
	}
	known.expires = expires
	m.hash ^= memberHash(member)
	m.byIncarnation[member.ID().Incarnation()] = known
	m.markRecent(address)
	m.rebuildServices(index)
}

// markRecent marks the announcement of an address as recent, so that the next exchanges carry
// it. When the list is full, the oldest entry is dropped.
func (m *membership) markRecent(address string) {
	m.recentMembers = slices.DeleteFunc(m.recentMembers, func(h recentMember) bool { return h.address == address })
	if len(m.recentMembers) == maxRecentMembers {
		m.recentMembers = slices.Delete(m.recentMembers, 0, 1)
	}
	m.recentMembers = append(m.recentMembers, recentMember{address: address, rounds: recentMemberRounds})
}

// takeRecentMembers returns the recent announcements for one exchange and counts that exchange
// against the rounds they have left.
func (m *membership) takeRecentMembers() []Member {
	var members []Member
	for i := range m.recentMembers {
		m.recentMembers[i].rounds--
		if p := m.peers[m.recentMembers[i].address]; p != nil {
			members = append(members, p.member)
		}
	}
	m.recentMembers = slices.DeleteFunc(m.recentMembers, func(h recentMember) bool { return h.rounds <= 0 })
	return members
}

// remove deletes a member. The caller removes it from services, by dropFromServices or replan.
func (m *membership) remove(p *peer) {
	id := p.member.ID()
	delete(m.peers, id.Address())
	delete(m.byIncarnation, id.Incarnation())
	m.hash ^= memberHash(p.member)
	m.order = slices.DeleteFunc(m.order, func(o *peer) bool { return o == p })
}

// learnLeavingRuns merges the leaving runs of a member's announcement.
func (m *membership) learnLeavingRuns(member Member) {
	address := member.ID().Address()
	known := m.leavingRuns[address]
	if !known.merge(member.spec.LeavingRuns) {
		return
	}
	m.leavingRuns[address] = known
	if p := m.peers[address]; p != nil {
		p.runLeft = known.include(p.member.run())
	}
}

// rebuildServices rebuilds the services and their tiers, applying the policies of the plan. The
// median and the round-robin position of each service are kept.
func (m *membership) rebuildServices(index planIndex) {
	m.generation++
	services := map[string]*servicePeers{}
	for _, p := range m.order {
		name := p.member.Service()
		if name == "" {
			continue
		}
		s := services[name]
		if s == nil {
			s = &servicePeers{}
			if old := m.services[name]; old != nil {
				s.medianServiceTime = old.medianServiceTime
				s.roundRobinIndex = old.roundRobinIndex
			}
			services[name] = s
		}
		p.applyPolicy(index[name])
		p.evacuated = slices.Contains(m.evacuatedZones, p.member.Zone())
		p.runLeft = m.leavingRuns[p.member.ID().Address()].include(p.member.run())
		s.all = append(s.all, p)
		s.tiers[p.tier] = append(s.tiers[p.tier], p)
	}
	m.services = services
}

// tierOf returns the distance tier of a member as seen from this node.
func (m *membership) tierOf(member Member) tier {
	switch {
	case member.ID() == m.self.ID():
		return tierSelf
	case member.Region() != m.self.Region():
		return tierOtherRegion
	case member.Zone() != m.self.Zone():
		return tierRegion
	default:
		return tierZone
	}
}

// refresh removes expired members without attempts in flight and updates the median
// service times and ejections. It runs at most once every 100 ms.
func (m *membership) refresh(now time.Time, settings Settings) {
	if now.Before(m.refreshDue) {
		return
	}
	m.refreshDue = now.Add(100 * time.Millisecond)
	var expired []*peer
	for _, p := range m.order {
		if p.tier != tierSelf && now.After(p.expires) && p.outstanding() == 0 {
			expired = append(expired, p)
		}
	}
	for _, p := range expired {
		m.remove(p)
		delete(m.leavingRuns, p.member.ID().Address())
	}
	if len(expired) > 0 {
		m.dropFromServices(expired)
	}
	for _, s := range m.services {
		s.refresh(now, settings)
	}
}

// dropFromServices removes expired members from the services and their tiers.
func (m *membership) dropFromServices(expired []*peer) {
	m.generation++
	gone := func(p *peer) bool { return slices.Contains(expired, p) }
	for _, s := range m.services {
		s.all = slices.DeleteFunc(s.all, gone)
		for i := range s.tiers {
			s.tiers[i] = slices.DeleteFunc(s.tiers[i], gone)
		}
		s.subsetKnown = false
	}
}

// peerDidNotAnswer starts or extends the backoff of a peer that did not answer an exchange.
func (m *membership) peerDidNotAnswer(address string, now time.Time) {
	if p := m.peers[address]; p != nil {
		p.unreachable(now)
	}
}

// memberHash hashes the address, the low 32 bits of the incarnation and the low 16 bits
// of the version of an announcement.
func memberHash(m Member) uint64 {
	h := fnv.New64a()
	spec := m.spec
	_, _ = h.Write([]byte(spec.Address))
	_, _ = h.Write([]byte{
		byte(spec.Incarnation), byte(spec.Incarnation >> 8), byte(spec.Incarnation >> 16),
		byte(spec.Incarnation >> 24), byte(spec.Version), byte(spec.Version >> 8),
	})
	return h.Sum64()
}

// ownReportPrecedence is the time after a peer's own report during which announcements of
// another process at its address are ignored if third parties sent them.
const ownReportPrecedence = 2 * time.Second

// memberAnnounced merges an announcement from the log, a peer or a directory.
func (r *Reducer) memberAnnounced(member Member) {
	r.learnLeavingRuns(member)
	known := r.members.peers[member.ID().Address()]
	if known != nil && known.member.ID() != member.ID() && r.now.Sub(known.heardAt) < ownReportPrecedence {
		return
	}
	if member.ID().Address() == r.Self.Address && member.ID().Incarnation() != r.Self.Incarnation {
		// This is another process at this node's address, usually an earlier one. claimPartitions
		// takes over the partitions it owned.
		return
	}
	if member.ID() == r.selfID() && member.spec.Version > r.Self.Version {
		return
	}
	r.members.merge(member, r.planInForceIndex, r.now, r.memberLifetime())
	r.noteMemberChange(known, member)
}

// noteMemberChange reports a new member, or a change of whether it accepts work, to the
// operators.
func (r *Reducer) noteMemberChange(known *peer, member Member) {
	if known != nil && known.member.ID() == member.ID() && known.announcedLeaving == member.Leaving() {
		return
	}
	if p := r.members.peers[member.ID().Address()]; p != nil {
		p.announcedLeaving = member.Leaving()
	}
	reason := "ready"
	if member.Leaving() {
		reason = "leaving"
	}
	r.noteDecision(Decision{
		Kind: DecisionMemberChanged, Peer: member.ID().String(), Service: member.Service(), Reason: reason, Plan: r.planInForce.offset,
	})
}

// memberLifetime returns how long a member is kept after its last announcement: the log's
// retention, or directoryLifetime without a log.
func (r *Reducer) memberLifetime() time.Duration {
	if r.Settings.Retention > 0 {
		return r.Settings.Retention
	}
	return directoryLifetime
}

// directoryLifetime is how long a member is kept after its last announcement when members
// are found through a directory, which is read every minute.
const directoryLifetime = 10 * time.Minute
