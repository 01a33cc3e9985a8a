package reducer

import (
	"slices"
	"time"
)

const (
	// leavingHolders is how many peers must know of a leaving: one of them may end together with this process.
	leavingHolders = 2
	// leavingAskPeriod is the time between two requests to peers to remember a leaving, and leavingAnswerWait
	// how long they are waited for if the directory has stored it.
	leavingAskPeriod  = 150 * time.Millisecond
	leavingAnswerWait = 400 * time.Millisecond
	// firstWordsWait is how long after the first peer's word others may be on their way.
	firstWordsWait = 100 * time.Millisecond
	// leavingQueryPeriod is the time between two queries of a process that does not know yet which
	// runs have left.
	leavingQueryPeriod = 200 * time.Millisecond
)

// leavingMemory tracks where the guard's leaving runs are remembered outside this process.
type leavingMemory struct {
	// known is set once this process knows what earlier ones acknowledged. Until then it gives
	// the upstream no work.
	known bool
	// openAt is when the guard opens without the word of all peers, or zero.
	openAt time.Time
	// told holds the addresses of the peers that have told what they know, and toldAt is when the first did.
	told   []string
	toldAt time.Time
	// version is the version of the announcement that first had all of the runs.
	version uint64
	// stored is set once the directory has all of them, and holders are the addresses of the peers that have.
	stored  bool
	holders []string
	// askDue is when peers are asked next, and askedAt when the runs last changed.
	askDue  time.Time
	askedAt time.Time
	// waiting holds the requests for a confirmation that were not answered yet.
	waiting []LeavingConfirmationRequested
}

// recordLeave remembers that a run is leaving and reports whether that is new. The runs are also
// remembered outside the process, so that the node's next process knows them.
func (r *Reducer) recordLeave(run UpstreamRun) bool {
	added := r.guard.leaving.add(run)
	if added {
		r.leavingChanged()
	}
	return added
}

// leavingChanged starts to remember a changed set of runs outside the process. An announcement must follow.
func (r *Reducer) leavingChanged() {
	memory := &r.guard.leavingMemory
	memory.version = r.Self.Version + 1
	memory.stored = false
	memory.holders = nil
	memory.askedAt = r.now
	memory.askDue = r.now
	r.emit(StoreLeavingRuns{Runs: slices.Clone(r.guard.leaving)})
}

// upstreamLeft applies the notice that a run of the upstream is leaving, which may not be the
// current one.
func (r *Reducer) upstreamLeft(e UpstreamLeft) {
	added := r.recordLeave(e.Run)
	if !r.drainLeavingUpstream() && added {
		r.announceSelf()
	}
}

// leavingRunsListed applies the record of an earlier process at this node's address.
func (r *Reducer) leavingRunsListed(runs []UpstreamRun) {
	changed := r.guard.leaving.merge(runs)
	var stored leavingRuns
	stored.merge(runs)
	r.leavingRunsStored(LeavingRunsStored{Runs: stored})
	r.applyLearnedLeaving(changed)
}

// directoryTold opens the guard after the directory was read, unless there are or may be peers: a leaving may have been
// acknowledged because peers know it, and a store with eras may have lost its record.
func (r *Reducer) directoryTold() {
	if r.hasPeers() || r.storeEra.era > 0 {
		r.awaitPeers()
		return
	}
	r.leavingsKnown()
}

// awaitPeers bounds the wait for peers' words.
func (r *Reducer) awaitPeers() {
	if memory := &r.guard.leavingMemory; memory.openAt.IsZero() {
		memory.openAt = r.now.Add(peerWordWait)
	}
}

// openIfTold opens the guard once the directory and all near peers that this process has heard of have told what earlier
// processes acknowledged, or the time for that is over. Only some of them may know.
func (r *Reducer) openIfTold() {
	memory := &r.guard.leavingMemory
	if memory.openAt.IsZero() || memory.known {
		return
	}
	silent := func(p *peer) bool {
		return p.near() && !p.heardAt.IsZero() && !slices.Contains(memory.told, p.member.ID().Address())
	}
	allTold := r.membersWereListed && !memory.toldAt.IsZero() && r.now.Sub(memory.toldAt) >= firstWordsWait && !slices.ContainsFunc(r.members.order, silent)
	if allTold || !r.now.Before(memory.openAt) {
		r.leavingsKnown()
	}
}

// leavingRunsLearned applies what a peer knows of the runs at this node's address. An earlier process
// here may have acknowledged them without reaching the directory.
func (r *Reducer) leavingRunsLearned(runs []UpstreamRun) {
	changed := r.guard.leaving.merge(runs)
	if changed {
		r.leavingChanged()
	}
	r.applyLearnedLeaving(changed)
}

// applyLearnedLeaving applies a set of leaving runs to the current run and announces a changed one.
func (r *Reducer) applyLearnedLeaving(changed bool) {
	if !r.drainLeavingUpstream() && changed {
		r.announceSelf()
	}
}

// leavingsKnown opens the guard, which now knows what earlier processes acknowledged.
func (r *Reducer) leavingsKnown() {
	if r.guard.leavingMemory.known {
		return
	}
	r.guard.leavingMemory.known = true
	r.guard.leavingMemory.openAt = time.Time{}
	if r.guard.upstream != "" {
		r.announceSelf()
	}
	r.startWork()
}

// drainLeavingUpstream refuses further work if the current run of the upstream is leaving, and reports
// whether it announced that.
func (r *Reducer) drainLeavingUpstream() bool {
	g := &r.guard
	if g.draining || !g.leaving.include(g.run) {
		return false
	}
	g.draining = true
	r.announceSelf()
	r.refuseQueueWhenClosed()
	return true
}

// LeavingRuns returns the leaving runs of the upstream.
func (r *Reducer) LeavingRuns() []UpstreamRun { return slices.Clone(r.guard.leaving) }

// leavingUnknown reports whether an earlier process may have acknowledged that the present run of the
// upstream leaves. Runs without an ID are not told apart.
func (r *Reducer) leavingUnknown() bool {
	return !r.guard.leavingMemory.known && r.guard.run.instance != ""
}

// leavingRunsStored notes that the directory has stored leaving runs.
func (r *Reducer) leavingRunsStored(e LeavingRunsStored) {
	if r.guard.leaving.hash() == leavingRuns(e.Runs).hash() {
		r.guard.leavingMemory.stored = true
		r.confirmLeaving()
	}
}

// noteLeavingHolder notes that a peer has merged this node's announcement of a version.
func (r *Reducer) noteLeavingHolder(address string, version uint64) {
	memory := &r.guard.leavingMemory
	if len(r.guard.leaving) > 0 && version >= memory.version && !slices.Contains(memory.holders, address) {
		memory.holders = append(memory.holders, address)
		r.confirmLeaving()
	}
}

// leavingRemembered reports whether the leaving runs outlive this process. The next one may not reach the directory in
// time, and a store with eras may lose the record, so the directory alone is enough only if peers don't answer.
func (r *Reducer) leavingRemembered() bool {
	memory := &r.guard.leavingMemory
	holders, peers := len(memory.holders), len(r.leavingPeers(nil))
	if memory.stored && (peers == 0 || r.now.Sub(memory.askedAt) >= leavingAnswerWait) {
		return true
	}
	return holders > 0 && holders >= min(leavingHolders, peers)
}

// leavingPeers returns the reachable peers whose addresses are not in except: those of this region, which a later
// process asks, if there are enough.
func (r *Reducer) leavingPeers(except []string) []*peer {
	var near, all []*peer
	for _, p := range r.members.order {
		if p.tier == tierSelf || r.now.Before(p.avoidUntil) || !r.reportedRecently(p) {
			continue
		}
		all = append(all, p)
		if p.near() {
			near = append(near, p)
		}
	}
	if len(near) >= leavingHolders {
		all = near
	}
	return slices.DeleteFunc(all, func(p *peer) bool { return slices.Contains(except, p.member.ID().Address()) })
}

// leavingConfirmationRequested answers a request to confirm that a leaving is remembered, now or later.
func (r *Reducer) leavingConfirmationRequested(e LeavingConfirmationRequested) {
	r.guard.leavingMemory.waiting = append(r.guard.leavingMemory.waiting, e)
	r.confirmLeaving()
}

// confirmLeaving answers the requests for a confirmation if the leaving runs are remembered.
func (r *Reducer) confirmLeaving() {
	memory := &r.guard.leavingMemory
	remembered := r.leavingRemembered()
	memory.waiting = slices.DeleteFunc(memory.waiting, func(e LeavingConfirmationRequested) bool {
		// A run that is not among the runs has no effect that could be forgotten.
		if !remembered && r.guard.leaving.include(e.Run) {
			return !r.now.Before(e.Until)
		}
		r.emit(LeavingConfirmed{Work: e.Work})
		return true
	})
}

// askLeavingHolders asks peers to remember the leaving runs while somebody waits for that.
func (r *Reducer) askLeavingHolders() {
	memory := &r.guard.leavingMemory
	if len(memory.waiting) == 0 || r.now.Before(memory.askDue) {
		return
	}
	r.confirmLeaving()
	memory.askDue = r.now.Add(leavingAskPeriod)
	peers := r.leavingPeers(memory.holders)
	r.random.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, p := range peers[:min(leavingHolders+1, len(peers))] {
		r.emit(SendExchange{Address: p.member.ID().Address(), Digest: r.digest(), Members: []Member{r.members.self}})
	}
}

// learnLeavingRuns merges the leaving runs of a member's announcement. They stay known when another
// process announces itself at the address.
func (r *Reducer) learnLeavingRuns(m Member) {
	switch {
	case len(m.spec.LeavingRuns) == 0:
	case m.ID().Address() == r.Self.Address:
		r.leavingRunsLearned(m.spec.LeavingRuns)
	default:
		r.members.learnLeavingRuns(m)
	}
}

// leavingRunsFor returns what this node knows of the runs at a member's address, if the member lacks it.
func (r *Reducer) leavingRunsFor(d Digest) []Member {
	known := r.members.leavingRuns[d.Address]
	if !r.guard.leavingMemory.known || d.Address == r.Self.Address {
		return nil
	}
	if !d.LeavingUnknown && (len(known) == 0 || d.LeavingHash == known.hash()) {
		return nil
	}
	return []Member{NewMember(MemberSpec{Address: d.Address, LeavingRuns: known})}
}

// leavingRunsToReport returns what the reply to a peer's report tells of the runs at the peer's address. A report
// that tells of the runs here is such a reply itself, and gets none: each of the two may lack something of the other.
// A peer that does not know all runs here gets the announcement with the next report.
func (r *Reducer) leavingRunsToReport(e LoadReportReceived) []Member {
	i := slices.IndexFunc(e.Members, func(m Member) bool { return m.ID().Address() == r.Self.Address })
	if i < 0 {
		return r.leavingRunsFor(e.Digest)
	}
	if leavingRuns(e.Members[i].spec.LeavingRuns).hash() != r.guard.leaving.hash() {
		r.reportSchedule.introduceDue = r.now
	}
	return nil
}

// peerToldMembers notes whether a peer has told what it knows of the runs at this node's address. A peer that has
// started lately itself knows nothing.
func (r *Reducer) peerToldMembers(d Digest, members []Member) {
	memory := &r.guard.leavingMemory
	own := func(m Member) bool { return m.ID().Address() == r.Self.Address }
	if memory.known || slices.Contains(memory.told, d.Address) || !d.LeavingUnknown && !slices.ContainsFunc(members, own) {
		return
	}
	memory.told = append(memory.told, d.Address)
	if memory.toldAt.IsZero() {
		memory.toldAt = r.now
	}
	r.awaitPeers()
}
