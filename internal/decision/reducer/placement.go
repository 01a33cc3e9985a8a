package reducer

import (
	"slices"
	"time"
)

const (
	// usualPace is the pace of an upstream that works as fast as usual, in percent.
	usualPace = 100
	// freshPace is how long a reported pace is believed: neighbours' disturbance
	// changes a few times a second.
	freshPace = 250 * time.Millisecond
	// failurePenalty is the time that a failed attempt costs a choice: about what the
	// caller loses when it has to ask again.
	failurePenalty = 400 * time.Millisecond
	// firstServiceTime stands in for service times that nobody measured yet.
	firstServiceTime = 50 * time.Millisecond
	// remoteRoom is the share of an upstream's slots that may be taken when another
	// region sends it work: its own region fills the rest within a report's age.
	remoteRoom = 0.35
)

// place picks the upstream for the next attempt of a routed call, or nil. It answers
// load that shifts within milliseconds: the upstream of the own region that should
// answer first takes the call, by reports that are some tens of milliseconds old and
// this entry's own attempts since. Guards without room refuse at once; when a few have,
// the call goes where it has to wait least, by what they have just told.
func (r *Reducer) place(c *call) *peer {
	s := r.members.services[c.service]
	if s == nil {
		return nil
	}
	if len(c.tried) < maxTries {
		if p := r.placeAnew(c, s); p != nil {
			return p
		}
	}
	c.final = true
	return r.leastWait(c, s)
}

// placeAnew picks an upstream that the call was not sent to, or nil.
func (r *Reducer) placeAnew(c *call, s *servicePeers) *peer {
	near := r.placeNear(c, s, func(p *peer) bool { return !c.hasTried(p) })
	if near != nil && len(c.tried) < nearTries {
		return near
	}
	if far := r.placeInOtherRegion(c, s); far != nil {
		return far
	}
	return near
}

// leastWait picks the upstream that should answer first when the call waits there, or nil.
func (r *Reducer) leastWait(c *call, s *servicePeers) *peer {
	near := r.placeNear(c, s, func(p *peer) bool { return !c.hasTried(p) || slices.Contains(c.busy, p) })
	if near != nil {
		return near
	}
	return r.placeInOtherRegion(c, s)
}

// placeNear picks the upstream of the own region that should answer first, or nil.
func (r *Reducer) placeNear(c *call, s *servicePeers, fits func(*peer) bool) *peer {
	return r.soonest(s.tiers[tierSelf:tierOther], fits, func(p *peer) time.Duration {
		score := r.completion(p) + r.jitter(tieTime)
		if p.tier == tierRegion {
			score += r.zoneWay(c)
		}
		r.trace.consider(p, score, p.load(r.now))
		return score
	})
}

// soonest picks the upstream with the lowest score of those that fit, or nil.
func (r *Reducer) soonest(tiers [][]*peer, fits func(*peer) bool, score func(*peer) time.Duration) *peer {
	var best *peer
	var bestScore time.Duration
	for _, peers := range tiers {
		for _, p := range peers {
			if !fits(p) || !r.placeable(p) {
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

// nearTries is how many guards of the own region are asked before one of another: each
// costs a round trip, and the region's reports are some tens of milliseconds old.
const nearTries = 3

const (
	// shortWay is how much later the own availability zone may answer a short request and
	// be chosen all the same: bytes between zones are paid for.
	shortWay = 8 * time.Millisecond
	// longWayShare is the same for a long request, as a part of the time that is left
	// until its objective: one in so many.
	longWayShare = 3
)

// zoneWay is how much later the own availability zone may answer a call and be chosen all
// the same.
func (r *Reducer) zoneWay(c *call) time.Duration {
	if c.kind.kind.Length == LengthLong {
		return max(shortWay, c.objective.Sub(r.now)/longWayShare)
	}
	return shortWay
}

// tieTime is the difference between completion times that a choice leaves to chance.
const tieTime = 2 * time.Millisecond

// placeInOtherRegion picks an upstream of another region, or nil. Once the own region has
// refused a call, only an upstream that seems to have room is worth the way.
func (r *Reducer) placeInOtherRegion(c *call, s *servicePeers) *peer {
	if c.leftRegion() || (c.kind.kind.Length == LengthLong && len(c.tried) > 0) {
		return nil
	}
	fits := func(p *peer) bool {
		return !c.hasTried(p) && (len(c.tried) == 0 || p.load(r.now) <= remoteRoom*p.slots())
	}
	return r.soonest(s.tiers[tierOther:], fits, func(p *peer) time.Duration {
		return r.completion(p) + r.jitter(delayOther)
	})
}

// placeable reports whether a routed call may be sent to a peer's upstream.
func (r *Reducer) placeable(p *peer) bool {
	if p.member.Leaving() || p.excluded || r.now.Before(p.avoidUntil) || p.member.Upstream() == "" {
		return false
	}
	return p.tier == tierSelf || r.heardLately(p)
}

// completion estimates how long an attempt that is sent now takes.
func (r *Reducer) completion(p *peer) time.Duration {
	service := p.report.serviceTime
	if service == 0 {
		service = firstServiceTime
	}
	pace := usualPace
	if p.report.pace > 0 && r.now.Sub(p.reportedAt) < freshPace {
		pace = p.report.pace
	}
	service = service * time.Duration(pace) / usualPace
	slots := max(1, r.Settings.UsableShare*p.slots())
	ahead := p.load(r.now) + 1 - slots
	wait := time.Duration(0)
	if ahead > 0 {
		wait = time.Duration(float64(service) * ahead / slots)
	}
	failed := failurePenalty * time.Duration(p.report.failures) / 100
	return tierDelays[p.tier] + wait + service + failed
}
