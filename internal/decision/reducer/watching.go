package reducer

import "time"

// WatchesPlans reports whether this node waits for plans at the store: only a few nodes
// of each region do, first by hash, of those that reach it. The others learn of a plan by the reports
// of their peers, and take the place of one that falls silent or loses the store.
func (r *Reducer) WatchesPlans() bool {
	waiting := r.inForce.offset == 0
	if waiting && r.now.Sub(r.begun) > firstPlanTime {
		return true
	}
	mine := jobHash(watchJob, r.Self.Address)
	before := 0
	for _, p := range r.members.order {
		if !p.near() || (!p.plansReachable && !waiting) || !r.heardLately(p) {
			continue
		}
		if jobHash(watchJob, p.member.spec.Address) < mine {
			before++
		}
	}
	return before < r.Settings.PlanWatchers
}

// firstPlanTime is how long a node that starts leaves it to its peers to wait for the first
// plan, several reads of the store; each reads it once by itself before it knows any peer.
const firstPlanTime = 1500 * time.Millisecond

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
