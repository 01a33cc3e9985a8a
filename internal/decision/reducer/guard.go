package reducer

import (
	"math"
	"time"

	"github.com/tanagerline/tanagerline/internal/decision/warmup"
)

// maxShortStartsInRow limits the short attempts started in a row while long work waits,
// so that short work does not starve long work.
const maxShortStartsInRow = 8

// guard holds the state of the admission controller for the upstream on this VM. All
// work for the upstream passes through it.
type guard struct {
	service string
	// upstream is the upstream's address, or empty before its first announcement.
	upstream string
	// slots is the number of calls that the upstream runs concurrently.
	slots int
	// warmupStart is the start of the warm-up.
	warmupStart time.Time
	// draining is set if the upstream announced that it takes no new work.
	draining bool
	// upstreamDown is set from the upstream's crash, replacement or failed health checks until it
	// announces itself or passes a health check.
	upstreamDown bool
	// crash identifies the upstream's last crash; zero means none.
	crash uint64

	// attempts holds the queued and running attempts, and the resends that wait for an answer.
	attempts    map[WorkID]*work
	running     int
	runningLong int
	// runningRepeats counts the running attempts whose call may also have reached another
	// upstream.
	runningRepeats int
	short          workQueue
	long           workQueue
	// shortStartsInRow counts the short attempts started since the last long one.
	shortStartsInRow int
	// shortTime and longTime are moving averages of the service times of attempts without an
	// objective; zero means unknown.
	shortTime time.Duration
	longTime  time.Duration
	// answeredAt is when the upstream last answered, announced itself or passed a health
	// check.
	answeredAt time.Time
	// run identifies the upstream's process, as far as it is known.
	run UpstreamRun
	// evacuated is set while the plan evacuates this node's availability zone.
	evacuated bool
	// cold bounds the requests to the upstream while it is cold.
	cold        warmup.Limit
	warmupQuery warmupQuery
	// coldnessKnown is set once the upstream's statements in this process are sure to be up to date.
	coldnessKnown bool
	// coldNoted is the state of the bound that was last reported to operators.
	coldNoted bool
	// leaving holds the runs that announced their leaving, the current one or others.
	leaving       leavingRuns
	leavingMemory leavingMemory
	admission     admission
}

func (g *guard) init() { g.attempts = map[WorkID]*work{} }

// openSlots returns how many calls the upstream may run now. The number grows linearly
// over the warm-up of a new upstream (slow start).
func (g *guard) openSlots(now time.Time, warmup time.Duration) int {
	age := now.Sub(g.warmupStart)
	if warmup <= 0 || age >= warmup {
		return g.slots
	}
	return max(1, int(float64(g.slots)*float64(age)/float64(warmup)))
}

// longSlots returns how many slots long work may occupy. reserve is the share of the
// slots kept for short work, from 0 to 1.
func (g *guard) longSlots(reserve float64) int {
	return longSlots(g.slots, reserve)
}

// longSlots returns how many of an upstream's slots long work may occupy when the share
// reserve, from 0 to 1, is kept for short work.
func longSlots(slots int, reserve float64) int {
	return max(1, slots-int(math.Ceil(reserve*float64(slots))))
}

// queued returns how many attempts wait for a slot.
func (g *guard) queued() int { return len(g.short.works) + len(g.long.works) + g.admission.waiting() }

// queueOf returns the queue of a length class for attempts without an objective.
func (g *guard) queueOf(l Length) *workQueue {
	if l == LengthLong {
		return &g.long
	}
	return &g.short
}

// expectedTime returns the average service time of a length class, or zero if unknown.
func (g *guard) expectedTime(l Length) time.Duration {
	if l == LengthLong {
		return g.longTime
	}
	return g.shortTime
}

// recordServiceTime updates the average service time of a length class.
func (g *guard) recordServiceTime(l Length, took time.Duration) {
	estimate := &g.shortTime
	if l == LengthLong {
		estimate = &g.longTime
	}
	if *estimate == 0 {
		*estimate = took
	}
	*estimate += time.Duration(serviceTimeWeight * float64(took-*estimate))
}

// workArrived admits, queues, replays or refuses an attempt.
func (r *Reducer) workArrived(e WorkArrived) {
	r.lastArrival = r.now
	w := &work{
		id: e.Work, attempt: e.Attempt, name: keyName{service: e.Service, key: e.Key}, keyed: e.Keyed, length: e.Length, weight: 1,
		deadline: e.Deadline, fingerprint: e.Fingerprint, objective: e.Objective, route: e.Kind,
		requestID: e.RequestID, arrived: r.now, repeat: e.Repeat,
	}
	if !e.Objective.IsZero() {
		w.objectiveTime = max(0, e.Objective.Sub(r.now))
		if e.BodyBytes > 0 {
			w.bodyBytes = e.BodyBytes
			w.body = bodyNotRequested
		}
	}
	if s := r.planInForceIndex[e.Service]; s != nil && s.kinds[e.Kind] != nil {
		w.weight = s.kinds[e.Kind].kind.Weight
	}
	if e.To != r.Self.Incarnation {
		if e.Replay {
			r.refuseReplay(w, RefusalRestarted)
			return
		}
		r.refuseWork(w, RefusalRestarted)
		return
	}
	if e.Replay {
		r.replayWork(w)
		return
	}
	if record := r.attemptRecords.records[w.attempt]; record != nil && (record.work != nil || record.outcome != OutcomeNotRun) {
		// The attempt was delivered twice: the second copy gets the first one's result.
		r.noteWorkDecision(DecisionWorkRepeated, w, string(record.outcome))
		r.replayWork(w)
		return
	}
	reason := r.guardRefusal(w, e.Service)
	switch {
	case reason != "":
	case !w.objective.IsZero():
		reason = r.admit(w, e.RefuseIfBusy)
	case e.RefuseIfBusy && r.guardCrowded(w):
		reason = RefusalBusy
	}
	if reason != "" {
		r.refuseWork(w, reason)
		return
	}
	if w.keyed {
		r.attemptRecords.open(w, r.attemptExpiry())
	}
	r.guard.attempts[w.id] = w
	if w.objective.IsZero() {
		r.guard.queueOf(w.length).push(w)
	}
	r.startWork()
}

// guardRefusal returns the reason to refuse an attempt, or an empty reason. It does not
// check objectives, which admit does.
func (r *Reducer) guardRefusal(w *work, service string) RefusalReason {
	g := &r.guard
	switch {
	case g.service != service || g.upstream == "" || g.upstreamDown:
		return RefusalNoUpstream
	case r.closedReason() != "":
		return r.closedReason()
	case r.outlivesStop(w.deadline):
		return RefusalLeaving
	case r.suspects.quarantined(w.fingerprint):
		return RefusalQuarantined
	case w.keyed && r.attemptRecords.records[w.attempt] != nil:
		return RefusalSettled
	case w.keyed && len(r.attemptRecords.records) >= r.Settings.MaxKeys:
		return RefusalMemoryFull
	case w.objective.IsZero() && r.tooLateWhileCold(w):
		return RefusalBusy
	case w.objective.IsZero() && !r.canFinish(w):
		return RefusalDeadline
	case w.objective.IsZero() && g.queued() >= g.slots*r.Settings.QueuePerSlot && !r.displace(w):
		return RefusalFull
	default:
		return ""
	}
}

// guardCrowded reports whether an attempt would wait for at least a third of a service time,
// so that trying another upstream pays off.
func (r *Reducer) guardCrowded(w *work) bool {
	g := &r.guard
	if wait := g.cold.Wait(g.queued()+1, r.now); wait > 0 && wait*crowdedSlotDivisor >= g.expectedTime(w.length) {
		return true
	}
	return g.running >= g.slots && g.queueOf(w.length).ahead(w)*crowdedSlotDivisor >= g.slots
}

// crowdedSlotDivisor sets when an upstream counts as crowded: when at least one attempt per
// crowdedSlotDivisor slots is queued ahead.
const crowdedSlotDivisor = 3

// canFinish reports whether an attempt is expected to complete by its deadline.
func (r *Reducer) canFinish(w *work) bool {
	g := &r.guard
	expected := g.expectedTime(w.length)
	wait := time.Duration(0)
	if g.running >= g.slots {
		rounds := float64(g.queueOf(w.length).ahead(w)+1) / float64(max(1, g.slots))
		wait = time.Duration(float64(expected) * rounds)
	}
	return r.now.Add(wait + expected).Before(w.deadline)
}

// displace removes the queued attempt of the lowest weight if w weighs more, and reports
// whether it did.
func (r *Reducer) displace(w *work) bool {
	g := &r.guard
	var lightest *work
	for _, q := range []*workQueue{&g.long, &g.short} {
		if len(q.works) == 0 {
			continue
		}
		last := q.works[len(q.works)-1]
		if lightest == nil || last.weight < lightest.weight {
			lightest = last
		}
	}
	if lightest == nil || lightest.weight >= w.weight {
		return false
	}
	r.dropQueued(lightest, RefusalDisplaced)
	return true
}

// dropQueued removes a waiting attempt from its queue and refuses it.
func (r *Reducer) dropQueued(w *work, reason RefusalReason) {
	r.guard.queueOf(w.length).remove(w)
	r.guard.admission.remove(w)
	delete(r.guard.attempts, w.id)
	r.closeNotRun(w)
	r.refuseWork(w, reason)
}

// closeNotRun records that a queued attempt never ran and answers the resends that
// wait for it.
func (r *Reducer) closeNotRun(w *work) {
	r.attemptRecords.close(w, OutcomeNotRun, nil)
	r.answerWaitingReplays(w.attempt)
}

// refuseWork refuses an attempt that has not run and never will.
func (r *Reducer) refuseWork(w *work, reason RefusalReason) {
	r.refuse(w, reason, OutcomeNotRun)
}

// refuseReplay refuses to answer a resend, which says nothing of what became of the first copy.
func (r *Reducer) refuseReplay(w *work, reason RefusalReason) {
	r.refuse(w, reason, OutcomeUnknown)
}

// refuse counts and reports a refusal and answers the requester with the reason.
func (r *Reducer) refuse(w *work, reason RefusalReason, outcome Outcome) {
	r.counts.Refused++
	r.noteWorkDecision(DecisionWorkRefused, w, string(reason))
	r.emit(RefuseWork{Work: w.id, Reason: reason, Outcome: outcome})
}

// startWork starts queued attempts while slots are free.
func (r *Reducer) startWork() {
	g := &r.guard
	if g.upstreamDown || r.closedReason() != "" {
		return
	}
	r.requestBodies()
	for g.running < g.openSlots(r.now, r.Settings.Warmup) && g.cold.Ready(r.now) {
		// While attempts with an objective wait, none starts beyond the usable slots.
		if g.running >= r.usableSlots() && g.admission.waiting() > 0 {
			return
		}
		if w := r.popNextAdmitted(); w != nil {
			r.startAttempt(w)
			continue
		}
		w := r.popNextWork()
		if w == nil {
			return
		}
		if !r.now.Add(g.expectedTime(w.length)).Before(w.deadline) {
			delete(g.attempts, w.id)
			r.closeNotRun(w)
			r.refuseWork(w, RefusalDeadline)
			continue
		}
		r.startAttempt(w)
	}
}

// popNextWork removes and returns the next attempt without an objective, or nil. Short work
// goes first, but only a limited number of short attempts start in a row while long work
// waits.
func (r *Reducer) popNextWork() *work {
	g := &r.guard
	longFree := len(g.long.works) > 0 && g.runningLong < g.longSlots(r.Settings.ShortReserve)
	shortFree := len(g.short.works) > 0
	switch {
	case longFree && (!shortFree || g.shortStartsInRow >= maxShortStartsInRow):
		g.shortStartsInRow = 0
		return g.long.pop()
	case shortFree:
		g.shortStartsInRow++
		return g.short.pop()
	default:
		return nil
	}
}

// startAttempt assigns a slot to an attempt and sends it to the upstream.
func (r *Reducer) startAttempt(w *work) {
	g := &r.guard
	w.running = true
	w.started = r.now
	w.startPace = g.admission.currentPace(r.now)
	g.running++
	g.cold.Take(r.now)
	if w.repeat {
		g.runningRepeats++
	}
	if w.length == LengthLong {
		g.runningLong++
	}
	r.attemptRecords.started(w)
	r.counts.Started++
	r.noteWorkDecision(DecisionWorkStarted, w, "")
	r.emit(StartWork{Work: w.id, Upstream: g.upstream, Instance: g.run.instance, Cold: g.cold.Binds(r.now)})
}
