package reducer

import "time"

// probing bounds the work and the bytes that measuring the upstream costs.
type probing struct {
	work     tokenBucket
	bytes    tokenBucket
	due      time.Time
	inFlight bool
	failures int
}

const (
	// probeBytes is what one probe and its answer are assumed to cost until
	// the probe tells.
	probeBytes      = 512
	maxProbeBackoff = 5
)

func (p *probing) init(s Settings, now time.Time) {
	p.work = newTokenBucket(s.ProbeWork.Seconds(), workRate(s), now)
	p.bytes = newTokenBucket(max(float64(s.ProbeBytesBudget), probeBytes), float64(s.ProbeBytesBudget), now)
}

// workRate is what a bucket that holds one probe may earn in a second, so that no
// second costs more than the budget. A budget below one probe still lets one pass
// when it has been earned.
func workRate(s Settings) float64 {
	if s.ProbeWorkBudget <= s.ProbeWork {
		return s.ProbeWorkBudget.Seconds()
	}
	return (s.ProbeWorkBudget - s.ProbeWork).Seconds()
}

// probe asks the upstream for its health when no answer has told of it lately
// and the budget allows.
func (r *Reducer) probe() {
	g := &r.guard
	p := &r.probes
	if g.upstream == "" || p.inFlight || r.now.Before(p.due) || r.stopping {
		return
	}
	if r.now.Before(g.answeredAt.Add(r.Settings.FreshAnswer)) {
		return
	}
	p.work.refill(r.now)
	p.bytes.refill(r.now)
	if p.work.tokens < r.Settings.ProbeWork.Seconds() || p.bytes.tokens < probeBytes {
		r.counts.ProbesDenied++
		return
	}
	p.work.spend(r.Settings.ProbeWork.Seconds())
	p.bytes.spend(probeBytes)
	p.inFlight = true
	r.counts.Probes++
	r.emit(ProbeUpstream{Upstream: g.upstream, HealthPath: r.HealthPath(g.service)})
}

func (r *Reducer) probeEnded(e ProbeEnded) {
	p := &r.probes
	g := &r.guard
	p.inFlight = false
	// A probe that cost more than was assumed is paid for afterwards.
	p.bytes.tokens -= float64(max(0, e.Bytes-probeBytes))
	if e.Healthy {
		p.failures = 0
		g.answeredAt = r.now
		if g.dead {
			g.dead = false
			g.announced = r.now
			r.announceSelf()
		}
	} else {
		p.failures = min(p.failures+1, maxProbeBackoff)
		if !g.dead && p.failures > 1 && g.running == 0 {
			g.dead = true
			r.announceSelf()
		}
	}
	p.due = r.now.Add(r.Settings.ProbePeriod << min(p.failures, maxProbeBackoff))
	r.startWork()
}
