package reducer

import (
	"hash/fnv"
	"time"
)

// retentionShare is how many times within the log's retention a record that
// must last is restated.
const retentionShare = 3

// announcing is what this node has to restate on the log.
type announcing struct {
	due           time.Time
	member        string
	snapshotDue   time.Time
	restatedUntil int64
	snapshot      string
}

// confirm takes the log's word that a record was appended or given up.
func (a *announcing) confirm(id string) {
	if a.member == id {
		a.member = ""
	}
	if a.snapshot == id {
		a.snapshot = ""
	}
}

// announceSelf tells the other nodes that what this node announces has changed.
func (r *Reducer) announceSelf() {
	r.Self.Version++
	r.Self.Service = r.guard.service
	r.Self.Upstream = r.guard.upstream
	r.Self.Slots = r.guard.slots
	r.Self.Instance = r.guard.instance
	r.Self.Leaving = r.leaving() || r.guard.dead
	r.note(Decided{
		Kind: DecidedUpstream, Service: r.Self.Service, Peer: r.Self.Upstream, Reason: r.upstreamState(),
		Plan: r.inForce.offset, Load: float64(r.guard.slots),
	})
	r.members.self = NewMember(r.Self)
	r.members.merge(r.members.self, r.index, r.now, r.memberLifetime())
	r.announcing.due = r.now
	r.members.exchangeDue = r.now
	r.introduce()
}

// upstreamState says why the upstream takes work or not.
func (r *Reducer) upstreamState() string {
	switch {
	case r.stopping && r.leaving():
		return "node-stopping"
	case r.guard.upstream == "":
		return "not-announced"
	case r.guard.dead:
		return "gone"
	case r.leaving():
		return "leaving"
	default:
		return "ready"
	}
}

// announce restates on the log what must outlast its retention.
func (r *Reducer) announce() {
	if r.members.peers[r.Self.Address] == nil {
		r.announceSelf()
	}
	if r.Settings.Retention <= 0 {
		return
	}
	interval := r.Settings.Retention / retentionShare
	if !r.now.Before(r.announcing.due) && r.announcing.member == "" {
		if r.announcing.due.After(r.begun) {
			r.Self.Version++
			r.members.merge(NewMember(r.Self), r.index, r.now, r.Settings.Retention)
		}
		spec := r.Self
		id := r.recordID("member")
		r.announcing.member = id
		r.announcing.due = r.now.Add(interval - interval/8 + r.jitter(interval/8))
		r.emit(AppendRecord{Record: Record{ID: id, Member: &spec}})
	}
	r.restateLog(interval)
}

// restateLog appends a snapshot of the log's fold well within the retention.
// Nodes wait by their rank, so that most often one of them does it.
func (r *Reducer) restateLog(interval time.Duration) {
	if !r.log.known || r.log.plan.offset == 0 {
		return
	}
	if r.announcing.restatedUntil != r.log.restated || r.announcing.snapshotDue.IsZero() {
		r.announcing.restatedUntil = r.log.restated
		r.announcing.snapshotDue = r.now.Add(interval + time.Duration(r.rank("snapshot"))*interval/16)
		return
	}
	if r.now.Before(r.announcing.snapshotDue) || r.announcing.snapshot != "" {
		return
	}
	s, ok := r.log.snapshot()
	if !ok {
		return
	}
	id := r.recordID("snapshot")
	r.announcing.snapshot = id
	r.announcing.snapshotDue = r.now.Add(interval)
	r.emit(AppendRecord{Record: Record{ID: id, Snapshot: &s}})
}

// rank orders the nodes that could do a job: rank zero acts at once, and the
// others only when it did not. It is bounded, so that the last waits not too long.
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

func jobHash(job, address string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(job))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(address))
	return h.Sum64()
}

// jitter returns a random time below limit.
func (r *Reducer) jitter(limit time.Duration) time.Duration {
	if limit <= 0 {
		return 0
	}
	return time.Duration(r.random.Int64N(int64(limit)))
}
