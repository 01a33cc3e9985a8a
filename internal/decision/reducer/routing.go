package reducer

import (
	"slices"
	"time"
)

// PolicyName names how an entry chooses upstreams.
type PolicyName string

// The policies; all but the first are baselines to measure against.
const (
	PolicyExpectedCompletion PolicyName = "expected-completion"
	PolicyLeastOutstanding   PolicyName = "least-outstanding"
	PolicyRandom             PolicyName = "random"
	PolicyRoundRobin         PolicyName = "round-robin"
	PolicyTwoChoices         PolicyName = "two-choices"
)

// PolicyNames returns every policy's name in alphabetical order.
func PolicyNames() []PolicyName {
	return []PolicyName{
		PolicyExpectedCompletion, PolicyLeastOutstanding, PolicyRandom,
		PolicyRoundRobin, PolicyTwoChoices,
	}
}

const (
	delaySelf   = 0
	delayZone   = 300 * time.Microsecond
	delayRegion = 3 * time.Millisecond
	delayOther  = 24 * time.Millisecond
	// localQueue is how much work per slot an upstream of the own region holds
	// before work is sent to another region.
	localQueue = 3.0
)

var tierDelays = [tierCount]time.Duration{delaySelf, delayZone, delayRegion, delayOther}

// chooser picks an upstream of a service for a call, or nil.
type chooser interface {
	choose(r *Reducer, s *servicePeers, c *call) *peer
}

func chooserFor(name PolicyName) chooser {
	switch name {
	case PolicyLeastOutstanding:
		return leastOutstanding{}
	case PolicyRandom:
		return randomChoice{}
	case PolicyRoundRobin:
		return roundRobin{}
	case PolicyTwoChoices:
		return twoChoices{}
	default:
		return expectedCompletion{}
	}
}

// choose picks the upstream for a call's next attempt, or nil.
func (r *Reducer) choose(c *call) *peer {
	s := r.members.services[c.service]
	if s == nil {
		return nil
	}
	return chooserFor(r.Settings.Policy).choose(r, s, c)
}

// expectedCompletion samples a few upstreams of the nearest tier that has room
// and takes the one that should finish first.
type expectedCompletion struct{}

func (expectedCompletion) choose(r *Reducer, s *servicePeers, c *call) *peer {
	for t := tierSelf; t < tierOther; t++ {
		if p := r.bestOf(s, s.tiers[t], c, 1); p != nil {
			return p
		}
	}
	if p := r.bestOfRegion(s, c); p != nil {
		return p
	}
	r.crossRegion.refill(r.now)
	if c.crowded {
		// One crowded upstream is no reason to leave the region.
		if p := r.bestOfNear(s, c); p != nil {
			return p
		}
	}
	if r.crossRegion.tokens > 0 {
		if p := r.bestOf(s, s.tiers[tierOther], c, 1); p != nil {
			return p
		}
	}
	if p := r.bestOfAll(s, c); p != nil {
		return p
	}
	return r.lastResort(s, c)
}

// bestOfRegion samples the tiers of the own region for an upstream whose queue
// is short.
func (r *Reducer) bestOfRegion(s *servicePeers, c *call) *peer {
	var best *peer
	var bestScore time.Duration
	for t := tierSelf; t < tierOther; t++ {
		p := r.bestOf(s, s.tiers[t], c, localQueue)
		if p == nil {
			continue
		}
		load, slots := p.crowd(c.kind.kind.Length, r.now, r.Settings.ShortReserve)
		score := r.score(s, p, load/slots)
		if best == nil || clearlyLess(score, bestScore) {
			best = p
			bestScore = score
		}
	}
	return best
}

// bestOfAll samples the whole service when no upstream seems to have room.
func (r *Reducer) bestOfAll(s *servicePeers, c *call) *peer {
	if r.crossRegion.tokens > 0 {
		return r.bestOf(s, s.all, c, 0)
	}
	return r.bestOfNear(s, c)
}

// bestOfNear samples the own region, however full its upstreams are.
func (r *Reducer) bestOfNear(s *servicePeers, c *call) *peer {
	var near []*peer
	for t := tierSelf; t < tierOther; t++ {
		near = append(near, s.tiers[t]...)
	}
	return r.bestOf(s, near, c, 0)
}

// lastResort takes any upstream that is not known to be leaving, so that a
// service whose upstreams all look bad is still tried.
func (r *Reducer) lastResort(s *servicePeers, c *call) *peer {
	var untried []*peer
	for _, p := range s.all {
		if p.member.Leaving() || p.excluded || c.hasTried(p) {
			continue
		}
		if r.now.Before(p.avoidUntil) && r.now.Before(p.ejectedUntil) {
			continue
		}
		untried = append(untried, p)
	}
	if len(untried) == 0 {
		return nil
	}
	return untried[r.random.IntN(len(untried))]
}

// bestOf samples usable upstreams and returns the one with the lowest score.
// Those that hold more than room calls per slot are left out, unless room is zero.
func (r *Reducer) bestOf(s *servicePeers, peers []*peer, c *call, room float64) *peer {
	count := len(peers)
	if count == 0 {
		return nil
	}
	var best *peer
	var bestScore time.Duration
	sampled := 0
	at := r.random.IntN(count)
	step := r.stride(count)
	for range count {
		p := peers[at]
		at = (at + step) % count
		if c.hasTried(p) || !p.usable(r.now) {
			continue
		}
		load, slots := p.crowd(c.kind.kind.Length, r.now, r.Settings.ShortReserve)
		if room > 0 && load >= room*slots {
			continue
		}
		score := r.score(s, p, load/slots)
		r.trace.consider(p, score, load)
		if best == nil || clearlyLess(score, bestScore) {
			best = p
			bestScore = score
		}
		sampled++
		if sampled == r.Settings.Sample {
			break
		}
	}
	return best
}

// stride returns a step that visits every one of count places.
func (r *Reducer) stride(count int) int {
	if count < 3 {
		return 1
	}
	for {
		step := 1 + r.random.IntN(count-1)
		if greatestCommonDivisor(step, count) == 1 {
			return step
		}
	}
}

func greatestCommonDivisor(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}

// score is when an attempt sent now should complete, scaled by the weight that
// the plan gives to the upstream's region.
func (r *Reducer) score(s *servicePeers, p *peer, crowding float64) time.Duration {
	service := p.expectedServiceTime(r.now, s.median)
	wait := time.Duration(float64(service) * crowding)
	return (tierDelays[p.tier] + service + wait) / time.Duration(max(1, p.weight))
}

// clearlyLess reports whether a score beats the best one so far. Scores that are
// nearly equal count as ties, which the random order of the sample decides.
func clearlyLess(score, best time.Duration) bool {
	const tie = 16
	return score < best-best/tie
}

// leastOutstanding takes the upstream with the fewest own attempts in flight.
type leastOutstanding struct{}

func (leastOutstanding) choose(r *Reducer, s *servicePeers, c *call) *peer {
	var best *peer
	for _, p := range shuffled(r, c, s) {
		if best == nil || p.outstanding() < best.outstanding() {
			best = p
		}
	}
	return best
}

// randomChoice takes any upstream.
type randomChoice struct{}

func (randomChoice) choose(r *Reducer, s *servicePeers, c *call) *peer {
	peers := shuffled(r, c, s)
	if len(peers) == 0 {
		return nil
	}
	return peers[0]
}

// roundRobin takes the upstreams in turn.
type roundRobin struct{}

func (roundRobin) choose(r *Reducer, s *servicePeers, c *call) *peer {
	for range s.all {
		s.turn = (s.turn + 1) % len(s.all)
		if p := s.all[s.turn]; eligible(r, c, p) {
			return p
		}
	}
	return nil
}

// twoChoices compares the reported load of two random upstreams.
type twoChoices struct{}

func (twoChoices) choose(r *Reducer, s *servicePeers, c *call) *peer {
	peers := shuffled(r, c, s)
	switch len(peers) {
	case 0:
		return nil
	case 1:
		return peers[0]
	}
	a, b := peers[0], peers[1]
	if b.report.short+b.report.long < a.report.short+a.report.long {
		return b
	}
	return a
}

// eligible is what the baselines ask of an upstream: it is not leaving, and the
// last attempt was not refused there.
func eligible(r *Reducer, c *call, p *peer) bool {
	return !p.member.Leaving() && !p.excluded && !r.now.Before(p.avoidUntil) && !c.hasTried(p)
}

// shuffled returns the eligible upstreams of a service in a random order.
func shuffled(r *Reducer, c *call, s *servicePeers) []*peer {
	peers := slices.Clone(s.all)
	peers = slices.DeleteFunc(peers, func(p *peer) bool { return !eligible(r, c, p) })
	r.random.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers
}
