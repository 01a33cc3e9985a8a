package reducer

import (
	"math"
	"slices"
	"time"
)

const (
	// serviceTimeWeight and failureWeight are the weights of a new sample in the
	// exponential moving averages of service time and failure rate.
	serviceTimeWeight = 0.2
	failureWeight     = 0.15
	// ejectFailureRate is the failure rate, from 0 to 1, above which a peer is ejected.
	ejectFailureRate = 0.5
	// ejectSlowness is the multiple of the service's median time above which a peer is
	// ejected.
	ejectSlowness = 3
	// minEjectSamples is the number of samples below which a peer is not ejected.
	minEjectSamples = 5
	// minEjectMembers is the size of a service below which no peer is ejected.
	minEjectMembers = 3
	// ejectBackoff is the length of a first ejection; it doubles with every further one,
	// up to maxEject.
	ejectBackoff = time.Second
	maxEject     = 30 * time.Second
	// reportHalfLife is the half-life of the work of other entries in a load report. It
	// exceeds the 400 ms after which a guard repeats an unchanged load (heartbeatPeriod).
	reportHalfLife = 600 * time.Millisecond
	// otherRegionHalfLife is the half-life for peers of other regions, which report every second.
	otherRegionHalfLife = 2 * time.Second
	// maxReportHalfLives is the number of half-lives after which a report is ignored.
	maxReportHalfLives = 8
	// minServiceTime is the lower bound of an expected service time.
	minServiceTime = 100 * time.Microsecond
	// staleSample is the age above which the last service time sample is stale.
	staleSample = time.Second
	// staleDecayDivisor sets how fast a stale service time approaches the median: every refresh
	// closes 1/staleDecayDivisor of the distance.
	staleDecayDivisor = 8
	// refusalBackoff is how long a peer is avoided after it refused an attempt.
	refusalBackoff = time.Second
)

// peer holds what an entry knows of one member and its upstream.
type peer struct {
	member Member
	tier   tier
	// subsetKey is the address's part of the subset order.
	subsetKey uint64
	// using and others are the result of reportReceivers at generation receiversAt.
	using, others []string
	receiversAt   int
	// expires is when the member is removed unless it is announced again.
	expires time.Time
	// heardAt is when the peer's own load report last arrived, directly or relayed.
	heardAt time.Time
	// announcedLeaving is the leaving state that was last reported to the operators.
	announcedLeaving bool
	// plansReachable reports whether the peer can reach the plan store.
	plansReachable bool
	// quotaAnsweredAt is when the peer last answered a request for tokens, and quotaHolders holds the
	// marks of the holders that its entry uses, a byte for each group of tenants.
	quotaAnsweredAt time.Time
	// quotaFailedAt is when the peer last failed to answer such a request, or zero since an answer.
	quotaFailedAt time.Time
	// quotaDroppedAt is when the peer was last replaced as a holder of tenants' quotas.
	quotaDroppedAt time.Time
	quotaHolders   uint64
	// uptimeAhead is how far the peer's uptime was ahead of this process's at uptimeNotedAt.
	uptimeAhead   time.Duration
	uptimeNotedAt time.Time
	// excluded reports whether the plan excludes the upstream from new work.
	excluded bool
	// runLeft reports whether the run of the upstream that the member announces has left.
	runLeft bool
	// evacuated reports whether the plan evacuates the upstream's availability zone.
	evacuated bool
	// weight is the plan's weight for the peer's region; zero sends no work there.
	weight int

	// starts holds the start times of this entry's attempts in flight, oldest first, by
	// length class (see lengthIndex).
	starts     [2][]time.Time
	report     LoadReport
	reportedAt time.Time
	// ownAtReport is the number of this entry's attempts in flight when the report
	// arrived, by length class.
	ownAtReport [2]int

	// serviceTime is the moving average of the service time of short work.
	serviceTime time.Duration
	// sampledAt is when serviceTime was last measured.
	sampledAt time.Time
	// samples is the number of service times measured.
	samples int
	// failureRate is the moving average of failures, from 0 to 1.
	failureRate float64
	// outcomes is the number of answers since the last ejection.
	outcomes int

	// ejectedUntil is the end of the last ejection.
	ejectedUntil time.Time
	// ejections is the number of ejections since the last passed trial.
	ejections int
	// onTrial limits the peer to one attempt at a time after an ejection.
	onTrial bool
	// avoidUntil is the end of the backoff after a refusal, failed connection or exchange.
	avoidUntil time.Time
	// unreachableTimes is the number of consecutive failed connections or exchanges.
	unreachableTimes int
}

// near reports whether the peer is another node in this node's region.
func (p *peer) near() bool { return p.tier == tierZone || p.tier == tierRegion }

// newPeer returns a peer without measurements, with a region weight of one.
func newPeer(member Member, t tier) *peer {
	return &peer{member: member, tier: t, weight: 1, subsetKey: subsetKey(member.ID().Address())}
}

// announced stores a later announcement of the same process. A different upstream resets
// the service time and the backoff.
func (p *peer) announced(member Member) {
	upstreamChanged := member.Upstream() != p.member.Upstream()
	p.member = member
	if upstreamChanged {
		p.serviceTime = 0
		p.samples = 0
		p.avoidUntil = time.Time{}
	}
}

// applyPolicy applies the plan's policy for the peer's service; s is nil when the plan does not
// name the service.
func (p *peer) applyPolicy(s *indexedService) {
	p.excluded = s != nil && s.plan.excludes(p.member.Upstream())
	p.weight = 1
	if s != nil {
		p.weight = s.plan.regionWeight(p.member.Region())
	}
}

// lengthIndex returns the index of a length class in starts and ownAtReport.
func lengthIndex(l Length) int {
	if l == LengthLong {
		return 1
	}
	return 0
}

// outstanding returns the number of this entry's attempts in flight.
func (p *peer) outstanding() int { return len(p.starts[0]) + len(p.starts[1]) }

// attemptStarted records the start of an attempt.
func (p *peer) attemptStarted(l Length, now time.Time) {
	i := lengthIndex(l)
	p.starts[i] = append(p.starts[i], now)
}

// attemptEnded removes the attempt that started at the given time.
func (p *peer) attemptEnded(l Length, started time.Time) {
	i := lengthIndex(l)
	at := slices.IndexFunc(p.starts[i], started.Equal)
	if at >= 0 {
		p.starts[i] = slices.Delete(p.starts[i], at, at+1)
	}
}

// recordReport stores the guard's load report, unless the last one is younger than period.
func (p *peer) recordReport(l LoadReport, now time.Time, period time.Duration) {
	if now.Sub(p.reportedAt) < period {
		return
	}
	p.report = l
	p.reportedAt = now
	p.ownAtReport = [2]int{len(p.starts[0]), len(p.starts[1])}
}

// shortAndLongLoad estimates the number of short and long attempts at the upstream. This entry's own
// attempts are counted exactly; those of other entries come from the last report and decay
// with its age.
func (p *peer) shortAndLongLoad(now time.Time) (short, long float64) {
	reportWeight := p.reportWeight(now)
	short = float64(len(p.starts[0])) + reportWeight*float64(max(0, p.report.short-p.ownAtReport[0]))
	long = float64(len(p.starts[1])) + reportWeight*float64(max(0, p.report.long-p.ownAtReport[1]))
	return short, long
}

// load estimates the number of attempts at the upstream.
func (p *peer) load(now time.Time) float64 {
	short, long := p.shortAndLongLoad(now)
	return short + long
}

// reportWeight returns the weight of the last report, from 0 to 1, by its age.
func (p *peer) reportWeight(now time.Time) float64 {
	if p.report.IsZero() {
		return 0
	}
	halfLife := reportHalfLife
	if p.tier == tierOtherRegion {
		halfLife = otherRegionHalfLife
	}
	halves := float64(now.Sub(p.reportedAt)) / float64(halfLife)
	if halves > maxReportHalfLives {
		return 0
	}
	return math.Exp2(-halves)
}

// loadAndSlots returns the number of attempts that a new attempt of a length class would compete
// with, and the number of slots that they share. Reserve is the share of slots, from 0 to
// 1, that long work never uses.
func (p *peer) loadAndSlots(l Length, now time.Time, reserve float64) (load, slots float64) {
	short, long := p.shortAndLongLoad(now)
	mostLong := float64(longSlots(int(p.slots()), reserve))
	if l == LengthLong {
		return long, mostLong
	}
	return short, max(1, p.slots()-min(long, mostLong))
}

// slots returns how many calls the upstream runs at a time, at least one. The load report of a cold
// upstream has fewer slots than its announcement.
func (p *peer) slots() float64 {
	slots := p.member.Slots()
	if p.report.slots > 0 {
		slots = min(slots, p.report.slots)
	}
	return float64(max(1, slots))
}

// recordAnswer updates the failure rate and the service time with an answer. Took excludes the
// wait in the guard's queue; median is the service's median time, or zero. Failures and
// long work don't count as service time samples.
func (p *peer) recordAnswer(now time.Time, l Length, took time.Duration, failed bool, median time.Duration) {
	p.outcomes++
	p.unreachableTimes = 0
	p.avoidUntil = time.Time{}
	failure := 0.0
	if failed {
		failure = 1
	}
	p.failureRate += failureWeight * (failure - p.failureRate)
	if failed || l == LengthLong {
		return
	}
	if p.onTrial && median > 0 && took < ejectSlowness*median {
		p.onTrial = false
		p.ejections = 0
		p.serviceTime = took
	}
	if p.samples == 0 {
		p.serviceTime = took
	}
	p.samples++
	p.sampledAt = now
	p.serviceTime += time.Duration(serviceTimeWeight * float64(took-p.serviceTime))
}

// expectedServiceTime returns the smoothed service time of short work, without the wait for
// a slot. If the oldest short attempt in flight, less the wait that the load accounts for,
// exceeds that, its age is returned instead: it shows a stall before any answer arrives.
func (p *peer) expectedServiceTime(now time.Time, median time.Duration) time.Duration {
	expected := p.serviceTime
	if p.samples == 0 {
		expected = median
	}
	if short := p.starts[0]; len(short) > 0 {
		wait := time.Duration(p.load(now) / p.slots() * float64(max(expected, median)))
		expected = max(expected, now.Sub(short[0])-wait)
	}
	return max(expected, minServiceTime)
}

// closed reports whether the upstream gets no new work, whatever its load.
func (p *peer) closed() bool { return p.member.Leaving() || p.runLeft || p.excluded || p.evacuated }

// usable reports whether new attempts may be sent to the peer.
func (p *peer) usable(now time.Time) bool {
	if p.closed() || p.weight == 0 {
		return false
	}
	if now.Before(p.avoidUntil) || now.Before(p.ejectedUntil) {
		return false
	}
	return !p.onTrial || p.outstanding() == 0
}

// avoid excludes the peer from new attempts for refusalBackoff after a refusal.
func (p *peer) avoid(now time.Time) { p.avoidUntil = now.Add(refusalBackoff) }

// unreachable excludes the peer from new attempts after a failed connection or exchange,
// with exponential backoff.
func (p *peer) unreachable(now time.Time) {
	backoff := min(unreachableBackoff<<min(p.unreachableTimes, 6), maxUnreachable)
	p.unreachableTimes++
	p.avoidUntil = now.Add(backoff)
}

// reachable ends the backoff of an unreachable peer.
func (p *peer) reachable() {
	if p.unreachableTimes > 0 {
		p.unreachableTimes = 0
		p.avoidUntil = time.Time{}
	}
}

// decayServiceTime moves a stale service time toward the median, so that an upstream that was once
// slow gets work again.
func (p *peer) decayServiceTime(now time.Time, median time.Duration) {
	if p.samples > 0 && now.Sub(p.sampledAt) > staleSample {
		p.serviceTime += (median - p.serviceTime) / staleDecayDivisor
	}
}

// outlier reports whether the peer is ejectSlowness times slower than the service's median,
// or fails more often than ejectFailureRate.
func (p *peer) outlier(now time.Time, median time.Duration) bool {
	if p.outcomes >= minEjectSamples && p.failureRate > ejectFailureRate {
		return true
	}
	if median == 0 || p.samples < minEjectSamples {
		return false
	}
	return p.expectedServiceTime(now, median) > ejectSlowness*median
}

// eject excludes the peer from new attempts, with exponential backoff, and puts it on trial
// afterwards.
func (p *peer) eject(now time.Time) {
	p.ejectedUntil = now.Add(min(ejectBackoff<<min(p.ejections, 5), maxEject))
	p.ejections++
	p.onTrial = true
	p.failureRate = 0
	p.outcomes = 0
}

// refresh updates the service's median time and ejects outliers. At most MaxEjectedShare of
// the service's upstreams are ejected or on trial at a time.
func (s *servicePeers) refresh(now time.Time, settings Settings) {
	var times []time.Duration
	ejected := 0
	for _, p := range s.all {
		if p.samples > 0 && !p.onTrial {
			times = append(times, p.serviceTime)
		}
		if now.Before(p.ejectedUntil) || p.onTrial {
			ejected++
		}
	}
	if len(times) > 0 {
		slices.Sort(times)
		s.medianServiceTime = times[len(times)/2]
	}
	for _, p := range s.all {
		if !p.onTrial {
			p.decayServiceTime(now, s.medianServiceTime)
		}
	}
	if len(s.all) < minEjectMembers {
		return
	}
	allowed := int(settings.MaxEjectedShare * float64(len(s.all)))
	for _, p := range s.all {
		if ejected >= allowed {
			return
		}
		if now.Before(p.ejectedUntil) || p.onTrial || !p.outlier(now, s.medianServiceTime) {
			continue
		}
		p.eject(now)
		ejected++
	}
}
