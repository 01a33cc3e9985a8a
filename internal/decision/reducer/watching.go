package reducer

import "time"

// WatchesPlanStore reports whether this node watches the plan store. In each region only the
// first PlanWatchers nodes by hash do, among those that can reach the store. The others learn
// of a plan from their peers' reports, and replace a watcher that stops reporting or can no
// longer reach the store. Until firstPlanTime all peers count, because a node that has just
// started does not know yet whether it can reach the store.
func (r *Reducer) WatchesPlanStore() bool {
	starting := r.planInForce.offset == 0 && r.now.Sub(r.startedAt) <= firstPlanTime
	mine := jobHash(watchJob, r.Self.Address)
	before := 0
	for _, p := range r.members.order {
		if !p.near() || (!p.plansReachable && !starting) || !r.reportedRecently(p) {
			continue
		}
		if jobHash(watchJob, p.member.spec.Address) < mine {
			before++
		}
	}
	return before < r.Settings.PlanWatchers
}

// firstPlanTime is how long after its start a node without a plan relies on peers of which it
// does not know that they reach the store: enough for several reads.
const firstPlanTime = 1500 * time.Millisecond

// watchJob is the job name in the hash that orders the watchers.
const watchJob = "watch-plans"

// updatePlanStoreReachable records whether this node can reach the plan store and announces a change.
func (r *Reducer) updatePlanStoreReachable(e PlanStoreReachable) {
	if r.plansReachable == e.Reached {
		return
	}
	r.plansReachable = e.Reached
	r.introduce()
}
