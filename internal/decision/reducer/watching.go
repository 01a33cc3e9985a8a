package reducer

// WatchesPlans reports whether this node waits for plans at the store: only a few nodes
// of each region do, first by hash, of those that reach it. The others learn of a plan by the reports
// of their peers, and take the place of one that falls silent or loses the store.
func (r *Reducer) WatchesPlans() bool {
	if r.inForce.offset == 0 {
		return true
	}
	mine := jobHash(watchJob, r.Self.Address)
	before := 0
	for _, p := range r.members.order {
		if p.tier == tierSelf || p.tier == tierOther || !p.plansReachable || !r.heardLately(p) {
			continue
		}
		if jobHash(watchJob, p.member.spec.Address) < mine {
			before++
		}
	}
	return before < r.Settings.PlanWatchers
}

// watchJob names the job in the order of nodes.
const watchJob = "watch-plans"

// plansReached notes whether this node reaches the place where plans are published.
func (r *Reducer) plansReached(e PlansReached) {
	if r.plansReachable == e.Reached {
		return
	}
	r.plansReachable = e.Reached
	r.introduce()
}
