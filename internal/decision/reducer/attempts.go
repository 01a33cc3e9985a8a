package reducer

import "time"

// attemptRecord holds what a guard knows of one attempt that must run at most once.
type attemptRecord struct {
	attempt AttemptID
	name    keyName
	outcome Outcome
	// work is the attempt while it is queued or running, otherwise nil.
	work *work
	// answer is the answer kept for replays, or nil.
	answer  *StoredAnswer
	expires time.Time
	// waitingReplays holds the resends that wait for the run to end.
	waitingReplays []WorkID
}

// attemptTable holds a guard's attempt records, and the answers it keeps for replays.
type attemptTable struct {
	records map[AttemptID]*attemptRecord
	// expiring holds the records in the order in which they were added or last
	// extended.
	expiring []*attemptRecord
	// answerBytes is the total size of the kept answers' bodies.
	answerBytes int
	// expiredAt is when expire last ran; a long gap shows that the process was suspended.
	expiredAt time.Time
	// pausedUntil is the time before which no record expires.
	pausedUntil time.Time
}

const (
	// processPauseThreshold is the time without ticks after which the process is taken to have been
	// suspended.
	processPauseThreshold = 5 * time.Second
	// expiryDelayAfterPause is the time after a pause during which no record expires: requests that
	// waited in socket buffers still find the records that existed when they were sent.
	expiryDelayAfterPause = 10 * time.Second
)

func (m *attemptTable) init() { m.records = map[AttemptID]*attemptRecord{} }

// open adds a record for a queued attempt.
func (m *attemptTable) open(w *work, expires time.Time) {
	m.add(&attemptRecord{attempt: w.attempt, name: w.name, outcome: OutcomeNotRun, work: w, expires: expires})
}

// forbid records an attempt as not run, so that it never starts.
func (m *attemptTable) forbid(attempt AttemptID, expires time.Time) {
	m.add(&attemptRecord{attempt: attempt, outcome: OutcomeNotRun, expires: expires})
}

// add stores a record and schedules its expiry.
func (m *attemptTable) add(record *attemptRecord) {
	m.records[record.attempt] = record
	m.expiring = append(m.expiring, record)
}

// started marks a queued attempt as running.
func (m *attemptTable) started(w *work) {
	if record := m.records[w.attempt]; record != nil {
		record.outcome = OutcomeRunning
	}
}

// close records the outcome of an attempt and keeps its answer for replays.
func (m *attemptTable) close(w *work, outcome Outcome, answer *StoredAnswer) {
	record := m.records[w.attempt]
	if record == nil {
		return
	}
	record.work = nil
	record.outcome = outcome
	record.answer = answer
	if answer != nil {
		m.answerBytes += len(answer.Body)
	}
}

// evictAnswers drops the oldest kept answers until their bodies hold at most limit bytes. The
// outcomes stay.
func (m *attemptTable) evictAnswers(limit int) {
	for _, record := range m.expiring {
		if m.answerBytes <= limit {
			return
		}
		m.dropAnswer(record)
	}
}

// dropAnswer drops the answer that a record keeps; its outcome stays.
func (m *attemptTable) dropAnswer(record *attemptRecord) {
	if record.answer != nil {
		m.answerBytes -= len(record.answer.Body)
		record.answer = nil
	}
}

// expire removes the records whose time has passed. A record whose attempt is still queued
// or running moves to the end of the queue for another minute. Nothing expires for a while
// after the process was suspended.
func (m *attemptTable) expire(now time.Time) {
	if !m.expiredAt.IsZero() && now.Sub(m.expiredAt) > processPauseThreshold {
		m.pausedUntil = now.Add(expiryDelayAfterPause)
	}
	m.expiredAt = now
	if now.Before(m.pausedUntil) {
		return
	}
	for len(m.expiring) > 0 {
		first := m.expiring[0]
		if now.Before(first.expires) {
			return
		}
		m.expiring = m.expiring[1:]
		if first.work != nil {
			first.expires = now.Add(time.Minute)
			m.expiring = append(m.expiring, first)
			return
		}
		m.dropAnswer(first)
		delete(m.records, first.attempt)
	}
}

// attemptExpiry returns the expiry time of an attempt that arrives now. It is twice the key
// window away, because the home of the key asks about the attempt for one window.
func (r *Reducer) attemptExpiry() time.Time {
	return r.now.Add(2 * r.Settings.KeyWindow)
}

// settleRequested replies with the outcome of an attempt and drops it if it is still queued.
// An attempt that never arrived is recorded as not run before the reply, so that it can't
// start later.
func (r *Reducer) settleRequested(e SettleRequested) {
	if e.To != r.Self.Incarnation {
		r.emit(SettleReply{Work: e.Work, Outcome: OutcomeUnknown})
		return
	}
	record := r.attemptRecords.records[e.Attempt]
	switch {
	case record == nil && len(r.attemptRecords.records) >= 2*r.Settings.MaxKeys:
		r.emit(SettleReply{Work: e.Work, Outcome: OutcomeUnknown})
		return
	case record == nil:
		r.attemptRecords.forbid(e.Attempt, r.attemptExpiry())
		r.emit(SettleReply{Work: e.Work, Outcome: OutcomeNotRun})
		return
	case record.work != nil && !record.work.running:
		r.dropQueued(record.work, RefusalSettled)
	}
	r.emit(SettleReply{Work: e.Work, Outcome: record.outcome})
}

// replayWork answers a resend with the first run's answer, at once or when the run ends.
func (r *Reducer) replayWork(w *work) {
	record := r.attemptRecords.records[w.attempt]
	switch {
	case record == nil:
		r.refuseReplay(w, RefusalAnswerNotKept)
	case record.outcome == OutcomeRunning || record.work != nil:
		w.joinedAttempt = w.attempt
		r.guard.attempts[w.id] = w
		record.waitingReplays = append(record.waitingReplays, w.id)
	default:
		r.answerReplay(w, record)
	}
}

// answerWaitingReplays answers the resends that waited for the attempt's run to end.
func (r *Reducer) answerWaitingReplays(attempt AttemptID) {
	record := r.attemptRecords.records[attempt]
	if record == nil {
		return
	}
	waitingReplays := record.waitingReplays
	record.waitingReplays = nil
	for _, id := range waitingReplays {
		w := r.guard.attempts[id]
		if w == nil {
			continue
		}
		delete(r.guard.attempts, id)
		r.answerReplay(w, record)
	}
	r.attemptRecords.evictAnswers(r.Settings.MaxAnswerBytes)
}

// answerReplay answers a resend with the kept answer, or refuses it if the first run did not
// happen or its answer was dropped.
func (r *Reducer) answerReplay(w *work, record *attemptRecord) {
	if record.outcome == OutcomeNotRun {
		r.refuseWork(w, RefusalSettled)
		return
	}
	if record.answer == nil {
		r.refuseReplay(w, RefusalAnswerNotKept)
		return
	}
	r.emit(ReplayWork{Work: w.id, Answer: record.answer})
}
