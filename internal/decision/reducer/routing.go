package reducer

import (
	"slices"
	"time"
)

// PolicyName names a load-balancing policy, by which an entry chooses upstreams.
type PolicyName string

// The load-balancing policies. All but PolicyExpectedCompletion are baselines for comparison.
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

// The expected network latencies to an upstream, by tier.
const (
	latencySelf        = 0
	latencyZone        = 300 * time.Microsecond
	latencyRegion      = 3 * time.Millisecond
	latencyOtherRegion = 24 * time.Millisecond
	// maxRegionCallsPerSlot is the number of calls per slot that an upstream of this region may hold
	// before calls are sent to another region.
	maxRegionCallsPerSlot = 3.0
)

var tierLatencies = [tierCount]time.Duration{latencySelf, latencyZone, latencyRegion, latencyOtherRegion}

// balancingPolicy picks the upstream of a service for a call's next attempt, or returns nil.
type balancingPolicy interface {
	chooseUpstream(r *Reducer, s *servicePeers, c *call) *peer
}

// balancingPolicyFor returns the policy of that name; unknown names get expectedCompletion.
func balancingPolicyFor(name PolicyName) balancingPolicy {
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

// chooseUpstream returns the upstream for an unrouted call's next attempt, or nil.
func (r *Reducer) chooseUpstream(c *call) *peer {
	s := r.members.services[c.service]
	if s == nil {
		return nil
	}
	return balancingPolicyFor(r.Settings.Policy).chooseUpstream(r, s, c)
}

// expectedCompletion samples upstreams of the nearest tier that has free slots and takes the
// one with the earliest expected completion. Without free slots it accepts longer queues, and
// then other regions as far as the budget of cross-region bytes allows.
type expectedCompletion struct{}

func (expectedCompletion) chooseUpstream(r *Reducer, s *servicePeers, c *call) *peer {
	for t := tierSelf; t < tierOtherRegion; t++ {
		if p := r.bestSampled(s, s.tiers[t], c, 1); p != nil {
			return p
		}
	}
	if p := r.bestInRegionWithRoom(s, c); p != nil {
		return p
	}
	r.crossRegionBudget.refill(r.now)
	if c.refusedBusy {
		// A single busy guard does not justify cross-region traffic.
		if p := r.bestInRegion(s, c); p != nil {
			return p
		}
	}
	if r.crossRegionBudget.tokens > 0 {
		if p := r.bestSampled(s, s.tiers[tierOtherRegion], c, 1); p != nil {
			return p
		}
	}
	if p := r.bestWhenFull(s, c); p != nil {
		return p
	}
	return r.lastResort(s, c)
}

// bestInRegionWithRoom samples the tiers of this region for an upstream that holds fewer than
// maxRegionCallsPerSlot calls per slot.
func (r *Reducer) bestInRegionWithRoom(s *servicePeers, c *call) *peer {
	var best *peer
	var bestScore time.Duration
	for t := tierSelf; t < tierOtherRegion; t++ {
		p := r.bestSampled(s, s.tiers[t], c, maxRegionCallsPerSlot)
		if p == nil {
			continue
		}
		load, slots := p.loadAndSlots(c.kind.kind.Length, r.now, r.Settings.ShortReserve)
		score := r.score(s, p, load/slots)
		if best == nil || clearlyLess(score, bestScore) {
			best = p
			bestScore = score
		}
	}
	return best
}

// bestWhenFull samples regardless of queue length: the whole service while cross-region bytes
// are left in the budget, otherwise this region.
func (r *Reducer) bestWhenFull(s *servicePeers, c *call) *peer {
	if r.crossRegionBudget.tokens > 0 {
		return r.bestSampled(s, s.all, c, 0)
	}
	return r.bestInRegion(s, c)
}

// bestInRegion samples this region regardless of queue length.
func (r *Reducer) bestInRegion(s *servicePeers, c *call) *peer {
	var near []*peer
	for t := tierSelf; t < tierOtherRegion; t++ {
		near = append(near, s.tiers[t]...)
	}
	return r.bestSampled(s, near, c, 0)
}

// lastResort picks a random untried upstream that is not leaving, not excluded by the plan
// and not both avoided and ejected. A service whose upstreams all look bad is still tried.
func (r *Reducer) lastResort(s *servicePeers, c *call) *peer {
	var untried []*peer
	for _, p := range s.all {
		if p.closed() || c.hasTried(p) {
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

// bestSampled samples usable upstreams and returns the one with the lowest score, or nil. It skips
// those that hold room calls per slot or more, unless room is zero.
func (r *Reducer) bestSampled(s *servicePeers, peers []*peer, c *call, room float64) *peer {
	count := len(peers)
	if count == 0 {
		return nil
	}
	var best *peer
	var bestScore time.Duration
	sampled := 0
	at := r.random.IntN(count)
	step := r.coprimeStep(count)
	for range count {
		p := peers[at]
		at = (at + step) % count
		if c.hasTried(p) || !p.usable(r.now) {
			continue
		}
		load, slots := p.loadAndSlots(c.kind.kind.Length, r.now, r.Settings.ShortReserve)
		if room > 0 && load >= room*slots {
			continue
		}
		score := r.score(s, p, load/slots)
		r.trace.addCandidate(p, score, load)
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

// coprimeStep returns a random step that is coprime to count, so that stepping modulo count
// visits every index.
func (r *Reducer) coprimeStep(count int) int {
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

// score returns the expected time to completion of an attempt that is sent now, divided by
// the weight that the plan gives to the upstream's region. crowding is the load per slot.
func (r *Reducer) score(s *servicePeers, p *peer, crowding float64) time.Duration {
	service := p.expectedServiceTime(r.now, s.medianServiceTime)
	wait := time.Duration(float64(service) * crowding)
	return (tierLatencies[p.tier] + service + wait) / time.Duration(max(1, p.weight))
}

// clearlyLess reports whether a score is lower than the best one by more than a sixteenth.
// Nearly equal scores are ties, which the random order of the sample decides.
func clearlyLess(score, best time.Duration) bool {
	const tieDivisor = 16
	return score < best-best/tieDivisor
}

// leastOutstanding picks the upstream with the fewest attempts in flight from this entry.
type leastOutstanding struct{}

func (leastOutstanding) chooseUpstream(r *Reducer, s *servicePeers, c *call) *peer {
	var best *peer
	for _, p := range shuffled(r, c, s) {
		if best == nil || p.outstanding() < best.outstanding() {
			best = p
		}
	}
	return best
}

// randomChoice picks an eligible upstream uniformly at random.
type randomChoice struct{}

func (randomChoice) chooseUpstream(r *Reducer, s *servicePeers, c *call) *peer {
	peers := shuffled(r, c, s)
	if len(peers) == 0 {
		return nil
	}
	return peers[0]
}

// roundRobin picks the eligible upstreams in rotation.
type roundRobin struct{}

func (roundRobin) chooseUpstream(r *Reducer, s *servicePeers, c *call) *peer {
	for range s.all {
		s.roundRobinIndex = (s.roundRobinIndex + 1) % len(s.all)
		if p := s.all[s.roundRobinIndex]; eligible(r, c, p) {
			return p
		}
	}
	return nil
}

// twoChoices picks the one of two random upstreams with the lower reported load.
type twoChoices struct{}

func (twoChoices) chooseUpstream(r *Reducer, s *servicePeers, c *call) *peer {
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

// eligible reports whether a baseline policy may pick the upstream: it is neither leaving,
// excluded by the plan, avoided after a refusal nor already tried for this call.
func eligible(r *Reducer, c *call, p *peer) bool {
	return !p.closed() && !r.now.Before(p.avoidUntil) && !c.hasTried(p)
}

// shuffled returns the eligible upstreams of a service in a random order.
func shuffled(r *Reducer, c *call, s *servicePeers) []*peer {
	peers := slices.Clone(s.all)
	peers = slices.DeleteFunc(peers, func(p *peer) bool { return !eligible(r, c, p) })
	r.random.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers
}
