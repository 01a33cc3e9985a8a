package reducer

import (
	"maps"
	"slices"
	"time"
)

const (
	// handoverOfferTimeout is how long an offer waits for an answer.
	handoverOfferTimeout = 500 * time.Millisecond
	// jobRetryPeriod is the minimum time between two tries of a job by the same node.
	jobRetryPeriod = 3 * time.Second
	// acceptedHandoverTimeout is how long a stopping node waits for an accepted handover to appear on
	// the log.
	acceptedHandoverTimeout = 5 * time.Second
	// maxHandoverOffers is the number of offers after which a stopping node exits without
	// handing over its partitions.
	maxHandoverOffers = 12
)

// handover is the transfer of some of a service's partitions from this node to another.
type handover struct {
	change TableChange
	// final is set once this process will never dispatch for the partitions again. The
	// receiver of a final offer may therefore append the change itself.
	final bool
	// accepted reports whether the receiver accepted the last offer.
	accepted bool
	// offers is the number of offers sent.
	offers int
	// due is when the offer is sent again or abandoned.
	due time.Time
	// giveUp is when a stopping node no longer waits for the log to record the change.
	giveUp time.Time
}

// handingOver reports whether this node has stopped dispatching for a partition: it is stopping,
// or hands the partition over. Share is the partition's index.
func (r *Reducer) handingOver(service string, share int) bool {
	if r.stopping {
		return true
	}
	h := r.handovers[service]
	return h != nil && slices.Contains(h.change.Partitions, share)
}

// keyMoved reports whether the call's key no longer has its home here.
func (r *Reducer) keyMoved(c *call) bool {
	if _, issued := parseIssuedKey(c.key); issued {
		return false
	}
	table := r.log.tables[c.service]
	if table == nil {
		return true
	}
	i := partitionOf(c.key)
	return table.partitions[i].owner.ID() != r.selfID() || r.handingOver(c.service, i)
}

// selfOwner returns this process as an owner of partitions.
func (r *Reducer) selfOwner() Owner {
	return Owner{
		Address: r.Self.Address, Incarnation: r.Self.Incarnation,
		Started: r.Self.Started, Upstream: r.Self.Upstream,
	}
}

// ownerOf returns a member's process as an owner of partitions.
func ownerOf(m Member) Owner {
	return Owner{
		Address: m.ID().Address(), Incarnation: m.ID().Incarnation(),
		Started: m.Started(), Upstream: m.Upstream(),
	}
}

// maintainHomeTables creates home tables and claims or hands over partitions as needed.
func (r *Reducer) maintainHomeTables() {
	r.routeWaiting()
	for _, service := range slices.Sorted(maps.Keys(r.handovers)) {
		r.retryOffer(service, r.handovers[service])
	}
	if !r.log.known {
		return
	}
	if r.stopping {
		r.releasePartitions()
		return
	}
	r.createTable()
	r.claimPartitions()
	r.balancePartitions()
}

// createTable appends the initial home table of this node's service.
func (r *Reducer) createTable() {
	service := r.guard.service
	if service == "" || r.planInForceIndex[service] == nil {
		return
	}
	if t := r.log.tables[service]; t != nil && t.version != 0 {
		return
	}
	if !r.jobDue("first/"+service, r.rank("first/"+service)) {
		return
	}
	r.appendChange(TableChange{Sequence: r.nextSequence(), Service: service, Kind: ChangeFirst, To: r.selfOwner(), Made: r.now})
}

// claimPartitions takes over the partitions of processes that are known to be gone: an earlier
// process at this node's address, or one whose VM the plan lists as gone.
func (r *Reducer) claimPartitions() {
	for _, service := range slices.Sorted(maps.Keys(r.log.tables)) {
		for _, owner := range r.log.tables[service].owners() {
			if owner.ID() == r.selfID() {
				continue
			}
			replaced := owner.Address == r.Self.Address && r.Self.Started.After(owner.Started)
			gone := service == r.guard.service && r.log.plan.gone(owner.Upstream) && !r.upstreamLeaving()
			if !replaced && !gone {
				continue
			}
			job := "claim/" + service + "/" + owner.ID().String()
			rank := 0
			if !replaced {
				rank = r.rank(job)
			}
			if !r.jobDue(job, rank) {
				continue
			}
			r.appendChange(TableChange{
				Sequence: r.nextSequence(), Service: service, Kind: ChangeClaim,
				From: owner, To: r.selfOwner(), Made: r.now,
			})
		}
	}
}

// jobDue reports whether this node should do a job now. Nodes of a higher rank wait longer,
// and no node repeats a job within jobRetryPeriod.
func (r *Reducer) jobDue(job string, rank int) bool {
	due, known := r.jobDueAt[job]
	if !known {
		due = r.now.Add(time.Duration(rank) * jobRetryPeriod / 2)
		r.jobDueAt[job] = due
	}
	if r.now.Before(due) {
		return false
	}
	r.jobDueAt[job] = r.now.Add(jobRetryPeriod + time.Duration(rank)*jobRetryPeriod/2)
	return true
}

// appendChange appends a home table change to the log.
func (r *Reducer) appendChange(change TableChange) {
	r.emit(AppendRecord{Record: Record{ID: r.recordID("table"), Table: &change}})
}

// balancePartitions hands partitions of this node's service to the member that owns the fewest.
func (r *Reducer) balancePartitions() {
	service := r.guard.service
	table := r.log.tables[service]
	if service == "" || table == nil || r.handovers[service] != nil {
		return
	}
	mine := table.owned(r.selfID())
	if len(mine) == 0 {
		return
	}
	homes := r.possibleHomes(service)
	if len(homes) == 0 {
		return
	}
	target, held := r.leastLoadedHome(table, homes)
	if count := (len(mine) - held) / 2; count > 0 {
		r.beginHandover(service, target, mine[:count])
	}
}

// possibleHomes returns the other members that can own partitions of a service.
func (r *Reducer) possibleHomes(service string) []*peer {
	s := r.members.services[service]
	if s == nil {
		return nil
	}
	var homes []*peer
	for _, p := range s.all {
		if p.tier == tierSelf || p.member.Leaving() || p.excluded || p.unreachableTimes > 0 {
			continue
		}
		homes = append(homes, p)
	}
	return homes
}

// leastLoadedHome returns the member that owns the fewest partitions, and their number.
func (r *Reducer) leastLoadedHome(table *homeTable, homes []*peer) (*peer, int) {
	var least *peer
	fewest := 0
	for _, p := range homes {
		held := len(table.owned(p.member.ID()))
		if least == nil || held < fewest {
			least = p
			fewest = held
		}
	}
	return least, fewest
}

// releasePartitions hands over all partitions of a stopping node.
func (r *Reducer) releasePartitions() {
	for _, service := range slices.Sorted(maps.Keys(r.log.tables)) {
		table := r.log.tables[service]
		mine := table.owned(r.selfID())
		if len(mine) == 0 || r.handovers[service] != nil {
			continue
		}
		homes := r.possibleHomes(service)
		if len(homes) == 0 {
			continue
		}
		target, _ := r.leastLoadedHome(table, homes)
		perHome := (len(mine) + len(homes) - 1) / len(homes)
		r.beginHandover(service, target, mine[:perHome])
	}
}

// beginHandover stops dispatching for the partitions with the indexes in shares and offers them
// with their key records.
func (r *Reducer) beginHandover(service string, target *peer, shares []int) {
	h := &handover{
		change: TableChange{
			Sequence: r.nextSequence(), Service: service, Kind: ChangeHandover, From: r.selfOwner(),
			To: ownerOf(target.member), Partitions: slices.Clone(shares), Made: r.now,
		},
		final: r.stopping,
	}
	r.handovers[service] = h
	r.offerHandover(h)
}

// offerHandover sends the handover with the current key records to its next owner.
func (r *Reducer) offerHandover(h *handover) {
	h.offers++
	h.due = r.now.Add(handoverOfferTimeout)
	r.emit(OfferHandover{Change: h.change, Records: r.handoverKeysOf(h.change), Final: h.final})
}

// handoverKeysOf returns the records of the keys in the partitions that a change moves. An open key
// is sent as doubtful: the next home settles its attempt before it runs the key.
func (r *Reducer) handoverKeysOf(change TableChange) []HandoverKey {
	var handoverKey []HandoverKey
	for _, name := range slices.SortedFunc(maps.Keys(r.keys.records), keyName.compare) {
		record := r.keys.records[name]
		if record.service != change.Service || !slices.Contains(change.Partitions, partitionOf(record.key)) {
			continue
		}
		if _, issued := parseIssuedKey(record.key); issued {
			continue
		}
		handoverKey = append(handoverKey, record.handoverKey())
	}
	return handoverKey
}

// retryOffer handles an offer that was refused or not answered. A running node abandons it. A
// stopping node offers the partitions to another member, which is safe: this process never
// dispatches for them again, and the first change on the log decides.
func (r *Reducer) retryOffer(service string, h *handover) {
	if r.now.Before(h.due) || h.accepted {
		return
	}
	if !h.final && !r.stopping {
		// Nothing was appended, so this node still owns the partitions.
		delete(r.handovers, service)
		return
	}
	homes := r.possibleHomes(service)
	if len(homes) > 0 {
		target := homes[h.offers%len(homes)]
		h.change.To = ownerOf(target.member)
	}
	h.change.Sequence = r.nextSequence()
	h.final = true
	r.offerHandover(h)
}

// handoverAnswered handles a peer's answer to an offer.
func (r *Reducer) handoverAnswered(e HandoverAnswered) {
	h := r.handovers[e.Change.Service]
	if h == nil || h.change.Sequence != e.Change.Sequence {
		// The answer is to an earlier offer, whose key records may be out of date.
		return
	}
	if !e.Accepted {
		h.due = r.now
		return
	}
	if h.accepted {
		return
	}
	h.accepted = true
	h.giveUp = r.now.Add(acceptedHandoverTimeout)
	r.appendChange(h.change)
}

// endRecordedHandovers removes the handovers that the log has recorded.
func (r *Reducer) endRecordedHandovers() {
	for service, h := range r.handovers {
		table := r.log.tables[service]
		if table == nil {
			continue
		}
		left := false
		for _, i := range h.change.Partitions {
			left = left || table.partitions[i].owner.ID() == r.selfID()
		}
		if !left {
			delete(r.handovers, service)
		}
	}
}

// handoverOffered stores the key records of partitions that a peer hands over. This node owns
// the partitions only once the log has recorded the change.
func (r *Reducer) handoverOffered(e HandoverOffered) {
	accepted := !r.stopping && e.Change.To.ID() == r.selfID() && len(e.Change.Partitions) > 0
	accepted = accepted && len(r.keys.records)+len(e.Records) <= r.Settings.MaxKeys
	accepted = accepted && r.newestOffer(e.Change)
	if accepted {
		for _, m := range e.Records {
			r.storeKeyRecord(e.Change.Service, m)
		}
		if e.Final {
			r.appendChange(e.Change)
		}
	}
	r.emit(HandoverReply{Work: e.Work, Accepted: accepted})
}

// newestOffer reports whether no later offer of the same owner arrived before this one. If
// one did, this offer's key records are out of date.
func (r *Reducer) newestOffer(change TableChange) bool {
	from := change.From.ID()
	if r.lastOfferSequence[from] > change.Sequence {
		return false
	}
	r.lastOfferSequence[from] = change.Sequence
	return true
}

// storeKeyRecord stores a key record received from the owner of the key's partition. A key with a
// call in progress here is left unchanged.
func (r *Reducer) storeKeyRecord(service string, m HandoverKey) {
	known := r.keys.find(service, m.Key)
	if known != nil && known.state == keyStateInProgress {
		return
	}
	record := &keyRecord{
		key: m.Key, service: service, state: keyStateUnknown, attempt: m.Attempt, guard: m.Guard,
		sent: m.Sent, fingerprint: m.Fingerprint, expires: r.keyExpiry(),
	}
	if m.Ran {
		record.state = keyStateRan
	}
	if m.Free || m.Attempt == "" {
		record.state = keyStateNotRun
	}
	r.keys.add(record)
}
