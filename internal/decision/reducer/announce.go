package reducer

import (
	"hash/fnv"
	"slices"
	"time"
)

// retentionDivisor divides the log's retention into the intervals at which a record that must not
// expire is appended again.
const retentionDivisor = 3

// announceSchedule holds when this node appends its member record and a snapshot to the log, and
// which appends are pending.
type announceSchedule struct {
	// due is when the member record is appended next.
	due time.Time
	// member is the ID of the member record whose append is pending, or empty.
	member string
	// snapshotDue is when this node appends a snapshot, unless another node does so first.
	snapshotDue time.Time
	// restatedUntil is the value of logState.lastSnapshotOffset that snapshotDue was computed from.
	restatedUntil int64
	// snapshot is the ID of the snapshot record whose append is pending, or empty.
	snapshot string
}

// appendEnded ends the pending append of a record, whether it succeeded or failed.
func (a *announceSchedule) appendEnded(id string) {
	if a.member == id {
		a.member = ""
	}
	if a.snapshot == id {
		a.snapshot = ""
	}
}

// announceSelf publishes a new version of this node's announcement on the log and to all
// peers.
func (r *Reducer) announceSelf() {
	r.Self.Version++
	r.Self.Service = r.guard.service
	r.Self.Upstream = r.guard.upstream
	r.Self.Slots = r.guard.slots
	r.Self.Instance = r.guard.run.instance
	r.Self.UpstreamStarted = r.guard.run.started
	r.Self.LeavingRuns = slices.Clone(r.guard.leaving)
	r.Self.Leaving = r.upstreamLeaving() || r.guard.upstreamDown
	r.noteDecision(Decision{
		Kind: DecisionUpstreamChanged, Service: r.Self.Service, Peer: r.Self.Upstream, Instance: r.Self.Instance, Reason: r.upstreamState(),
		Plan: r.planInForce.offset, Load: float64(r.guard.slots),
	})
	r.members.self = NewMember(r.Self)
	r.members.merge(r.members.self, r.planInForceIndex, r.now, r.memberLifetime())
	r.announceSchedule.due = r.now
	r.members.exchangeDue = r.now
	r.introduce()
}

// upstreamState returns the reason that a decision reports to operators: "ready", or why the
// upstream does not accept work.
func (r *Reducer) upstreamState() string {
	switch {
	case r.stopping && r.upstreamLeaving():
		return "node-stopping"
	case r.guard.upstream == "":
		return "not-announced"
	case r.guard.upstreamDown:
		return "gone"
	case r.upstreamLeaving():
		return "leaving"
	default:
		return "ready"
	}
}

// announce appends this node's member record, and a snapshot when needed, before the log's
// retention expires the earlier ones.
func (r *Reducer) announce() {
	if r.members.peers[r.Self.Address] == nil {
		r.announceSelf()
	}
	if r.Settings.Retention <= 0 {
		return
	}
	interval := r.Settings.Retention / retentionDivisor
	if !r.now.Before(r.announceSchedule.due) && r.announceSchedule.member == "" {
		if r.announceSchedule.due.After(r.startedAt) {
			r.Self.Version++
			r.members.merge(NewMember(r.Self), r.planInForceIndex, r.now, r.Settings.Retention)
		}
		spec := r.Self
		id := r.recordID("member")
		r.announceSchedule.member = id
		r.announceSchedule.due = r.now.Add(interval - interval/8 + r.jitter(interval/8))
		r.emit(AppendRecord{Record: Record{ID: id, Member: &spec}})
	}
	r.appendSnapshotIfDue(interval)
}

// appendSnapshotIfDue appends a snapshot of the log's state well within the retention. Nodes wait in
// the order of their rank, so that usually only one of them appends it.
func (r *Reducer) appendSnapshotIfDue(interval time.Duration) {
	if !r.log.known || r.log.plan.offset == 0 {
		return
	}
	if r.announceSchedule.restatedUntil != r.log.lastSnapshotOffset || r.announceSchedule.snapshotDue.IsZero() {
		r.announceSchedule.restatedUntil = r.log.lastSnapshotOffset
		r.announceSchedule.snapshotDue = r.now.Add(interval + time.Duration(r.rank("snapshot"))*interval/16)
		return
	}
	if r.now.Before(r.announceSchedule.snapshotDue) || r.announceSchedule.snapshot != "" {
		return
	}
	s, ok := r.log.snapshot()
	if !ok {
		return
	}
	id := r.recordID("snapshot")
	r.announceSchedule.snapshot = id
	r.announceSchedule.snapshotDue = r.now.Add(interval)
	r.emit(AppendRecord{Record: Record{ID: id, Snapshot: &s}})
}

// rank returns this node's position, from 0 to maxRank, in the order of the nodes that could
// do a job. Rank zero acts at once; higher ranks wait and act only if nobody has. The bound
// limits the longest wait.
func (r *Reducer) rank(job string) int {
	const maxRank = 8
	mine := jobHash(job, r.Self.Address)
	rank := 0
	for _, p := range r.members.order {
		if p.tier == tierSelf || p.member.Leaving() || p.unreachableTimes > 0 {
			continue
		}
		if jobHash(job, p.member.ID().Address()) < mine {
			rank++
		}
		if rank == maxRank {
			return rank
		}
	}
	return rank
}

// jobHash returns the hash that orders nodes for a job.
func jobHash(job, address string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(job))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(address))
	return h.Sum64()
}

// jitter returns a random duration below limit, or zero when limit is not positive.
func (r *Reducer) jitter(limit time.Duration) time.Duration {
	if limit <= 0 {
		return 0
	}
	return time.Duration(r.random.Int64N(int64(limit)))
}
