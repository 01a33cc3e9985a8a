package reducer

import (
	"maps"
	"slices"
	"time"
)

// routeKeyed sends a non-idempotent call to the home of its key.
func (r *Reducer) routeKeyed(c *call) {
	if c.key == "" {
		c.key = r.issueKey().String()
		r.handleAtHome(c, time.Time{}, time.Time{})
		return
	}
	if issued, ok := parseIssuedKey(c.key); ok {
		r.routeIssued(c, issued)
		return
	}
	r.routeCallerKey(c)
}

// issueKey returns a new key whose home is this process.
func (r *Reducer) issueKey() issuedKey {
	r.sequence++
	return issuedKey{incarnation: r.Self.Incarnation, issued: r.now, sequence: r.sequence}
}

// routeIssued sends a call to the process that issued its key.
func (r *Reducer) routeIssued(c *call, key issuedKey) {
	if key.incarnation == r.Self.Incarnation {
		r.handleAtHome(c, key.issued, time.Time{})
		return
	}
	home := r.members.byIncarnation[key.incarnation]
	if home == nil {
		r.reject(c, OutcomeUnknown, ProblemHomeUnavailable)
		return
	}
	r.forward(c, home.member.ID())
}

// routeCallerKey sends a call to the home of its caller-chosen key.
func (r *Reducer) routeCallerKey(c *call) {
	table := r.log.tables[c.service]
	if table == nil || table.version == 0 {
		r.waitForTable(c)
		return
	}
	i := partitionOf(c.key)
	part := table.partitions[i]
	if part.owner.ID() != r.selfID() {
		r.forward(c, part.owner.ID())
		return
	}
	if r.handingOver(c.service, i) {
		if record := r.keys.find(c.service, c.key); record != nil && record.state == keyStateRan {
			r.handleAtHome(c, time.Time{}, time.Time{})
			return
		}
		r.waitForTable(c)
		return
	}
	r.handleAtHome(c, keyCreationTime(c.key, c.firstSent), part.recordsLostAt)
}

// forward sends a call to the home of its key. A call that another entry forwarded is
// rejected instead, so that no call loops between nodes with outdated tables.
func (r *Reducer) forward(c *call, home NodeID) {
	r.trace.addForwarded(r.now, c, home)
	if c.forwarded {
		c.answered = true
		r.counts.NotHome++
		r.emit(RejectCall{Call: c.id, Outcome: OutcomeUnknown, Problem: ProblemHomeUnavailable, Key: c.key, NotHome: true})
		return
	}
	r.counts.Forwarded++
	r.emit(ForwardCall{Call: c.id, Target: home, Key: c.key, Deadline: c.deadline})
}

// waitForTable holds a call until the home table changes. A call that another entry forwarded
// is rejected at once.
func (r *Reducer) waitForTable(c *call) {
	if c.forwarded {
		r.forward(c, NodeID{})
		return
	}
	r.callsAwaitingTable[c.id] = c
}

// tablesChanged ends recorded handovers and routes the calls that waited for a table.
func (r *Reducer) tablesChanged() {
	r.endRecordedHandovers()
	r.routeWaiting()
}

// routeWaiting routes the calls that waited for a home table, in order of arrival.
func (r *Reducer) routeWaiting() {
	if len(r.callsAwaitingTable) == 0 {
		return
	}
	waiting := r.callsAwaitingTable
	r.callsAwaitingTable = map[CallID]*call{}
	for _, id := range slices.Sorted(maps.Keys(waiting)) {
		r.routeAgain(waiting[id])
	}
}

// routeAgain routes a call that waited, unless it has been answered in the meantime.
func (r *Reducer) routeAgain(c *call) {
	if !c.answered {
		r.routeKeyed(c)
	}
}

// homeRefused holds a forwarded call until the home table changes, because the peer that it was
// forwarded to is not the home of its key.
func (r *Reducer) homeRefused(e HomeRefused) {
	c := r.calls[e.Call]
	if c == nil || c.answered {
		return
	}
	r.waitForTable(c)
}

// homeAnswered counts a forwarded call that its home answered. The call counts as good if its
// answer is good and ended before the deadline.
func (r *Reducer) homeAnswered(e HomeAnswered) {
	if c := r.calls[e.Call]; c != nil {
		r.countCall(c, e.Good && r.now.Before(c.deadline))
	}
}

// homeLost rejects a forwarded call whose home did not answer. The outcome is unknown, because
// the home may have run the call.
func (r *Reducer) homeLost(e HomeLost) {
	c := r.calls[e.Call]
	if c == nil || c.answered {
		return
	}
	r.reject(c, OutcomeUnknown, ProblemHomeUnavailable)
}

// handleAtHome runs, replays or rejects a call at the home of its key. Born is when the key was
// created, or zero. Cut is when the key's partition was claimed without its key records, or
// zero.
func (r *Reducer) handleAtHome(c *call, born, cut time.Time) {
	record := r.keys.find(c.service, c.key)
	if record == nil {
		r.openNewKey(c, born, cut)
		return
	}
	if record.fingerprint != c.fingerprint {
		// A different request with the same key must not get the first one's answer.
		r.reject(c, OutcomeNotRun, ProblemKeyReused)
		return
	}
	switch record.state {
	case keyStateInProgress:
		record.waiting = append(record.waiting, c)
	case keyStateNotRun:
		r.openKey(c, record)
		r.dispatch(c)
	case keyStateRan:
		c.attempt = r.recordedAttempt(c, record)
		r.replay(c)
	case keyStateUnknown:
		c.attempt = r.recordedAttempt(c, record)
		r.settle(c, record.sent)
	}
}

// openNewKey runs a key that has no record at this home, unless it may have run before the
// records were lost or expired.
func (r *Reducer) openNewKey(c *call, born, cut time.Time) {
	switch {
	case !born.IsZero() && r.now.Sub(born) > r.Settings.KeyWindow:
		r.reject(c, OutcomeUnknown, ProblemKeyTooOld)
		return
	case r.mayHaveLostRecord(born, cut):
		r.reject(c, OutcomeUnknown, ProblemHomeUnavailable)
		return
	case len(r.keys.records) >= r.Settings.MaxKeys:
		r.reject(c, OutcomeNotRun, ProblemKeyMemoryFull)
		return
	case r.stopping:
		r.reject(c, OutcomeNotRun, ProblemStopping)
		return
	}
	record := &keyRecord{key: c.key, service: c.service, fingerprint: c.fingerprint, expires: r.keyExpiry()}
	r.keys.add(record)
	r.openKey(c, record)
	r.dispatch(c)
}

// keyExpiry returns when the record of a key used now may expire. A caller whose clock is
// ahead dates its keys too late, so the clock skew is added to the window.
func (r *Reducer) keyExpiry() time.Time {
	return r.now.Add(r.Settings.KeyWindow + r.Settings.ClockSkew)
}

// settle asks the guard about a doubtful attempt that was sent at the given time.
// If the guard may have expired its record, the attempt stays doubtful: the guard also reports
// "not run" for an attempt whose record it no longer has.
func (r *Reducer) settle(c *call, sent time.Time) {
	if r.now.Sub(sent) > r.Settings.KeyWindow {
		r.rejectDoubtful(c)
		return
	}
	c.settling = true
	r.emit(SettleAttempt{Call: c.id, Attempt: c.attempt.id, Target: c.attempt.target})
}

// mayHaveLostRecord reports whether a key may have run before its partition lost its key records at
// cut. A key of unknown age may have, until KeyWindow after cut.
func (r *Reducer) mayHaveLostRecord(born, cut time.Time) bool {
	if cut.IsZero() {
		return false
	}
	if born.IsZero() {
		return r.now.Before(cut.Add(r.Settings.KeyWindow))
	}
	return born.Before(cut.Add(r.Settings.ClockSkew))
}

// openKey marks a key as in use by a call.
func (r *Reducer) openKey(c *call, record *keyRecord) {
	record.state = keyStateInProgress
	record.attempt = ""
	record.guard = NodeID{}
	c.heldKey = record
}

// closeKey releases the call's key in the given state and routes the calls that waited for
// it. A doubtful key without an attempt becomes free.
func (r *Reducer) closeKey(c *call, state keyState) {
	record := c.heldKey
	c.heldKey = nil
	if state == keyStateUnknown && record.attempt == "" {
		state = keyStateNotRun
	}
	record.state = state
	record.expires = r.keyExpiry()
	waiting := record.waiting
	record.waiting = nil
	for _, w := range waiting {
		r.routeAgain(w)
	}
}

// recordedAttempt returns the attempt that the key's record names, so that its answer can be
// replayed or its outcome settled.
func (r *Reducer) recordedAttempt(c *call, record *keyRecord) *attempt {
	return &attempt{
		id: record.attempt, target: record.guard, length: c.kind.kind.Length,
		started: r.now, replay: true, peer: r.peerOf(record.guard),
	}
}

// peerOf returns the peer of a process, or a placeholder if it is no longer a member.
func (r *Reducer) peerOf(id NodeID) *peer {
	if p := r.members.byIncarnation[id.Incarnation()]; p != nil {
		return p
	}
	return newPeer(NewMember(MemberSpec{Address: id.Address(), Incarnation: id.Incarnation()}), tierOtherRegion)
}

// replay asks the guard of the call's attempt for the first run's answer.
func (r *Reducer) replay(c *call) {
	a := *c.attempt
	a.replay = true
	a.ended = true
	c.attempt = &a
	r.counts.Replays++
	r.emit(r.sendAttempt(c))
}

// settledNotRun routes a call again after its key's doubtful attempt was settled as not run. The
// call is rejected if the key's record has expired in the meantime.
func (r *Reducer) settledNotRun(c *call) {
	record := r.keys.find(c.service, c.key)
	switch {
	case record == nil:
		r.reject(c, OutcomeUnknown, ProblemKeyTooOld)
	case record.state == keyStateUnknown && record.attempt == c.attempt.id:
		record.state = keyStateNotRun
		c.attempt = nil
		r.routeKeyed(c)
	default:
		// Another send settled the same attempt first.
		c.attempt = nil
		r.routeKeyed(c)
	}
}

// keysRequested issues keys whose home is this process.
func (r *Reducer) keysRequested(e KeysRequested) {
	keys := make([]string, 0, e.Count)
	for range e.Count {
		keys = append(keys, r.issueKey().String())
	}
	r.emit(KeysIssued{Call: e.Call, Keys: keys})
}
