package reducer

import (
	"maps"
	"slices"
	"time"
)

const (
	handoverRetry = 500 * time.Millisecond
	claimRetry    = 3 * time.Second
	// strandAfter is how long a stopping node waits for the log to record a
	// handover that the next home has accepted.
	strandAfter = 5 * time.Second
	// offerAttempts is how often a stopping node offers its shares before it
	// leaves them behind.
	offerAttempts = 12
)

// handover is the move of some of a service's shares from this node to another.
type handover struct {
	change   TableChange
	final    bool
	accepted bool
	offers   int
	due      time.Time
	giveUp   time.Time
}

// moving reports whether this node no longer dispatches for a share.
func (r *Reducer) moving(service string, share int) bool {
	if r.stopping {
		return true
	}
	h := r.moves[service]
	return h != nil && slices.Contains(h.change.Partitions, share)
}

// moved reports whether the call's key no longer has its home here.
func (r *Reducer) moved(c *call) bool {
	if _, issued := parseIssuedKey(c.key); issued {
		return false
	}
	table := r.log.tables[c.service]
	if table == nil {
		return true
	}
	i := partitionOf(c.key)
	return table.partitions[i].owner.ID() != r.selfID() || r.moving(c.service, i)
}

func (r *Reducer) selfOwner() Owner {
	return Owner{
		Address: r.Self.Address, Incarnation: r.Self.Incarnation,
		Started: r.Self.Started, Upstream: r.Self.Upstream,
	}
}

func ownerOf(m Member) Owner {
	return Owner{
		Address: m.ID().Address(), Incarnation: m.ID().Incarnation(),
		Started: m.Started(), Upstream: m.Upstream(),
	}
}

// keepHomes creates, claims and moves shares where that is this node's part.
func (r *Reducer) keepHomes() {
	r.routeWaiting()
	for _, service := range slices.Sorted(maps.Keys(r.moves)) {
		r.pursue(service, r.moves[service])
	}
	if !r.log.known {
		return
	}
	if r.stopping {
		r.releaseShares()
		return
	}
	r.createTable()
	r.claimShares()
	r.balanceShares()
}

// createTable appends the first table of this node's service.
func (r *Reducer) createTable() {
	service := r.guard.service
	if service == "" || r.index[service] == nil {
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

// claimShares takes over the shares of processes that are proved gone: an earlier
// one at this node's address, or one whose VM the plan names as gone.
func (r *Reducer) claimShares() {
	for _, service := range slices.Sorted(maps.Keys(r.log.tables)) {
		for _, owner := range r.log.tables[service].owners() {
			if owner.ID() == r.selfID() {
				continue
			}
			replaced := owner.Address == r.Self.Address && r.Self.Started.After(owner.Started)
			gone := service == r.guard.service && r.log.plan.gone(owner.Upstream) && !r.leaving()
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

// jobDue reports whether this node should do a job now; nodes of a higher rank
// wait longer, and none repeats it before claimRetry has passed.
func (r *Reducer) jobDue(job string, rank int) bool {
	due, known := r.jobs[job]
	if !known {
		due = r.now.Add(time.Duration(rank) * claimRetry / 2)
		r.jobs[job] = due
	}
	if r.now.Before(due) {
		return false
	}
	r.jobs[job] = r.now.Add(claimRetry + time.Duration(rank)*claimRetry/2)
	return true
}

func (r *Reducer) appendChange(change TableChange) {
	r.emit(AppendRecord{Record: Record{ID: r.recordID("table"), Table: &change}})
}

// balanceShares hands shares of this node's service to a member with few.
func (r *Reducer) balanceShares() {
	service := r.guard.service
	table := r.log.tables[service]
	if service == "" || table == nil || r.moves[service] != nil {
		return
	}
	mine := table.owned(r.selfID())
	if len(mine) == 0 {
		return
	}
	homes := r.homesOf(service)
	if len(homes) == 0 {
		return
	}
	target, held := r.leastShares(table, homes)
	if count := (len(mine) - held) / 2; count > 0 {
		r.beginHandover(service, target, mine[:count])
	}
}

// homesOf returns the other members that can be home to a service's keys.
func (r *Reducer) homesOf(service string) []*peer {
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

// leastShares returns the member that holds the fewest shares, and how many.
func (r *Reducer) leastShares(table *homeTable, homes []*peer) (*peer, int) {
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

// releaseShares hands over every share of a stopping node.
func (r *Reducer) releaseShares() {
	for _, service := range slices.Sorted(maps.Keys(r.log.tables)) {
		table := r.log.tables[service]
		mine := table.owned(r.selfID())
		if len(mine) == 0 || r.moves[service] != nil {
			continue
		}
		homes := r.homesOf(service)
		if len(homes) == 0 {
			continue
		}
		target, _ := r.leastShares(table, homes)
		perHome := (len(mine) + len(homes) - 1) / len(homes)
		r.beginHandover(service, target, mine[:perHome])
	}
}

// beginHandover stops dispatching for the shares and offers them with their memory.
func (r *Reducer) beginHandover(service string, target *peer, shares []int) {
	h := &handover{
		change: TableChange{
			Sequence: r.nextSequence(), Service: service, Kind: ChangeHandover, From: r.selfOwner(),
			To: ownerOf(target.member), Partitions: slices.Clone(shares), Made: r.now,
		},
		final: r.stopping,
	}
	r.moves[service] = h
	r.offer(h)
}

func (r *Reducer) offer(h *handover) {
	h.offers++
	h.due = r.now.Add(handoverRetry)
	r.emit(OfferHandover{Change: h.change, Records: r.memoryOf(h.change), Final: h.final})
}

// memoryOf returns the memory of the keys in the shares that move. An open key
// goes as doubtful: the next home settles its attempt before it runs the key.
func (r *Reducer) memoryOf(change TableChange) []KeyMemory {
	var memory []KeyMemory
	for _, name := range slices.SortedFunc(maps.Keys(r.keys.records), keyName.compare) {
		record := r.keys.records[name]
		if record.service != change.Service || !slices.Contains(change.Partitions, partitionOf(record.key)) {
			continue
		}
		if _, issued := parseIssuedKey(record.key); issued {
			continue
		}
		memory = append(memory, record.memory())
	}
	return memory
}

// pursue repeats an offer without an answer. A stopping node offers the shares
// to another member, which is safe: this process never dispatches for them again,
// and the first change on the log decides.
func (r *Reducer) pursue(service string, h *handover) {
	if r.now.Before(h.due) || h.accepted {
		return
	}
	if !h.final && !r.stopping {
		// Nothing was appended, so the shares are still here.
		delete(r.moves, service)
		return
	}
	homes := r.homesOf(service)
	if len(homes) > 0 {
		target := homes[h.offers%len(homes)]
		h.change.To = ownerOf(target.member)
	}
	h.change.Sequence = r.nextSequence()
	h.final = true
	r.offer(h)
}

// handoverAnswered takes a peer's answer to an offer.
func (r *Reducer) handoverAnswered(e HandoverAnswered) {
	h := r.moves[e.Change.Service]
	if h == nil || h.change.Sequence != e.Change.Sequence {
		// The answer is to an earlier offer, whose memory may be out of date.
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
	h.giveUp = r.now.Add(strandAfter)
	r.appendChange(h.change)
}

// finishMoves ends the handovers that the log has recorded.
func (r *Reducer) finishMoves() {
	for service, h := range r.moves {
		table := r.log.tables[service]
		if table == nil {
			continue
		}
		left := false
		for _, i := range h.change.Partitions {
			left = left || table.partitions[i].owner.ID() == r.selfID()
		}
		if !left {
			delete(r.moves, service)
		}
	}
}

// handoverOffered takes the memory of shares that a peer hands over. The shares
// are this node's only when the log says so.
func (r *Reducer) handoverOffered(e HandoverOffered) {
	accepted := !r.stopping && e.Change.To.ID() == r.selfID() && len(e.Change.Partitions) > 0
	accepted = accepted && len(r.keys.records)+len(e.Records) <= r.Settings.MaxKeys
	accepted = accepted && r.newestOffer(e.Change)
	if accepted {
		for _, m := range e.Records {
			r.learnKey(e.Change.Service, m)
		}
		if e.Final {
			r.appendChange(e.Change)
		}
	}
	r.emit(HandoverReply{Work: e.Work, Accepted: accepted})
}

// newestOffer reports whether no later offer of the same shares' owner came
// before this one, whose memory would then be out of date.
func (r *Reducer) newestOffer(change TableChange) bool {
	from := change.From.ID()
	if r.offersSeen[from] > change.Sequence {
		return false
	}
	r.offersSeen[from] = change.Sequence
	return true
}

// learnKey takes the memory of one key from the owner of its share.
func (r *Reducer) learnKey(service string, m KeyMemory) {
	known := r.keys.find(service, m.Key)
	if known != nil && known.state == keyOpen {
		return
	}
	record := &keyRecord{
		key: m.Key, service: service, state: keyDoubtful, attempt: m.Attempt, guard: m.Guard,
		sent: m.Sent, fingerprint: m.Fingerprint, expires: r.keyExpiry(),
	}
	if m.Ran {
		record.state = keyRan
	}
	if m.Free || m.Attempt == "" {
		record.state = keyFree
	}
	r.keys.add(record)
}
