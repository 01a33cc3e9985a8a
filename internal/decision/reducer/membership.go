package reducer

import (
	"hash/fnv"
	"slices"
	"time"
)

// tier orders upstreams by their distance from this node.
type tier int

const (
	tierSelf tier = iota
	tierZone
	tierRegion
	tierOther
	tierCount
)

const (
	maxHotMembers       = 48
	hotMemberRounds     = 12
	unreachableBackoff  = 500 * time.Millisecond
	maxUnreachable      = 15 * time.Second
	randomMembersInSync = 16
	planAskPeriod       = 200 * time.Millisecond
)

// Digest is what a node shows of its state on every exchange.
type Digest struct {
	Address     string
	Incarnation uint64
	PlanOffset  int64
	LogNext     int64
	LogKnown    bool
	Members     int
	MembersHash uint64
	// PlansReachable tells that the place where plans are published answers the node.
	PlansReachable bool
	Load           LoadReport
}

// membership is what the node knows of the other nodes.
type membership struct {
	self          Member
	peers         map[string]*peer
	byIncarnation map[uint64]*peer
	services      map[string]*servicePeers
	order         []*peer
	hot           []hotMember
	hash          uint64
	exchangeDue   time.Time
	planAskDue    time.Time
	// farPlan is a later plan that another region has, and farPlanDue when it may be
	// fetched from there.
	farPlan    int64
	farPlanDue time.Time
	refreshDue time.Time
}

// hotMember is a recent announcement that is still being spread.
type hotMember struct {
	address string
	rounds  int
}

// servicePeers are a service's upstreams, nearest first.
type servicePeers struct {
	tiers  [tierCount][]*peer
	all    []*peer
	median time.Duration
	turn   int
}

func (m *membership) init(self Member) {
	m.self = self
	m.peers = map[string]*peer{}
	m.byIncarnation = map[uint64]*peer{}
	m.services = map[string]*servicePeers{}
}

// merge takes an announcement, unless a later one is known.
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
	m.heat(address)
	m.replan(index)
}

// heat begins to spread the announcement of an address.
func (m *membership) heat(address string) {
	m.hot = slices.DeleteFunc(m.hot, func(h hotMember) bool { return h.address == address })
	if len(m.hot) == maxHotMembers {
		m.hot = slices.Delete(m.hot, 0, 1)
	}
	m.hot = append(m.hot, hotMember{address: address, rounds: hotMemberRounds})
}

// takeHot returns the announcements to spread in one exchange.
func (m *membership) takeHot() []Member {
	var members []Member
	for i := range m.hot {
		m.hot[i].rounds--
		if p := m.peers[m.hot[i].address]; p != nil {
			members = append(members, p.member)
		}
	}
	m.hot = slices.DeleteFunc(m.hot, func(h hotMember) bool { return h.rounds <= 0 })
	return members
}

// remove forgets a member that was not announced again.
func (m *membership) remove(p *peer) {
	id := p.member.ID()
	delete(m.peers, id.Address())
	delete(m.byIncarnation, id.Incarnation())
	m.hash ^= memberHash(p.member)
	m.order = slices.DeleteFunc(m.order, func(o *peer) bool { return o == p })
}

// replan sorts the members into services and tiers.
func (m *membership) replan(index planIndex) {
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
				s.median = old.median
				s.turn = old.turn
			}
			services[name] = s
		}
		p.planned(index[name])
		s.all = append(s.all, p)
		s.tiers[p.tier] = append(s.tiers[p.tier], p)
	}
	m.services = services
}

func (m *membership) tierOf(member Member) tier {
	switch {
	case member.ID() == m.self.ID():
		return tierSelf
	case member.Region() != m.self.Region():
		return tierOther
	case member.Zone() != m.self.Zone():
		return tierRegion
	default:
		return tierZone
	}
}

// refresh forgets expired members and renews what choices compare.
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
	}
	if len(expired) > 0 {
		m.dropFromServices(expired)
	}
	for _, s := range m.services {
		s.refresh(now, settings)
	}
}

func (m *membership) dropFromServices(expired []*peer) {
	gone := func(p *peer) bool { return slices.Contains(expired, p) }
	for _, s := range m.services {
		s.all = slices.DeleteFunc(s.all, gone)
		for i := range s.tiers {
			s.tiers[i] = slices.DeleteFunc(s.tiers[i], gone)
		}
	}
}

// silent notes a peer that did not answer.
func (m *membership) silent(address string, now time.Time) {
	if p := m.peers[address]; p != nil {
		p.unreachable(now)
	}
}

// memberHash returns a number that differs between announcements.
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

// directWord is how long a peer's own report goes before what others say of its address.
const directWord = 2 * time.Second

// heardMember takes an announcement from the log or from a peer.
func (r *Reducer) heardMember(member Member) {
	known := r.members.peers[member.ID().Address()]
	if known != nil && known.member.ID() != member.ID() && r.now.Sub(known.heardAt) < directWord {
		return
	}
	if member.ID().Address() == r.Self.Address && member.ID().Incarnation() != r.Self.Incarnation {
		// An earlier process at this address; its shares are claimed elsewhere.
		return
	}
	if member.ID() == r.selfID() && member.spec.Version > r.Self.Version {
		return
	}
	r.members.merge(member, r.index, r.now, r.memberLifetime())
	r.decidedMember(known, member)
}

// decidedMember tells of a member that is new, or whose upstream takes work or not.
func (r *Reducer) decidedMember(known *peer, member Member) {
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
	r.note(Decided{
		Kind: DecidedMember, Peer: member.ID().String(), Service: member.Service(), Reason: reason, Plan: r.inForce.offset,
	})
}

// memberLifetime is how long a member is remembered that is not announced again.
func (r *Reducer) memberLifetime() time.Duration {
	if r.Settings.Retention > 0 {
		return r.Settings.Retention
	}
	return directoryLifetime
}

// directoryLifetime is how long a member is remembered where a directory, which is read
// each minute, names it again.
const directoryLifetime = 10 * time.Minute
