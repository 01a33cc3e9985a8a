package reducer

import (
	"slices"
	"time"
)

const (
	// usualPacePercent is the pace of an upstream that runs at its usual speed: the current service
	// time in percent of the usual one.
	usualPacePercent = 100
	// maxPaceAge is how long a reported pace is used: interference from other VMs on the host
	// changes a few times a second.
	maxPaceAge = 250 * time.Millisecond
	// failurePenalty is the time added to the estimate for a certain failure, about what the
	// caller loses by sending the request again. It is scaled by the reported failure rate.
	failurePenalty = 400 * time.Millisecond
	// defaultServiceTime is the assumed service time of an upstream that has reported none.
	defaultServiceTime = 50 * time.Millisecond
	// maxRemoteLoadPerSlot is the load per slot up to which an upstream of another region
	// gets work that this region refused: its own region can fill the other slots before the
	// next report arrives.
	maxRemoteLoadPerSlot = 0.35
)

// placeRoutedCall returns the upstream for the next attempt of a routed call, or nil. It is
// made for load that shifts within milliseconds: it picks the upstream of this region with
// the earliest estimated completion, from load reports that are some tens of milliseconds old
// and this entry's attempts since. Busy guards refuse at once with a new load report. After a
// limited number of upstreams, or when none is left, the call is queued where the wait is
// shortest.
func (r *Reducer) placeRoutedCall(c *call) *peer {
	s := r.members.services[c.service]
	if s == nil {
		return nil
	}
	if !c.regions.Allows(r.Self.Region) {
		return r.placeOutsideOwnRegion(c, s)
	}
	if len(c.tried) < maxRoutedTries {
		if p := r.placeUntried(c, s); p != nil {
			return p
		}
	}
	c.mayWait = true
	return r.placeToWait(c, s)
}

// placeUntried returns an upstream that the call has not tried, or nil: one of this region for
// the first few attempts, then one of another region if possible.
func (r *Reducer) placeUntried(c *call, s *servicePeers) *peer {
	near := r.placeInOwnRegion(c, s, func(p *peer) bool { return !c.hasTried(p) })
	if near != nil && len(c.tried) < maxOwnRegionTries {
		return near
	}
	if far := r.placeInOtherRegion(c, s); far != nil {
		return far
	}
	return near
}

// placeToWait returns the upstream with the earliest estimated completion if the call is
// queued there, or nil. Guards that refused the call as busy may be chosen again.
func (r *Reducer) placeToWait(c *call, s *servicePeers) *peer {
	near := r.placeInOwnRegion(c, s, func(p *peer) bool { return !c.hasTried(p) || slices.Contains(c.busyGuards, p) })
	if near != nil {
		return near
	}
	return r.placeInOtherRegion(c, s)
}

// placeInOwnRegion returns the fitting upstream of this region with the earliest estimated
// completion, or nil. Only where none of the entry's subset fits it takes any other.
func (r *Reducer) placeInOwnRegion(c *call, s *servicePeers, fits func(*peer) bool) *peer {
	score := func(p *peer) time.Duration {
		score := r.estimatedCompletion(p) + r.jitter(completionJitter)
		if p.tier == tierRegion {
			score += r.zonePreference(c)
		}
		r.trace.addCandidate(p, score, p.load(r.now))
		return score
	}
	subset := r.members.subset(s)
	if best := r.lowestScoring(c, subset[tierSelf:tierOtherRegion], fits, score); best != nil {
		return best
	}
	return r.lowestScoring(c, s.tiers[tierSelf:tierOtherRegion], fits, score)
}

// lowestScoring returns the placeable upstream with the lowest score among those that fit, or
// nil.
func (r *Reducer) lowestScoring(c *call, tiers [][]*peer, fits func(*peer) bool, score func(*peer) time.Duration) *peer {
	var best *peer
	var bestScore time.Duration
	for _, peers := range tiers {
		for _, p := range peers {
			if !fits(p) || !r.placeable(c, p) {
				continue
			}
			if s := score(p); best == nil || s < bestScore {
				best = p
				bestScore = s
			}
		}
	}
	return best
}

// maxOwnRegionTries is the number of upstreams that are tried before other regions are considered.
// Each costs a round trip, and reports within the region are some tens of milliseconds old.
const maxOwnRegionTries = 3

const (
	// shortZonePreference is how much later an upstream of this availability zone may answer
	// a short request and still be preferred: traffic between zones is billed.
	shortZonePreference = 8 * time.Millisecond
	// longZonePreferenceDivisor gives the same preference for long requests: the time left
	// until the objective is divided by it.
	longZonePreferenceDivisor = 3
)

// zonePreference returns how much later an upstream of this availability zone may answer the
// call and still be preferred over other zones.
func (r *Reducer) zonePreference(c *call) time.Duration {
	if c.kind.kind.Length == LengthLong {
		return max(shortZonePreference, c.objective.Sub(r.now)/longZonePreferenceDivisor)
	}
	return shortZonePreference
}

// completionJitter bounds the random jitter that is added to completion times, so that
// entries don't all pick the same one of several similar upstreams.
const completionJitter = 2 * time.Millisecond

// placeInOtherRegion returns an untried upstream of another region, or nil. After a refusal,
// it takes only upstreams with at most maxRemoteLoadPerSlot, and none for a long call.
// A call leaves its region at most once.
func (r *Reducer) placeInOtherRegion(c *call, s *servicePeers) *peer {
	if c.leftRegion() || (c.kind.kind.Length == LengthLong && len(c.tried) > 0) {
		return nil
	}
	fits := func(p *peer) bool {
		return !c.hasTried(p) && (len(c.tried) == 0 || p.load(r.now) <= maxRemoteLoadPerSlot*p.slots())
	}
	return r.bestInOtherRegions(c, s, fits)
}

// bestInOtherRegions returns the fitting upstream of other regions with the earliest estimated
// completion, or nil. Only where none of the entry's subset fits it takes any other.
func (r *Reducer) bestInOtherRegions(c *call, s *servicePeers, fits func(*peer) bool) *peer {
	score := func(p *peer) time.Duration { return r.estimatedCompletion(p) + r.jitter(latencyOtherRegion) }
	subset := r.members.subset(s)
	if best := r.lowestScoring(c, subset[tierOtherRegion:], fits, score); best != nil {
		return best
	}
	return r.lowestScoring(c, s.tiers[tierOtherRegion:], fits, score)
}

// placeable reports whether a routed call may be sent to the peer's upstream. Every choice of an
// upstream for a routed call must pass this test.
func (r *Reducer) placeable(c *call, p *peer) bool {
	if !c.regions.Allows(p.member.Region()) {
		return false
	}
	if p.closed() || r.now.Before(p.avoidUntil) || p.member.Upstream() == "" {
		return false
	}
	return p.tier == tierSelf || r.reportedRecently(p)
}

// estimatedCompletion returns the estimated time that an attempt takes if it is sent now: the network
// latency, the wait for a slot, the service time at the reported pace and the failure penalty.
func (r *Reducer) estimatedCompletion(p *peer) time.Duration {
	service := p.report.serviceTime
	if service == 0 {
		service = defaultServiceTime
	}
	pace := usualPacePercent
	if p.report.pace > 0 && r.now.Sub(p.reportedAt) < maxPaceAge {
		pace = p.report.pace
	}
	service = service * time.Duration(pace) / usualPacePercent
	slots := max(1, r.Settings.UsableShare*p.slots())
	ahead := p.load(r.now) + 1 - slots
	wait := time.Duration(0)
	if ahead > 0 {
		wait = time.Duration(float64(service) * ahead / slots)
	}
	failed := failurePenalty * time.Duration(p.report.failures) / 100
	return tierLatencies[p.tier] + wait + service + failed
}
