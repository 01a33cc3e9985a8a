package reducer

import (
	"slices"
	"time"
)

// work is an attempt that a guard has received.
type work struct {
	id      WorkID
	attempt AttemptID
	name    keyName
	keyed   bool
	length  Length
	// weight is the priority of the attempt's kind in a full queue.
	weight    int
	requestID string
	arrived   time.Time
	deadline  time.Time
	// fingerprint identifies the request in the quarantine; zero means none.
	fingerprint uint64
	running     bool
	// repeat is set if the call may also have reached another upstream.
	repeat bool
	// objective is when an answer loses most of its value, or zero.
	objective time.Time
	// objectiveTime is the time from the attempt's arrival to its objective.
	objectiveTime time.Duration
	// route is the name of the attempt's route or kind.
	route string
	// startPace is the upstream's pace when the attempt started, in percent of the usual.
	startPace int
	started   time.Time
	// bodyBytes is the size of a body that the entry sends on request; zero means none.
	bodyBytes int64
	body      bodyState
	// bodyRequestedAt is when the body was requested, or zero.
	bodyRequestedAt time.Time
	// joinedAttempt is the attempt whose answer this resend waits for, or empty.
	joinedAttempt AttemptID
}

// workQueue holds attempts without an objective that wait for a slot, ordered by
// descending weight, then by deadline.
type workQueue struct{ works []*work }

// push inserts an attempt at its place in the order.
func (q *workQueue) push(w *work) {
	at, _ := slices.BinarySearchFunc(q.works, w, compareWork)
	q.works = slices.Insert(q.works, at, w)
}

// pop removes and returns the first attempt. The queue must not be empty.
func (q *workQueue) pop() *work {
	w := q.works[0]
	q.works = slices.Delete(q.works, 0, 1)
	return w
}

// remove drops an attempt from the queue and reports whether it was queued.
func (q *workQueue) remove(w *work) bool {
	before := len(q.works)
	q.works = slices.DeleteFunc(q.works, func(o *work) bool { return o == w })
	return len(q.works) < before
}

// ahead returns how many queued attempts would start before w.
func (q *workQueue) ahead(w *work) int {
	at, _ := slices.BinarySearchFunc(q.works, w, compareWork)
	return at
}

// compareWork orders attempts by descending weight, deadline and ID.
func compareWork(a, b *work) int {
	switch {
	case a.weight != b.weight:
		return b.weight - a.weight
	case !a.deadline.Equal(b.deadline):
		return a.deadline.Compare(b.deadline)
	case a.id < b.id:
		return -1
	case a.id > b.id:
		return 1
	default:
		return 0
	}
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
