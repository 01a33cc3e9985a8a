package reducer

import (
	"math"
	"slices"
	"time"
)

// longAfterShorts is how many short attempts may start while long work waits
// before a long attempt starts.
const longAfterShorts = 8

// guard is the only door to the upstream on this VM.
type guard struct {
	service   string
	upstream  string
	slots     int
	announced time.Time
	draining  bool
	dead      bool
	// crash names the upstream's last crash.
	crash uint64

	works       map[WorkID]*work
	running     int
	runningLong int
	// runningRepeats counts the running attempts whose calls another upstream may have seen.
	runningRepeats int
	short          workQueue
	long           workQueue
	shortsSince    int
	shortTime      time.Duration
	longTime       time.Duration
	answeredAt     time.Time
	// instance names the upstream's run, or is empty.
	instance  string
	admission admission
}

func (g *guard) init() { g.works = map[WorkID]*work{} }

// openSlots is how many calls the upstream may run now: a new one opens its
// slots over the warm-up.
func (g *guard) openSlots(now time.Time, warmup time.Duration) int {
	age := now.Sub(g.announced)
	if warmup <= 0 || age >= warmup {
		return g.slots
	}
	return max(1, int(float64(g.slots)*float64(age)/float64(warmup)))
}

// longSlots is how many slots long work may hold.
func (g *guard) longSlots(reserve float64) int {
	return longSlots(g.slots, reserve)
}

// longSlots is how many of an upstream's slots long work may hold when a share of
// them is reserved for short work.
func longSlots(slots int, reserve float64) int {
	return max(1, slots-int(math.Ceil(reserve*float64(slots))))
}

func (g *guard) queued() int { return len(g.short.works) + len(g.long.works) + g.admission.waiting() }

func (g *guard) queueOf(l Length) *workQueue {
	if l == LengthLong {
		return &g.long
	}
	return &g.short
}

func (g *guard) expectedTime(l Length) time.Duration {
	if l == LengthLong {
		return g.longTime
	}
	return g.shortTime
}

func (g *guard) sample(l Length, took time.Duration) {
	estimate := &g.shortTime
	if l == LengthLong {
		estimate = &g.longTime
	}
	if *estimate == 0 {
		*estimate = took
	}
	*estimate += time.Duration(serviceTimeWeight * float64(took-*estimate))
}

func (r *Reducer) loadReport() LoadReport {
	g := &r.guard
	short := g.running - g.runningLong + len(g.short.works) + g.admission.waiting()
	long := g.runningLong + len(g.long.works)
	report := NewLoadReport(short, long, g.slots, g.shortTime, r.inForce.offset)
	if g.admission.mean > 0 {
		report.serviceTime = g.admission.mean
	}
	report.pace = g.admission.currentPace(r.now)
	report.failures = int(100 * g.admission.failureShare(r.now))
	return report
}

// LoadReport returns the guard's load as it is told with every answer.
func (r *Reducer) LoadReport() LoadReport { return r.loadReport() }

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
			w.body = bodyWaiting
		}
	}
	if s := r.index[e.Service]; s != nil && s.kinds[e.Kind] != nil {
		w.weight = s.kinds[e.Kind].kind.Weight
	}
	if e.To != r.Self.Incarnation {
		r.refuseWork(w, RefusalRestarted)
		return
	}
	if e.Replay {
		r.replayWork(w)
		return
	}
	if record := r.memory.records[w.attempt]; record != nil && (record.work != nil || record.outcome != OutcomeNotRun) {
		// The attempt was delivered twice; the second copy shares the first's fate.
		r.replayWork(w)
		return
	}
	reason := r.refusalFor(w, e.Service)
	switch {
	case reason != "":
	case !w.objective.IsZero():
		reason = r.admit(w, e.Impatient)
	case e.Impatient && r.crowded(w):
		reason = RefusalBusy
	}
	if reason != "" {
		r.refuseWork(w, reason)
		return
	}
	if w.keyed {
		r.memory.open(w, r.attemptExpiry())
	}
	r.guard.works[w.id] = w
	if w.objective.IsZero() {
		r.guard.queueOf(w.length).push(w)
	}
	r.startWork()
}

// refusalFor returns why an attempt can't be taken, or an empty reason.
func (r *Reducer) refusalFor(w *work, service string) RefusalReason {
	g := &r.guard
	switch {
	case g.service != service || g.upstream == "" || g.dead:
		return RefusalNoUpstream
	case r.leaving():
		return RefusalLeaving
	case r.suspects.quarantined(w.fingerprint):
		return RefusalQuarantined
	case w.keyed && r.memory.records[w.attempt] != nil:
		return RefusalSettled
	case w.keyed && len(r.memory.records) >= r.Settings.MaxKeys:
		return RefusalMemoryFull
	case w.objective.IsZero() && !r.canFinish(w):
		return RefusalDeadline
	case w.objective.IsZero() && g.queued() >= g.slots*r.Settings.QueuePerSlot && !r.displace(w):
		return RefusalFull
	default:
		return ""
	}
}

// crowded reports whether an attempt would wait for more than a part of a service
// time, so that another upstream is worth a try.
func (r *Reducer) crowded(w *work) bool {
	g := &r.guard
	return g.running >= g.slots && g.queueOf(w.length).ahead(w)*crowdedShare >= g.slots
}

// crowdedShare is the part of the slots that may wait before an upstream is crowded:
// one in so many.
const crowdedShare = 3

// canFinish reports whether an attempt should complete by its deadline.
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

// displace refuses the lightest queued attempt in favour of a heavier one.
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

// dropQueued refuses an attempt that waits in the queue.
func (r *Reducer) dropQueued(w *work, reason RefusalReason) {
	r.guard.queueOf(w.length).remove(w)
	r.guard.admission.remove(w)
	delete(r.guard.works, w.id)
	r.closeUnstarted(w)
	r.refuseWork(w, reason)
}

// closeUnstarted notes that a queued attempt never ran.
func (r *Reducer) closeUnstarted(w *work) {
	r.memory.close(w, OutcomeNotRun, nil)
	r.answerJoined(w.attempt)
}

func (r *Reducer) refuseWork(w *work, reason RefusalReason) {
	r.counts.Refused++
	r.decidedWork(DecidedDenied, w, string(reason))
	r.emit(RefuseWork{Work: w.id, Reason: reason})
}

// startWork starts queued attempts while slots are free.
func (r *Reducer) startWork() {
	g := &r.guard
	if g.dead || r.leaving() {
		return
	}
	r.takeBodies()
	for g.running < g.openSlots(r.now, r.Settings.Warmup) {
		if g.running >= r.usableSlots() && g.admission.waiting() > 0 {
			return
		}
		if w := r.nextAdmitted(); w != nil {
			r.start(w)
			continue
		}
		w := r.nextWork()
		if w == nil {
			return
		}
		if !r.now.Add(g.expectedTime(w.length)).Before(w.deadline) {
			delete(g.works, w.id)
			r.closeUnstarted(w)
			r.refuseWork(w, RefusalDeadline)
			continue
		}
		r.start(w)
	}
}

// nextWork takes the attempt to start next out of its queue. Short work goes
// first; long work that waits gets a turn after a number of short starts.
func (r *Reducer) nextWork() *work {
	g := &r.guard
	longFree := len(g.long.works) > 0 && g.runningLong < g.longSlots(r.Settings.ShortReserve)
	shortFree := len(g.short.works) > 0
	switch {
	case longFree && (!shortFree || g.shortsSince >= longAfterShorts):
		g.shortsSince = 0
		return g.long.pop()
	case shortFree:
		g.shortsSince++
		return g.short.pop()
	default:
		return nil
	}
}

func (r *Reducer) start(w *work) {
	g := &r.guard
	w.running = true
	w.started = r.now
	w.startPace = g.admission.currentPace(r.now)
	g.running++
	if w.repeat {
		g.runningRepeats++
	}
	if w.length == LengthLong {
		g.runningLong++
	}
	r.memory.started(w)
	r.counts.Started++
	r.decidedWork(DecidedStarted, w, "")
	r.emit(StartWork{Work: w.id, Upstream: g.upstream, Instance: g.instance})
}

// workEnded frees the slot of an attempt.
func (r *Reducer) workEnded(e WorkEnded) {
	g := &r.guard
	w := g.works[e.Work]
	if w == nil {
		return
	}
	delete(g.works, e.Work)
	if !w.running {
		return
	}
	g.running--
	if w.repeat {
		g.runningRepeats--
	}
	if w.length == LengthLong {
		g.runningLong--
	}
	r.noteUpstream(w, e)
	if e.Outcome == OutcomeRan {
		g.answeredAt = r.now
		if e.Status < 500 && w.objective.IsZero() {
			g.sample(w.length, r.now.Sub(w.started))
		}
	}
	r.decidedWork(DecidedEnded, w, string(e.Outcome))
	r.memory.close(w, e.Outcome, e.Answer)
	r.answerJoined(w.attempt)
	r.startWork()
}

// workLeft drops an attempt whose requester no longer waits, if it has not started.
func (r *Reducer) workLeft(e WorkLeft) {
	g := &r.guard
	w := g.works[e.Work]
	if w == nil || w.running {
		return
	}
	if w.joins != "" {
		delete(g.works, w.id)
		return
	}
	r.dropQueued(w, RefusalDeadline)
}

// expireQueue refuses queued attempts that can't complete by their deadline.
func (r *Reducer) expireQueue() {
	r.expireAdmitted()
	g := &r.guard
	for _, q := range []*workQueue{&g.short, &g.long} {
		for _, w := range slices.Clone(q.works) {
			if !r.now.Add(g.expectedTime(w.length)).Before(w.deadline) {
				r.dropQueued(w, RefusalDeadline)
			}
		}
	}
}

// refuseQueueWhenLeaving gives queued attempts back, so that they can run elsewhere.
func (r *Reducer) refuseQueueWhenLeaving() {
	if !r.leaving() {
		return
	}
	g := &r.guard
	for _, q := range []*workQueue{&g.short, &g.long} {
		for _, w := range slices.Clone(q.works) {
			r.dropQueued(w, RefusalLeaving)
		}
	}
	r.refuseAdmitted(RefusalLeaving)
}
