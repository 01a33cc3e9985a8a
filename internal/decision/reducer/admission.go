package reducer

import (
	"slices"
	"time"
)

const (
	// returnAllowance is kept free for an answer's way back to its caller.
	returnAllowance = 10 * time.Millisecond
	// firstShare is the part of an objective that stands in for the service time of a
	// route that was not measured yet.
	firstShare = 4
	// waitMargin is how much longer than estimated an attempt that is let in may wait and
	// still be in time, in percent of the estimate: docs/EXPERIMENTS.md compares values.
	waitMargin = 150
	// meanPace is what the pace of a disturbed upstream comes to over a whole attempt,
	// in percent, when no fresh figure is known.
	meanPace = 150
)

// admission holds the attempts that wait for a slot in view of their objectives. It
// answers crests: attempts that can still be answered in time start first, nearest to
// their last chance first, and those that can't yield to them and start when nobody
// else waits.
type admission struct {
	inTime []*work
	late   []*work
	// times are the measured service times of each route at the usual pace.
	times map[string]time.Duration
	// mean is the service time over all routes.
	mean     time.Duration
	pace     int
	paceAt   time.Time
	failures float64
	failedAt time.Time
}

func (a *admission) waiting() int { return len(a.inTime) + len(a.late) }

// expected estimates how long an attempt takes at the present pace.
func (a *admission) expected(w *work, now time.Time) time.Duration {
	return a.base(w) * time.Duration(a.currentPace(now)) / usualPace
}

// base estimates how long an attempt takes at the usual pace.
func (a *admission) base(w *work) time.Duration {
	base := a.times[w.route]
	if base == 0 {
		base = a.mean
	}
	if base == 0 {
		base = w.objectiveTime / firstShare
	}
	return base
}

// longest estimates the time of the route that takes longest at the present pace.
func (a *admission) longest(now time.Time) time.Duration {
	most := time.Duration(0)
	for _, took := range a.times {
		most = max(most, took)
	}
	return most * time.Duration(a.currentPace(now)) / usualPace
}

// currentPace returns the upstream's pace in percent.
func (a *admission) currentPace(now time.Time) int {
	if a.pace > 0 && now.Sub(a.paceAt) < freshPace {
		return a.pace
	}
	return meanPace
}

// latestStart is when an attempt must start to be answered in time.
func (a *admission) latestStart(w *work, now time.Time) time.Time {
	return w.objective.Add(-a.expected(w, now) - returnAllowance)
}

// push takes an attempt that can be answered in time.
func (a *admission) push(w *work, now time.Time) {
	start := a.latestStart(w, now)
	at, _ := slices.BinarySearchFunc(a.inTime, start, func(o *work, t time.Time) int {
		return a.latestStart(o, now).Compare(t)
	})
	a.inTime = slices.Insert(a.inTime, at, w)
}

func (a *admission) remove(w *work) {
	same := func(o *work) bool { return o == w }
	a.inTime = slices.DeleteFunc(a.inTime, same)
	a.late = slices.DeleteFunc(a.late, same)
}

// sample takes the time of an answered attempt, brought to the usual pace.
func (a *admission) sample(w *work, took time.Duration) {
	if a.times == nil {
		a.times = map[string]time.Duration{}
	}
	if w.startPace > 0 {
		took = took * usualPace / time.Duration(w.startPace)
	}
	if a.times[w.route] == 0 {
		if len(a.times) >= maxMeasuredRoutes {
			clear(a.times)
		}
		a.times[w.route] = took
	}
	a.times[w.route] += time.Duration(serviceTimeWeight * float64(took-a.times[w.route]))
	if a.mean == 0 {
		a.mean = took
	}
	a.mean += time.Duration(serviceTimeWeight * float64(took-a.mean))
}

// maxMeasuredRoutes bounds the memory of service times.
const maxMeasuredRoutes = 256

// failureMemory is how long it takes until half of what an upstream failed is forgotten.
const failureMemory = 3 * time.Second

// note counts an attempt as failed or not.
func (a *admission) note(failed bool, now time.Time) {
	a.failures = a.failureShare(now)
	a.failedAt = now
	outcome := 0.0
	if failed {
		outcome = 1
	}
	a.failures += failureWeight * (outcome - a.failures)
}

// failureShare returns the recent share of failed attempts.
func (a *admission) failureShare(now time.Time) float64 {
	age := now.Sub(a.failedAt)
	if a.failures == 0 || age > 8*failureMemory {
		return 0
	}
	return a.failures / (1 + float64(age)/float64(failureMemory))
}

// admit takes or refuses an attempt that has an objective.
func (r *Reducer) admit(w *work, impatient bool) RefusalReason {
	g := &r.guard
	a := &g.admission
	wait := max(r.waitFor(w), r.intakeWait(w))
	finish := r.now.Add(wait + a.expected(w, r.now))
	if !finish.Add(returnAllowance + wait*waitMargin/100).After(w.objective) {
		a.push(w, r.now)
		return ""
	}
	if impatient && !r.startsLate(w) {
		return RefusalBusy
	}
	if g.running >= r.usableSlots() && !r.shortEnough(w) {
		return RefusalDeadline
	}
	if finish.Add(returnAllowance + r.lateAhead(w)).After(w.deadline) {
		return RefusalDeadline
	}
	a.late = append(a.late, w)
	return ""
}

// shortEnough reports whether a late attempt is worth its time all the same.
func (r *Reducer) shortEnough(w *work) bool {
	a := &r.guard.admission
	return a.expected(w, r.now)*lateWorth <= a.longest(r.now)
}

// startsLate reports whether an attempt that no upstream can answer in time may start at
// once. Calls of servers are often such: they end with the call that they belong to.
func (r *Reducer) startsLate(w *work) bool {
	a := &r.guard.admission
	hopeless := !r.now.Add(a.base(w) + returnAllowance).Before(w.objective)
	return hopeless && startable(w) && r.guard.running < r.usableSlots() && a.waiting() == 0 &&
		r.now.Add(a.expected(w, r.now)+returnAllowance).Before(w.deadline)
}

// usableSlots is how many attempts with an objective run at a time.
func (r *Reducer) usableSlots() int {
	return max(1, int(r.Settings.UsableShare*float64(r.guard.slots)))
}

// lateAhead estimates how long late attempts that are no longer hold the slots.
func (r *Reducer) lateAhead(w *work) time.Duration {
	a := &r.guard.admission
	mine := a.expected(w, r.now)
	ahead := time.Duration(0)
	for _, o := range a.late {
		if expected := a.expected(o, r.now); expected <= mine {
			ahead += expected
		}
	}
	return ahead / time.Duration(r.usableSlots())
}

// waitFor estimates how long an attempt that can be answered in time waits for a slot.
func (r *Reducer) waitFor(w *work) time.Duration {
	g := &r.guard
	a := &g.admission
	free := r.usableSlots() - g.running
	if free > len(a.inTime) {
		return 0
	}
	start := a.latestStart(w, r.now)
	ahead := time.Duration(0)
	for _, o := range a.inTime {
		if a.latestStart(o, r.now).After(start) {
			break
		}
		ahead += a.expected(o, r.now)
	}
	for _, o := range g.works {
		if o.running && !o.objective.IsZero() {
			ahead += max(a.expected(o, r.now)-r.now.Sub(o.started), a.expected(o, r.now)/8)
		}
	}
	return ahead / time.Duration(r.usableSlots())
}

// nextAdmitted takes the attempt to start next, or nil. Attempts that have become
// late make way, unless they are so short that they are worth more for their time, and
// those that can't be answered at all are refused.
func (r *Reducer) nextAdmitted() *work {
	a := &r.guard.admission
	r.sortOut()
	next := a.shortestLate(r.now)
	at := slices.IndexFunc(a.inTime, startable)
	if at >= 0 && (next == nil || a.expected(next, r.now)*lateWorth >= a.expected(a.inTime[at], r.now)) {
		next = a.inTime[at]
	}
	if next != nil {
		a.remove(next)
	}
	return next
}

// startable reports whether an attempt has all that it needs but a slot.
func startable(w *work) bool { return w.body == bodyHere }

// lateWorth is how much more a timely answer is worth than a late one.
const lateWorth = 3

// sortOut moves the attempts that have become late, and refuses those that can't be
// answered by their deadline any more.
func (r *Reducer) sortOut() {
	a := &r.guard.admission
	for len(a.inTime) > 0 && r.now.After(a.latestStart(a.inTime[0], r.now).Add(returnAllowance)) {
		a.late = append(a.late, a.inTime[0])
		a.inTime = slices.Delete(a.inTime, 0, 1)
	}
	r.refuseHopeless(slices.Clone(a.late))
}

// refuseHopeless refuses those attempts that can't be answered by their deadline.
func (r *Reducer) refuseHopeless(waiting []*work) {
	for _, w := range waiting {
		if !r.now.Add(r.guard.admission.expected(w, r.now)).Before(w.deadline) {
			r.dropQueued(w, RefusalDeadline)
		}
	}
}

// shortestLate returns the late attempt that takes the least time, or nil.
func (a *admission) shortestLate(now time.Time) *work {
	var shortest *work
	for _, w := range a.late {
		if !startable(w) {
			continue
		}
		if shortest == nil || a.expected(w, now) < a.expected(shortest, now) {
			shortest = w
		}
	}
	return shortest
}

// expireAdmitted refuses the attempts that can't be answered any more.
func (r *Reducer) expireAdmitted() {
	a := &r.guard.admission
	r.refuseHopeless(slices.Concat(a.inTime, a.late))
}

// refuseAdmitted gives every waiting attempt back, so that it can run elsewhere.
func (r *Reducer) refuseAdmitted(reason RefusalReason) {
	a := &r.guard.admission
	for _, w := range slices.Concat(a.inTime, a.late) {
		r.dropQueued(w, reason)
	}
}

// noteUpstream learns from the end of an attempt that had an objective.
func (r *Reducer) noteUpstream(w *work, e WorkEnded) {
	a := &r.guard.admission
	if e.Pace > 0 {
		a.pace = e.Pace
		a.paceAt = r.now
	}
	if w.objective.IsZero() {
		return
	}
	failed := e.Outcome != OutcomeRan || e.Status >= 500
	a.note(failed, r.now)
	if !failed {
		a.sample(w, r.now.Sub(w.started))
	}
}

// upstreamReplaced keeps work away from an address at which another run, or another
// upstream, answers, until that announces itself.
func (r *Reducer) upstreamReplaced(e UpstreamReplaced) {
	g := &r.guard
	if g.instance == "" || g.instance == e.Instance || g.dead {
		return
	}
	g.dead = true
	r.refuseAdmitted(RefusalNoUpstream)
	r.announceSelf()
}
