package reducer

import "hash/fnv"

const (
	// maxZoneSubset and maxRegionSubset limit the upstreams of a service in an entry's own
	// zone, and in the other zones of its region, that it sends work to.
	maxZoneSubset   = 6
	maxRegionSubset = 6
	// maxOtherRegionSubset limits them for each other region.
	maxOtherRegionSubset = 6
	// presencePerSecond limits the reports that a node sends each second to peers of its
	// region that don't send work to its upstream.
	presencePerSecond = 50
)

// Each entry sends work to a subset of a service's upstreams, so that in a large region a guard
// reports its load to a few dozen entries many times a second instead of to hundreds rarely, and
// so that entries with the same picture don't all choose the same upstream. The subset is the
// first few by rendezvous hashing of entry and upstream: guards know without being told which
// entries they serve, and a change of membership moves few entries. A service that is small
// enough is used whole.

// subsetKey returns the part of the subset order that belongs to one address.
func subsetKey(address string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(address))
	return h.Sum64()
}

// subsetOrder returns the position of an upstream in an entry's order; lower comes first.
func subsetOrder(entry, upstream uint64) uint64 {
	// The finalizer of splitmix64 spreads every bit of the input over the result.
	x := entry ^ (upstream*0x9e3779b97f4a7c15 + 0x9e3779b97f4a7c15)
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}

// inSubset reports whether upstream p is one of the first limit for an entry among the peers
// that fit.
func inSubset(entry uint64, p *peer, peers []*peer, limit int, fits func(*peer) bool) bool {
	mine := subsetOrder(entry, p.subsetKey)
	before := 0
	for _, other := range peers {
		// The cheapest test comes first: this runs for every pair of members.
		if subsetOrder(entry, other.subsetKey) >= mine || other == p || other.member.Leaving() || other.evacuated || !fits(other) {
			continue
		}
		before++
		if before == limit {
			return false
		}
	}
	return true
}

// chooseSubset returns the peers that an entry uses, at most limit of those that fit.
func chooseSubset(entry uint64, peers []*peer, limit int) []*peer {
	if len(peers) <= limit {
		return peers
	}
	var chosen []*peer
	for _, p := range peers {
		sameRegion := func(other *peer) bool { return other.member.Region() == p.member.Region() }
		if !p.member.Leaving() && !p.evacuated && inSubset(entry, p, peers, limit, sameRegion) {
			chosen = append(chosen, p)
		}
	}
	return chosen
}

// subset returns the upstreams of a service that this entry uses, by tier.
func (m *membership) subset(s *servicePeers) [tierCount][]*peer {
	if s.subsetKnown {
		return s.subset
	}
	entry := subsetKey(m.self.ID().Address())
	s.subset[tierSelf] = s.tiers[tierSelf]
	s.subset[tierZone] = chooseSubset(entry, s.tiers[tierZone], maxZoneSubset)
	s.subset[tierRegion] = chooseSubset(entry, s.tiers[tierRegion], maxRegionSubset)
	s.subset[tierOtherRegion] = chooseSubset(entry, s.tiers[tierOtherRegion], maxOtherRegionSubset)
	s.subsetKnown = true
	return s.subset
}

// usedBy reports whether the entry on a near peer's VM sends work to upstream p, which may be
// this node's own or one of another region.
func (m *membership) usedBy(entry, p *peer) bool {
	s := m.services[p.member.Service()]
	if s == nil {
		return false
	}
	limit := maxZoneSubset
	fits := func(other *peer) bool { return other != entry && other.member.Zone() == entry.member.Zone() }
	switch {
	case p.tier == tierOtherRegion:
		limit = maxOtherRegionSubset
		fits = func(other *peer) bool { return other.member.Region() == p.member.Region() }
	case p.member.Zone() != entry.member.Zone():
		limit = maxRegionSubset
		fits = func(other *peer) bool {
			return other.member.Region() == entry.member.Region() && other.member.Zone() != entry.member.Zone()
		}
	}
	return inSubset(entry.subsetKey, p, s.all, limit, fits)
}

// reportReceivers returns the addresses of the near peers whose entries send work to upstream p,
// this node's own or one of another region, and of those whose entries don't.
// Before this node has announced itself, nobody gets reports of it.
func (m *membership) reportReceivers(p *peer) (using, others []string) {
	if p == nil {
		return nil, nil
	}
	if p.receiversAt == m.generation {
		return p.using, p.others
	}
	p.using, p.others = nil, nil
	for _, entry := range m.order {
		switch {
		case !entry.near():
		case m.usedBy(entry, p):
			p.using = append(p.using, entry.member.spec.Address)
		default:
			p.others = append(p.others, entry.member.spec.Address)
		}
	}
	p.receiversAt = m.generation
	return p.using, p.others
}
