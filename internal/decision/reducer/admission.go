package reducer

import (
	"slices"
	"time"
)

const (
	// returnAllowance is reserved for sending the answer back to the caller.
	returnAllowance = 10 * time.Millisecond
	// unmeasuredRouteDivisor divides the time left until the objective to estimate the service time of
	// a route without measurements: one fourth.
	unmeasuredRouteDivisor = 4
	// waitMarginPercent is the safety margin of the admission test, in percent of the estimated
	// wait: an admitted attempt is still in time if it waits that much longer than
	// estimated. docs/EXPERIMENTS.md compares values.
	waitMarginPercent = 150
	// defaultPacePercent is the pace assumed without a recent report, in percent: the average that a
	// disturbed upstream reaches over a whole attempt.
	defaultPacePercent = 150
	// disturbanceTime is how long a disturbance by other VMs lasts on average once it is reported.
	disturbanceTime = 200 * time.Millisecond
	// longestDisturbance is how long an upstream may be slow before it is taken for a lasting state,
	// such as after its start.
	longestDisturbance = 350 * time.Millisecond
)

// admission queues the attempts that have an objective and wait for a slot. To keep as
// many answers in time as possible under overload, attempts that can still meet their
// objective start in the order of their latest start. Late ones start when no other
// attempt is ready, or when they are much shorter than the next one in time.
type admission struct {
	// inTime is ordered by latest start.
	inTime []*work
	// late holds the attempts that miss their objective but may meet their deadline.
	late []*work
	// routeTimes holds the measured service time of each route at the usual pace.
	routeTimes map[string]time.Duration
	// meanTime is the moving average of service times over all routes at the usual pace.
	meanTime time.Duration
	// pace is the last reported pace in percent of the usual; zero means unknown.
	pace   int
	paceAt time.Time
	// slowSince is when the reported pace began to be worse than average, or zero.
	slowSince time.Time
	// failures is the recent share of failed attempts as of failedAt, from 0 to 1.
	failures float64
	failedAt time.Time
}

// waiting returns how many attempts with an objective wait for a slot.
func (a *admission) waiting() int { return len(a.inTime) + len(a.late) }

// expected estimates the service time of an attempt at the current pace.
func (a *admission) expected(w *work, now time.Time) time.Duration {
	return a.usualTime(w) * time.Duration(a.currentPace(now)) / usualPacePercent
}

// soonest estimates the time until an attempt is done that starts now or after a disturbance of the
// upstream, whichever is sooner.
func (a *admission) soonest(w *work, now time.Time) time.Duration {
	expected := a.expected(w, now)
	if a.slowSince.IsZero() || now.Sub(a.slowSince) > longestDisturbance {
		return expected
	}
	return min(expected, disturbanceTime+a.usualTime(w)*defaultPacePercent/usualPacePercent)
}

// disturbed reports whether an attempt is done sooner if it starts after the upstream's disturbance.
// Its pace at the start holds for the whole attempt.
func (a *admission) disturbed(w *work, now time.Time) bool {
	return a.soonest(w, now) < a.expected(w, now)
}

// usualTime estimates the service time of an attempt at the usual pace.
func (a *admission) usualTime(w *work) time.Duration {
	usualTime := a.routeTimes[w.route]
	if usualTime == 0 {
		usualTime = a.meanTime
	}
	if usualTime == 0 {
		usualTime = w.objectiveTime / unmeasuredRouteDivisor
	}
	return usualTime
}

// longest estimates the service time of the slowest route at the current pace.
func (a *admission) longest(now time.Time) time.Duration {
	most := time.Duration(0)
	for _, took := range a.routeTimes {
		most = max(most, took)
	}
	return most * time.Duration(a.currentPace(now)) / usualPacePercent
}

// currentPace returns the upstream's pace in percent of the usual, or an assumed
// average if the last report is too old.
func (a *admission) currentPace(now time.Time) int {
	if a.pace > 0 && now.Sub(a.paceAt) < maxPaceAge {
		return a.pace
	}
	return defaultPacePercent
}

// recordPace stores a reported pace, in percent of the usual.
func (a *admission) recordPace(percent int, now time.Time) {
	switch {
	case percent <= defaultPacePercent:
		a.slowSince = time.Time{}
	case a.slowSince.IsZero():
		a.slowSince = now
	}
	a.pace = percent
	a.paceAt = now
}

// latestStart returns when an attempt must start to meet its objective.
func (a *admission) latestStart(w *work, now time.Time) time.Time {
	return w.objective.Add(-a.soonest(w, now) - returnAllowance)
}

// push queues an attempt that can meet its objective.
func (a *admission) push(w *work, now time.Time) {
	start := a.latestStart(w, now)
	at, _ := slices.BinarySearchFunc(a.inTime, start, func(o *work, t time.Time) int {
		return a.latestStart(o, now).Compare(t)
	})
	a.inTime = slices.Insert(a.inTime, at, w)
}

// remove drops an attempt from the queues, if it is queued.
func (a *admission) remove(w *work) {
	same := func(o *work) bool { return o == w }
	a.inTime = slices.DeleteFunc(a.inTime, same)
	a.late = slices.DeleteFunc(a.late, same)
}

// recordServiceTime updates the service times with that of an answered attempt, converted to the
// usual pace.
func (a *admission) recordServiceTime(w *work, took time.Duration) {
	if a.routeTimes == nil {
		a.routeTimes = map[string]time.Duration{}
	}
	if w.startPace > 0 {
		took = took * usualPacePercent / time.Duration(w.startPace)
	}
	if a.routeTimes[w.route] == 0 {
		if len(a.routeTimes) >= maxMeasuredRoutes {
			clear(a.routeTimes)
		}
		a.routeTimes[w.route] = took
	}
	a.routeTimes[w.route] += time.Duration(serviceTimeWeight * float64(took-a.routeTimes[w.route]))
	if a.meanTime == 0 {
		a.meanTime = took
	}
	a.meanTime += time.Duration(serviceTimeWeight * float64(took-a.meanTime))
}

// maxMeasuredRoutes limits the routes with a measured service time, to bound memory. All
// are cleared when it is reached.
const maxMeasuredRoutes = 256

// failureHalfLife is the time after which the recorded share of failures counts half.
const failureHalfLife = 3 * time.Second

// recordResult updates the share of failures with the result of an attempt.
func (a *admission) recordResult(failed bool, now time.Time) {
	a.failures = a.failureShare(now)
	a.failedAt = now
	outcome := 0.0
	if failed {
		outcome = 1
	}
	a.failures += failureWeight * (outcome - a.failures)
}

// failureShare returns the recent share of failed attempts, from 0 to 1. It decays with the
// time since the last attempt and counts as zero once less than a ninth of it is left.
func (a *admission) failureShare(now time.Time) float64 {
	age := now.Sub(a.failedAt)
	if a.failures == 0 || age > 8*failureHalfLife {
		return 0
	}
	return a.failures / (1 + float64(age)/float64(failureHalfLife))
}

// admit queues an attempt that has an objective, or returns the reason to refuse it.
func (r *Reducer) admit(w *work, impatient bool) RefusalReason {
	g := &r.guard
	a := &g.admission
	wait := max(r.queueWait(w), r.bodyWait(w), g.cold.Wait(len(a.inTime)+1, r.now))
	finish := r.now.Add(wait + a.expected(w, r.now))
	if !impatient {
		finish = r.now.Add(wait + a.soonest(w, r.now))
	}
	if !finish.Add(returnAllowance + wait*waitMarginPercent/100).After(w.objective) {
		a.push(w, r.now)
		return ""
	}
	if impatient && !r.startsLate(w) {
		return RefusalBusy
	}
	if r.tooLateWhileCold(w) {
		return RefusalBusy
	}
	if g.running >= r.usableSlots() && !r.worthQueueingLate(w) {
		return RefusalDeadline
	}
	if finish.Add(returnAllowance + r.lateAhead(w)).After(w.deadline) {
		return RefusalDeadline
	}
	a.late = append(a.late, w)
	return ""
}

// worthQueueingLate reports whether a late attempt is short enough to be worth queueing.
func (r *Reducer) worthQueueingLate(w *work) bool {
	a := &r.guard.admission
	return a.expected(w, r.now)*timelyToLateValue <= a.longest(r.now)
}

// startsLate reports whether an attempt may start at once although no upstream can meet
// its objective. This is common for calls that an upstream makes while it runs a request
// close to its deadline: refusing them would lose that request too.
func (r *Reducer) startsLate(w *work) bool {
	a := &r.guard.admission
	hopeless := !r.now.Add(a.usualTime(w) + returnAllowance).Before(w.objective)
	return hopeless && startable(w) && r.guard.running < r.usableSlots() && a.waiting() == 0 && r.guard.cold.Ready(r.now) &&
		r.now.Add(a.expected(w, r.now)+returnAllowance).Before(w.deadline)
}

// usableSlots returns how many attempts may run before further ones with an objective
// wait: many servers slow down when nearly full.
func (r *Reducer) usableSlots() int {
	return max(1, int(r.Settings.UsableShare*float64(r.guard.slots)))
}

// lateAhead estimates how long the queued late attempts that take no longer than w
// occupy the usable slots.
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

// queueWait estimates how long an attempt that can meet its objective waits for a slot.
func (r *Reducer) queueWait(w *work) time.Duration {
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
	// A running attempt that takes longer than estimated counts as an eighth of its estimate,
	// because it still holds its slot.
	for _, o := range g.attempts {
		if o.running && !o.objective.IsZero() {
			ahead += max(a.expected(o, r.now)-r.now.Sub(o.started), a.expected(o, r.now)/8)
		}
	}
	return ahead / time.Duration(r.usableSlots())
}

// popNextAdmitted removes and returns the attempt with an objective to start next, or nil.
// Late attempts come after those in time, unless they are so much shorter that they are
// worth more for the time they take.
// Attempts that can no longer meet their deadline are refused.
func (r *Reducer) popNextAdmitted() *work {
	a := &r.guard.admission
	r.demoteLate()
	next := a.shortestLate(r.now)
	at := slices.IndexFunc(a.inTime, startable)
	if at >= 0 && (next == nil || a.expected(next, r.now)*timelyToLateValue >= a.expected(a.inTime[at], r.now)) {
		next = a.inTime[at]
	}
	if next == nil || a.disturbed(next, r.now) {
		return nil
	}
	a.remove(next)
	return next
}

// startable reports whether an attempt needs only a slot to start.
func startable(w *work) bool { return w.body == bodyReady }

// timelyToLateValue is the value of an answer in time relative to a late one.
const timelyToLateValue = 3

// demoteLate moves attempts that can no longer meet their objective to late, and refuses
// late ones that can no longer meet their deadline.
func (r *Reducer) demoteLate() {
	a := &r.guard.admission
	for len(a.inTime) > 0 && r.now.After(a.latestStart(a.inTime[0], r.now).Add(returnAllowance)) {
		a.late = append(a.late, a.inTime[0])
		a.inTime = slices.Delete(a.inTime, 0, 1)
	}
	r.refuseMissedDeadlines(slices.Clone(a.late))
}

// refuseMissedDeadlines refuses the attempts in waiting that can no longer meet their deadline.
func (r *Reducer) refuseMissedDeadlines(waiting []*work) {
	for _, w := range waiting {
		if !r.now.Add(r.guard.admission.soonest(w, r.now)).Before(w.deadline) {
			r.dropQueued(w, RefusalDeadline)
		}
	}
}

// shortestLate returns the startable late attempt with the shortest expected time, or nil.
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

// expireAdmitted refuses the waiting attempts that can no longer meet their deadline.
func (r *Reducer) expireAdmitted() {
	a := &r.guard.admission
	r.refuseMissedDeadlines(slices.Concat(a.inTime, a.late))
}

// refuseAdmitted refuses all waiting attempts with an objective, so that their entries
// can retry them elsewhere.
func (r *Reducer) refuseAdmitted(reason RefusalReason) {
	a := &r.guard.admission
	for _, w := range slices.Concat(a.inTime, a.late) {
		r.dropQueued(w, reason)
	}
}

// recordUpstreamResult updates the pace, and the failure share and service times if the ended
// attempt had an objective.
func (r *Reducer) recordUpstreamResult(w *work, e WorkEnded) {
	a := &r.guard.admission
	if e.PacePercent > 0 {
		a.recordPace(e.PacePercent, r.now)
	}
	if w.objective.IsZero() {
		return
	}
	failed := e.Outcome != OutcomeRan || e.Status >= 500
	if r.canceledInTime(w, e) {
		return
	}
	a.recordResult(failed, r.now)
	if !failed {
		a.recordServiceTime(w, r.now.Sub(w.started))
	}
}

// upstreamReplaced stops sending work to an address where another process or another
// upstream answers, until it announces itself.
func (r *Reducer) upstreamReplaced(e UpstreamReplaced) {
	g := &r.guard
	if g.run.instance == "" || g.run.instance == e.Instance || g.upstreamDown {
		return
	}
	g.upstreamDown = true
	r.refuseAdmitted(RefusalNoUpstream)
	r.announceSelf()
}
