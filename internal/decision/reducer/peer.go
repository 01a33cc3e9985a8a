package reducer

import (
	"math"
	"slices"
	"time"
)

const (
	serviceTimeWeight = 0.2
	failureWeight     = 0.15
	ejectFailureRate  = 0.5
	ejectSlowness     = 3
	minEjectSamples   = 5
	minEjectMembers   = 3
	ejectBackoff      = time.Second
	maxEject          = 30 * time.Second
	// reportHalfLife is when half of the work that others had at an upstream is forgotten:
	// a guard with nothing new to say reports each 400 ms.
	reportHalfLife = 600 * time.Millisecond
	// farHalfLife is the same for peers of other regions, which report each second.
	farHalfLife    = 2 * time.Second
	maxFadeHalves  = 8
	minServiceTime = 100 * time.Microsecond
	staleSample    = time.Second
	// forgetSteps is how many renewals take a stale service time most of the way to
	// the median.
	forgetSteps   = 8
	avoidRefusing = time.Second
)

// peer is what an entry knows of one member and its upstream.
type peer struct {
	member  Member
	tier    tier
	expires time.Time
	// heardAt is when the peer last reported its load by itself.
	heardAt time.Time
	// announcedLeaving is what the operators were told last.
	announcedLeaving bool
	// plansReachable tells that the peer reaches the place where plans are published.
	plansReachable bool
	// excluded tells that the plan sends no new work there.
	excluded bool
	weight   int

	// starts holds the start of each attempt in flight, oldest first.
	starts     [2][]time.Time
	report     LoadReport
	reportedAt time.Time
	// ownAtReport counts this entry's attempts that the report includes.
	ownAtReport [2]int

	serviceTime time.Duration
	sampledAt   time.Time
	samples     int
	failureRate float64
	outcomes    int

	ejectedUntil time.Time
	ejections    int
	// onTrial admits one attempt at a time after an ejection.
	onTrial          bool
	avoidUntil       time.Time
	unreachableTimes int
}

// near reports whether the peer is another node of the own region.
func (p *peer) near() bool { return p.tier == tierZone || p.tier == tierRegion }

func newPeer(member Member, t tier) *peer {
	return &peer{member: member, tier: t, weight: 1}
}

// announced takes a later announcement of the same process.
func (p *peer) announced(member Member) {
	upstreamChanged := member.Upstream() != p.member.Upstream()
	p.member = member
	if upstreamChanged {
		p.serviceTime = 0
		p.samples = 0
		p.avoidUntil = time.Time{}
	}
}

// planned takes the plan's policy for the peer's service, or nil.
func (p *peer) planned(s *indexedService) {
	p.excluded = s != nil && s.plan.excludes(p.member.Upstream())
	p.weight = 1
	if s != nil {
		p.weight = s.plan.regionWeight(p.member.Region())
	}
}

func lengthIndex(l Length) int {
	if l == LengthLong {
		return 1
	}
	return 0
}

// outstanding counts this entry's attempts in flight.
func (p *peer) outstanding() int { return len(p.starts[0]) + len(p.starts[1]) }

func (p *peer) begin(l Length, now time.Time) {
	i := lengthIndex(l)
	p.starts[i] = append(p.starts[i], now)
}

func (p *peer) end(l Length, started time.Time) {
	i := lengthIndex(l)
	at := slices.IndexFunc(p.starts[i], started.Equal)
	if at >= 0 {
		p.starts[i] = slices.Delete(p.starts[i], at, at+1)
	}
}

// reported takes the guard's load, unless the last report is younger than period.
func (p *peer) reported(l LoadReport, now time.Time, period time.Duration) {
	if now.Sub(p.reportedAt) < period {
		return
	}
	p.report = l
	p.reportedAt = now
	p.ownAtReport = [2]int{len(p.starts[0]), len(p.starts[1])}
}

// loads estimates the short and the long work at the upstream now: this entry's own
// is exact, and what others had there when the report was made fades with its age.
func (p *peer) loads(now time.Time) (short, long float64) {
	fade := p.fade(now)
	short = float64(len(p.starts[0])) + fade*float64(max(0, p.report.short-p.ownAtReport[0]))
	long = float64(len(p.starts[1])) + fade*float64(max(0, p.report.long-p.ownAtReport[1]))
	return short, long
}

// load estimates all work at the upstream now.
func (p *peer) load(now time.Time) float64 {
	short, long := p.loads(now)
	return short + long
}

// fade is how much of the last report still counts.
func (p *peer) fade(now time.Time) float64 {
	if p.report.IsZero() {
		return 0
	}
	halfLife := reportHalfLife
	if p.tier == tierOther {
		halfLife = farHalfLife
	}
	halves := float64(now.Sub(p.reportedAt)) / float64(halfLife)
	if halves > maxFadeHalves {
		return 0
	}
	return math.Exp2(-halves)
}

// crowd is the work that a new attempt of a length class would share slots with, and
// the slots that they have.
func (p *peer) crowd(l Length, now time.Time, reserve float64) (load, slots float64) {
	short, long := p.loads(now)
	mostLong := float64(longSlots(max(1, p.member.Slots()), reserve))
	if l == LengthLong {
		return long, mostLong
	}
	return short, max(1, p.slots()-min(long, mostLong))
}

// slots returns how many calls the upstream runs at a time, at least one.
func (p *peer) slots() float64 {
	return float64(max(1, p.member.Slots()))
}

// answered takes the time and the status of an answer that came now.
func (p *peer) answered(now time.Time, l Length, took time.Duration, failed bool, median time.Duration) {
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

// expectedServiceTime is the smoothed time of short work without its wait for a slot.
// It is the age of the oldest short attempt in flight, less the wait that the load
// explains, when that is longer: a stall shows before any answer does.
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

// usable reports whether a choice may take the peer.
func (p *peer) usable(now time.Time) bool {
	if p.member.Leaving() || p.excluded || p.weight == 0 {
		return false
	}
	if now.Before(p.avoidUntil) || now.Before(p.ejectedUntil) {
		return false
	}
	return !p.onTrial || p.outstanding() == 0
}

// avoid keeps choices away for a while after a refusal.
func (p *peer) avoid(now time.Time) { p.avoidUntil = now.Add(avoidRefusing) }

// unreachable keeps choices away after a failed connection or exchange.
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

// forget lets a service time that is no longer measured drift to the median, so
// that an upstream that was slow once is tried again.
func (p *peer) forget(now time.Time, median time.Duration) {
	if p.samples > 0 && now.Sub(p.sampledAt) > staleSample {
		p.serviceTime += (median - p.serviceTime) / forgetSteps
	}
}

// outlier reports whether the peer answers far slower than its service, or
// fails much of the time.
func (p *peer) outlier(now time.Time, median time.Duration) bool {
	if p.outcomes >= minEjectSamples && p.failureRate > ejectFailureRate {
		return true
	}
	if median == 0 || p.samples < minEjectSamples {
		return false
	}
	return p.expectedServiceTime(now, median) > ejectSlowness*median
}

// eject keeps choices away, longer each time.
func (p *peer) eject(now time.Time) {
	p.ejectedUntil = now.Add(min(ejectBackoff<<min(p.ejections, 5), maxEject))
	p.ejections++
	p.onTrial = true
	p.failureRate = 0
	p.outcomes = 0
}

// refresh renews the service's median time and ejects outliers, so that no more
// than the largest share is ejected at a time.
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
		s.median = times[len(times)/2]
	}
	for _, p := range s.all {
		if !p.onTrial {
			p.forget(now, s.median)
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
		if now.Before(p.ejectedUntil) || p.onTrial || !p.outlier(now, s.median) {
			continue
		}
		p.eject(now)
		ejected++
	}
}
