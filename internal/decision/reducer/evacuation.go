package reducer

import "slices"

// updateEvacuation applies the plan's evacuated zones to this node's guard.
func (r *Reducer) updateEvacuation() {
	g := &r.guard
	evacuated := slices.Contains(r.planInForce.spec.EvacuatedZones, r.Self.Zone)
	if evacuated == g.evacuated {
		return
	}
	g.evacuated = evacuated
	g.warmupQuery = warmupQuery{}
	if !evacuated && g.cold.Bounded() && g.upstream != "" {
		// The upstream is cold after an evacuation, and only it knows for how long.
		r.beginWarmupQuery(true)
	}
	kind := DecisionEvacuationEnded
	if evacuated {
		kind = DecisionEvacuationBegun
	}
	r.noteDecision(Decision{Kind: kind, Reason: r.Self.Zone, Service: g.service, Peer: g.upstream, Plan: r.planInForce.offset})
}

// closedReason returns why the guard admits no work to its upstream, or an empty reason.
func (r *Reducer) closedReason() RefusalReason {
	switch {
	case r.upstreamLeaving():
		return RefusalLeaving
	case r.guard.evacuated || r.guard.warmupQuery.closes:
		return RefusalEvacuated
	case r.planInForce.offset == 0 && r.guard.cold.Cold(r.now):
		// Only the plan tells how many requests the cold upstream bears.
		return RefusalNoUpstream
	default:
		return ""
	}
}

// AllowsResend reports whether the guard may send a running attempt to its upstream once more, on
// another connection: not if the upstream was evacuated or became cold while the attempt ran.
func (r *Reducer) AllowsResend() bool {
	g := &r.guard
	return !g.evacuated && !g.warmupQuery.closes && !g.cold.Binds(r.now)
}

// refuseQueueWhenClosed refuses all queued attempts if the guard admits no work to its upstream, so
// that their entries can retry them elsewhere.
func (r *Reducer) refuseQueueWhenClosed() {
	reason := r.closedReason()
	if reason == "" {
		return
	}
	g := &r.guard
	for _, q := range []*workQueue{&g.short, &g.long} {
		for _, w := range slices.Clone(q.works) {
			r.dropQueued(w, reason)
		}
	}
	r.refuseAdmitted(reason)
}
