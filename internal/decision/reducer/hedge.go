package reducer

import (
	"time"

	"github.com/tanagerline/tanagerline/internal/decision/hedging"
)

// routeHedging holds what the entry knows about the hedges of a route.
type routeHedging struct {
	latencies hedging.Latencies
	limit     hedging.Limit
}

const (
	// shortCapacityTime is how long no call of a service is hedged after one had to be queued or was shed
	// by its upstream.
	shortCapacityTime = 500 * time.Millisecond
	// minHedgePostponement is the shortest time after which a withheld hedge is considered again. Load
	// reports come no sooner.
	minHedgePostponement = 20 * time.Millisecond
)

// prepareHedging counts a routed call in the limit on hedges and decides whether it may be hedged.
func (r *Reducer) prepareHedging(c *call, e CallArrived) {
	if r.Settings.HedgeShare <= 0 || !c.route.route.Idempotent {
		return
	}
	c.route.state.hedging.limit.Earn(r.Settings.HedgeShare)
	c.hedgeable = !e.Internal && !e.Forwarded && e.BodyBuffered
}

// hedgeTime returns when the call's current attempt has been silent for so long that the call may be
// hedged, or zero if it is not to be hedged.
func (r *Reducer) hedgeTime(c *call) time.Time {
	if !c.hedgeable || c.hedged || c.mayWait || r.Settings.HedgeShare <= 0 || c.sends+1 >= c.route.route.MaxAttempts {
		return time.Time{}
	}
	tail := c.route.state.hedging.latencies.Tail(r.now)
	if at := r.now.Add(tail); tail > 0 && at.Before(c.deadline) {
		return at
	}
	return time.Time{}
}

// hedgeDue starts a second attempt beside the call's first one, or postpones it.
func (r *Reducer) hedgeDue(e HedgeDue) {
	c := r.callInFlight(e.Call, e.Attempt)
	if c == nil || c.answered || c.callerLeft || c.hedged || c.attempt.ended || r.Settings.HedgeShare <= 0 {
		return
	}
	r.trace.clearCandidates()
	target := r.placeHedge(c)
	if withheld := r.judgeHedge(c, target); withheld != "" {
		r.withholdHedge(c, withheld)
		return
	}
	c.route.state.hedging.limit.Spend()
	r.countRepeat(c)
	r.sendHedge(c, target)
}

// judgeHedge returns why the call may not be hedged now, or an empty reason. The target may be nil.
func (r *Reducer) judgeHedge(c *call, target *peer) hedging.Withheld {
	state := &c.route.state.hedging
	spent, allowed := r.retryBudget(c)
	free, usable := r.regionSlots(c)
	expected := state.latencies.Typical(r.now)
	if target != nil {
		expected = max(expected, r.estimatedCompletion(target))
	}
	return state.limit.Judge(hedging.Situation{
		Arrivals: c.sends + 1, MaxArrivals: c.route.route.MaxAttempts,
		Remaining: c.deadline.Sub(r.now), Expected: expected + returnAllowance,
		Quarantined: r.suspects.quarantined(c.fingerprint),
		Short:       r.now.Before(r.shortUntil[c.service]),
		FreeSlots:   free, UsableSlots: usable, Target: target != nil,
		BudgetSpent: spent, BudgetAllowed: allowed,
	})
}

// withholdHedge reports why the call is not hedged, once for each call, and has the hedge considered
// again if the reason may pass.
func (r *Reducer) withholdHedge(c *call, withheld hedging.Withheld) {
	if !c.hedgeWithheld {
		c.hedgeWithheld = true
		r.noteCallDecision(DecisionHedgeWithheld, c, Decision{Reason: string(withheld)})
	}
	if !withheld.Passes() {
		return
	}
	// The interval grows with the silence, so a call is considered a few times only.
	at := r.now.Add(max(minHedgePostponement, r.now.Sub(c.attempt.started)/2))
	if at.Before(c.deadline) {
		r.emit(PostponeHedge{Call: c.id, Attempt: c.attempt.id, Until: at})
	}
}

// sendHedge sends the call's second attempt, which becomes its current one.
func (r *Reducer) sendHedge(c *call, p *peer) {
	first := c.attempt
	c.hedged = true
	c.other = first
	c.attempt = &attempt{
		id: r.nextAttemptID(), peer: p, target: p.member.ID(), length: first.length, started: r.now, hedge: true,
	}
	c.tried = append(c.tried, p)
	p.attemptStarted(first.length, r.now)
	r.counts.Attempts++
	r.trace.add(r.now, c, p, TraceChosen)
	zone := "same-zone"
	if p.member.Zone() != first.peer.member.Zone() {
		zone = "other-zone"
	}
	r.noteCallDecision(DecisionHedgeSent, c, Decision{Reason: zone, Load: p.load(r.now), Expected: r.estimatedCompletion(p)})
	send := r.sendAttempt(c)
	send.Hedge = true
	send.Repeat = true
	r.emit(send)
}

// noteShortCapacity records that a call of the service had to be queued, found no upstream or was shed.
func (r *Reducer) noteShortCapacity(c *call) {
	if c.route != nil && r.Settings.HedgeShare > 0 {
		r.shortUntil[c.service] = r.now.Add(shortCapacityTime)
	}
}

// placeHedge returns the upstream for the call's hedge, or nil: one of this region with a free slot,
// in another availability zone than the first attempt's if possible.
func (r *Reducer) placeHedge(c *call) *peer {
	s := r.members.services[c.service]
	if s == nil {
		return nil
	}
	zone := c.attempt.peer.member.Zone()
	fits := func(p *peer) bool { return !c.hasTried(p) && r.hedgeRoom(p) >= 1 }
	elsewhere := func(p *peer) bool { return p.member.Zone() != zone && fits(p) }
	score := func(p *peer) time.Duration {
		score := r.estimatedCompletion(p) + r.jitter(completionJitter)
		r.trace.addCandidate(p, score, p.load(r.now))
		return score
	}
	subset := r.members.subset(s)
	for _, tiers := range [][][]*peer{subset[tierSelf:tierOtherRegion], s.tiers[tierSelf:tierOtherRegion]} {
		for _, suits := range []func(*peer) bool{elsewhere, fits} {
			if best := r.lowestScoring(c, tiers, suits, score); best != nil {
				return best
			}
		}
	}
	return nil
}

// regionSlots returns the free and the usable slots of the upstreams of this region that may serve the
// call and that this entry uses.
func (r *Reducer) regionSlots(c *call) (free, usable float64) {
	s := r.members.services[c.service]
	if s == nil {
		return 0, 0
	}
	subset := r.members.subset(s)
	for _, peers := range subset[tierSelf:tierOtherRegion] {
		for _, p := range peers {
			if r.placeable(c, p) {
				free += max(0, r.hedgeRoom(p))
				usable += r.usableSlotsOf(p)
			}
		}
	}
	return free, usable
}

// usableSlotsOf returns how many attempts with an objective an upstream runs, as its guard counts.
func (r *Reducer) usableSlotsOf(p *peer) float64 {
	return float64(max(1, int(r.Settings.UsableShare*p.slots())))
}

// hedgeRoom returns how many usable slots of an upstream are free for hedges. A cold upstream has none.
// Unlike for other attempts, the reported load does not decay with the report's age.
func (r *Reducer) hedgeRoom(p *peer) float64 {
	if p.tier == tierSelf {
		g := &r.guard
		if g.cold.Binds(r.now) || g.upstreamDown || r.closedReason() != "" {
			return 0
		}
		return r.usableSlotsOf(p) - float64(max(g.running+g.queued(), p.outstanding()))
	}
	if p.report.slots > 0 && p.report.slots < p.member.Slots() {
		// Only the guard of a cold upstream reports fewer slots than were announced.
		return 0
	}
	others := max(0, p.report.short+p.report.long-p.ownAtReport[0]-p.ownAtReport[1])
	return r.usableSlotsOf(p) - float64(others+p.outstanding())
}
