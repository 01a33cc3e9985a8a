package reducer

// upstreamAnnounced applies an announcement of the upstream. A new or restarted upstream
// starts its warm-up; its short and long service times, pace and failure share are reset. A run
// that is leaving stays so, whatever it announces later.
func (r *Reducer) upstreamAnnounced(e UpstreamAnnounced) {
	g := &r.guard
	run := NewUpstreamRun(e.Instance, e.Started)
	left := e.Draining && r.recordLeave(run)
	fresh := g.service != e.Service || g.upstream != e.Address || g.run.instance != e.Instance || g.upstreamDown
	if fresh {
		g.warmupStart = r.now
		g.shortTime = 0
		g.longTime = 0
		g.admission.pace = 0
		g.admission.failures = 0
	}
	first, newRun := g.upstream == "", !g.run.sameRun(run)
	draining := e.Draining || g.leaving.include(run)
	changed := fresh || left || g.slots != e.Slots || g.draining != draining
	g.service = e.Service
	g.upstream = e.Address
	g.run = run
	g.slots = e.Slots
	g.draining = draining
	g.upstreamDown = false
	g.answeredAt = r.now
	r.recordWarmup(e.WarmupRemaining, first, newRun)
	if changed {
		r.announceSelf()
	}
	r.refuseQueueWhenClosed()
	r.startWork()
}

// upstreamFound applies an upstream's answer to the node's query, unless the upstream has
// announced itself in the meantime.
func (r *Reducer) upstreamFound(e UpstreamFound) {
	if r.guard.upstream == "" {
		// This is the health endpoint's own answer.
		r.guard.coldnessKnown = e.Announced.WarmupRemaining >= 0
		r.upstreamAnnounced(e.Announced)
	}
}

// UpstreamKnown reports whether the node knows its upstream.
func (r *Reducer) UpstreamKnown() bool { return r.guard.upstream != "" }

// HealthPath returns the health-check path of a service's upstreams, or an empty string if
// the plan does not set one.
func (r *Reducer) HealthPath(service string) string {
	if s := r.planInForceIndex[service]; s != nil {
		return s.plan.HealthPath
	}
	return ""
}

// upstreamLeaving reports whether the upstream accepts no new work: the node is stopping, the
// upstream is draining or may be, or the plan excludes it.
func (r *Reducer) upstreamLeaving() bool {
	if (r.stopping && !r.now.Before(r.admitUntil)) || r.guard.draining || r.leavingUnknown() {
		return true
	}
	s := r.planInForceIndex[r.guard.service]
	return s != nil && s.plan.excludes(r.guard.upstream)
}
