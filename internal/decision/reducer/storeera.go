package reducer

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// storeEra is what a node knows of the store's era.
type storeEra struct {
	known bool
	era   uint64
	// noticedAt is when a return of the store was noticed, until leaving runs at the addresses of members that are gone
	// were written again; otherwise it is zero.
	noticedAt time.Time
}

// StoreEra returns the highest era of the store that this node or a peer has seen, or zero.
func (r *Reducer) StoreEra() uint64 { return r.storeEra.era }

// noteStoreEra applies an era of the store that this node or a peer has seen. In a later era, what this node wrote
// to the directory may be gone, and is written again.
func (r *Reducer) noteStoreEra(era uint64) {
	known := r.storeEra
	if known.known && era <= known.era {
		return
	}
	r.storeEra = storeEra{known: true, era: era}
	if !known.known {
		return
	}
	r.storeEra.noticedAt = r.now
	r.guard.leavingMemory.stored = false
	r.noteDecision(Decision{
		Kind: DecisionStoreReturned, Reason: fmt.Sprintf("era %d after %d", era, known.era), Plan: r.planInForce.offset,
	})
	r.emit(RewriteDirectory{Era: era})
}

// notePeerStoreEra applies the era that a peer tells. A peer that has not reached the store yet tells zero.
func (r *Reducer) notePeerStoreEra(d Digest) {
	if d.StoreEra > 0 {
		r.noteStoreEra(d.StoreEra)
	}
}

// goneWait is how long after a return of the store members that have not reported since count as gone.
const goneWait = 900 * time.Millisecond

// rewriteJob is the job name in the hash that chooses who writes for a member that is gone.
const rewriteJob = "rewrite-leaving/"

// rewriteLeavingRunsOfGone writes the leaving runs at the addresses of members that have not reported since a return
// of the store to the directory again. Of the members that have reported, one writes for each address.
func (r *Reducer) rewriteLeavingRunsOfGone() {
	noticed := r.storeEra.noticedAt
	if noticed.IsZero() || r.now.Sub(noticed) < goneWait {
		return
	}
	r.storeEra.noticedAt = time.Time{}
	for _, address := range slices.Sorted(maps.Keys(r.members.leavingRuns)) {
		if p := r.members.peers[address]; p != nil && p.heardAt.After(noticed) {
			continue
		}
		job := rewriteJob + address
		earlier := func(p *peer) bool {
			return p.heardAt.After(noticed) && jobHash(job, p.member.ID().Address()) < jobHash(job, r.Self.Address)
		}
		if !slices.ContainsFunc(r.members.order, earlier) {
			r.emit(RewriteLeavingRuns{Address: address, Runs: slices.Clone(r.members.leavingRuns[address])})
		}
	}
}

// planlessPeers is how many peers without a plan, or all if there are fewer, let a process take the store's plan.
const planlessPeers = 2

// peerWordWait is how long a process that starts waits for its peers' words of what the store may not have: leavings and,
// beside a store with eras, the plan.
const peerWordWait = 600 * time.Millisecond

// firstPlan is the plan that a process without a plan has read from a store with eras. The store may have come back
// from a copy with an older plan, so a peer's plan is waited for.
type firstPlan struct {
	plan Plan
	// deadline is when the plan is put in force without a peer's word, or zero before there is one.
	deadline time.Time
	// planless holds the addresses of the peers that have told that they have no plan, and offered is set once
	// one has told that it has a plan.
	planless []string
	offered  bool
}

// planPublished puts a plan of the store in force, unless it is a first one that waits for a peer's word.
func (r *Reducer) planPublished(plan Plan) {
	if r.planInForce.offset > 0 || r.storeEra.era == 0 {
		r.adoptPlan(plan)
		return
	}
	if r.firstPlan.deadline.IsZero() {
		r.firstPlan.deadline = r.now.Add(peerWordWait)
	}
	if plan.offset > r.firstPlan.plan.offset {
		r.firstPlan.plan = plan
	}
	r.takeFirstPlanIfDue()
}

// peerPlanReceived puts a peer's plan in force. A plan that this process has read from another era of the store can't
// be compared with it by offset.
func (r *Reducer) peerPlanReceived(plan Plan) {
	r.adoptPlan(plan)
	if own := r.firstPlan.plan; own.spec.StoreEra == plan.spec.StoreEra {
		r.adoptPlan(own)
	}
	r.firstPlan = firstPlan{}
}

// peerToldPlan notes whether a peer has a plan.
func (r *Reducer) peerToldPlan(d Digest) {
	first := &r.firstPlan
	switch {
	case r.planInForce.offset > 0:
		return
	case d.PlanOffset > 0:
		first.offered = true
	case !slices.Contains(first.planless, d.Address):
		first.planless = append(first.planless, d.Address)
	}
	r.takeFirstPlanIfDue()
}

// takeFirstPlanIfDue puts the store's plan in force if no peer has one, or none has sent it in time.
func (r *Reducer) takeFirstPlanIfDue() {
	first := r.firstPlan
	nobodyHasOne := !first.offered && r.hasPeers() && len(first.planless) >= min(planlessPeers, r.peerCount())
	if first.deadline.IsZero() || r.now.Before(first.deadline) && !nobodyHasOne {
		return
	}
	r.firstPlan = firstPlan{}
	r.adoptPlan(first.plan)
}

// hasPeers reports whether other members are known.
func (r *Reducer) hasPeers() bool { return r.peerCount() > 0 }

// peerCount returns the number of other members.
func (r *Reducer) peerCount() int {
	count := 0
	for _, p := range r.members.order {
		if p.tier != tierSelf {
			count++
		}
	}
	return count
}
