package reducer

import "time"

// healthChecks holds the state of the active health checks and their budgets of upstream work
// and bytes.
type healthChecks struct {
	// work is the budget of upstream work, in seconds.
	work  tokenBucket
	bytes tokenBucket
	// due is the earliest time of the next probe.
	due      time.Time
	inFlight bool
	// failures counts consecutive failed probes, up to maxProbeBackoff.
	failures int
}

const (
	// probeBytes is the assumed size in bytes of a probe and its answer until the probe
	// reports the actual size.
	probeBytes = 512
	// maxProbeBackoff limits how often failures double the probe period.
	maxProbeBackoff = 5
)

func (p *healthChecks) init(s Settings, now time.Time) {
	p.work = newTokenBucket(s.ProbeWork.Seconds(), probeWorkRate(s), now)
	p.bytes = newTokenBucket(max(float64(s.ProbeBytesBudget), probeBytes), float64(s.ProbeBytesBudget), now)
}

// probeWorkRate returns the refill rate of the work budget, in seconds of work per second. As
// the bucket starts with one probe, the rate is the budget less one probe, so that no
// second exceeds the budget. A budget below one probe still allows a probe once enough
// tokens have accumulated.
func probeWorkRate(s Settings) float64 {
	if s.ProbeWorkBudget <= s.ProbeWork {
		return s.ProbeWorkBudget.Seconds()
	}
	return (s.ProbeWorkBudget - s.ProbeWork).Seconds()
}

// probe checks the upstream's health if there was no recent answer and the budgets allow
// it.
func (r *Reducer) probe() {
	g := &r.guard
	p := &r.probes
	if g.upstream == "" || p.inFlight || r.now.Before(p.due) || r.stopping || g.evacuated {
		return
	}
	if r.now.Before(g.answeredAt.Add(r.Settings.FreshAnswer)) {
		return
	}
	p.work.refill(r.now)
	p.bytes.refill(r.now)
	if p.work.tokens < r.Settings.ProbeWork.Seconds() || p.bytes.tokens < probeBytes || !g.cold.Ready(r.now) {
		r.counts.ProbesDenied++
		return
	}
	p.work.spend(r.Settings.ProbeWork.Seconds())
	p.bytes.spend(probeBytes)
	g.cold.Take(r.now)
	p.inFlight = true
	r.counts.Probes++
	r.emit(ProbeUpstream{Upstream: g.upstream, HealthPath: r.HealthPath(g.service)})
}

// probeEnded applies the result of a health check. A success brings back an upstream that was
// down; the second failure in a row marks it as down unless an attempt is running there.
func (r *Reducer) probeEnded(e ProbeEnded) {
	p := &r.probes
	g := &r.guard
	p.inFlight = false
	// Bytes beyond the assumed size are deducted afterwards.
	p.bytes.tokens -= float64(max(0, e.Bytes-probeBytes))
	if e.Healthy {
		p.failures = 0
		g.answeredAt = r.now
		if g.upstreamDown {
			g.upstreamDown = false
			g.warmupStart = r.now
			// Another run of the upstream may have answered.
			g.coldnessKnown = false
			r.checkWarmup()
			r.announceSelf()
		}
	} else {
		p.failures = min(p.failures+1, maxProbeBackoff)
		if !g.upstreamDown && p.failures > 1 && g.running == 0 {
			g.upstreamDown = true
			r.announceSelf()
		}
	}
	p.due = r.now.Add(r.Settings.ProbePeriod << min(p.failures, maxProbeBackoff))
	r.startWork()
}
