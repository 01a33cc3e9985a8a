package reducer

import (
	"slices"
	"time"
)

// work is an attempt at its guard.
type work struct {
	id          WorkID
	attempt     AttemptID
	name        keyName
	keyed       bool
	length      Length
	weight      int
	requestID   string
	arrived     time.Time
	deadline    time.Time
	fingerprint uint64
	running     bool
	repeat      bool
	// objective is when an answer loses most of its worth, or zero.
	objective time.Time
	// objectiveTime is what was left until the objective when the attempt arrived.
	objectiveTime time.Duration
	route         string
	// startPace is the upstream's pace when the attempt started, in percent.
	startPace int
	started   time.Time
	// bodyBytes and body are about a body that is sent once it is asked for, and bodyAt
	// is when that was, or zero.
	bodyBytes int64
	body      bodyState
	bodyAt    time.Time
	// joins is the attempt whose answer this resend waits for.
	joins AttemptID
}

// workQueue holds attempts that wait for a slot: heavier kinds first, and the
// earlier deadline first within a weight.
type workQueue struct{ works []*work }

func (q *workQueue) push(w *work) {
	at, _ := slices.BinarySearchFunc(q.works, w, compareWork)
	q.works = slices.Insert(q.works, at, w)
}

func (q *workQueue) pop() *work {
	w := q.works[0]
	q.works = slices.Delete(q.works, 0, 1)
	return w
}

func (q *workQueue) remove(w *work) bool {
	before := len(q.works)
	q.works = slices.DeleteFunc(q.works, func(o *work) bool { return o == w })
	return len(q.works) < before
}

// ahead counts the attempts that would start before w.
func (q *workQueue) ahead(w *work) int {
	at, _ := slices.BinarySearchFunc(q.works, w, compareWork)
	return at
}

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
