package reducer

import "time"

const (
	// intakeTime is how long the bodies that are under way to a guard at a time may keep
	// its link busy: half of the shortest objective that short requests have.
	intakeTime = 40 * time.Millisecond
	// intakeStall is when a body that doesn't come makes way for others: six times what
	// 60 KB take over 10 Mbit/s.
	intakeStall = 300 * time.Millisecond
	// maxTakenBytes bounds the bodies that wait in a guard's memory for a slot: under a
	// tenth of the smallest VM's.
	maxTakenBytes = 16 << 20
)

// bodyState tells where the body of an attempt is.
type bodyState int

const (
	// bodyHere needs nothing: the attempt has no body, a short one that came with it,
	// or one that is passed on as it comes.
	bodyHere bodyState = iota
	bodyWaiting
	bodyComing
)

// takeBodies asks for the long bodies of waiting attempts that may come now. It answers
// uploads that come together over a narrow link: they are taken one after another, those
// that must start soonest first, so that short requests aren't held up behind them, and
// before a slot is taken, so that none idles while a body comes.
func (r *Reducer) takeBodies() {
	a := &r.guard.admission
	for _, waiting := range [][]*work{a.inTime, a.late} {
		for _, w := range waiting {
			if w.body == bodyWaiting && !r.takeBody(w) {
				return
			}
		}
	}
}

// takeBody asks for an attempt's body if it may come now.
func (r *Reducer) takeBody(w *work) bool {
	if r.guard.takenBytes()+w.bodyBytes > maxTakenBytes {
		return false
	}
	if under := r.underWay(); under > 0 && r.linkTime(under+w.bodyBytes) > intakeTime {
		return false
	}
	w.body = bodyComing
	w.bodyAt = r.now
	r.decidedWork(DecidedBody, w, "")
	r.emit(TakeBody{Work: w.id})
	return true
}

// takenBytes is the bytes of the bodies that were asked for and whose attempts wait.
func (g *guard) takenBytes() int64 {
	total := int64(0)
	for _, w := range g.works {
		if !w.running && !w.bodyAt.IsZero() {
			total += w.bodyBytes
		}
	}
	return total
}

// underWay is the bytes of the bodies that are coming and not stalled.
func (r *Reducer) underWay() int64 {
	total := int64(0)
	for _, w := range r.guard.works {
		if w.body == bodyComing && r.now.Sub(w.bodyAt) < intakeStall {
			total += w.bodyBytes
		}
	}
	return total
}

// bodyTaken notes that an attempt's body is here.
func (r *Reducer) bodyTaken(e BodyTaken) {
	if w := r.guard.works[e.Work]; w != nil && w.body == bodyComing {
		w.body = bodyHere
		r.startWork()
	}
}

// intakeWait estimates how long it takes until an attempt's body is here.
func (r *Reducer) intakeWait(w *work) time.Duration {
	if w.body == bodyHere {
		return 0
	}
	ahead := r.underWay() + w.bodyBytes
	a := &r.guard.admission
	for _, o := range a.inTime {
		if o.body == bodyWaiting {
			ahead += o.bodyBytes
		}
	}
	return r.linkTime(ahead)
}

// linkTime is how long the VM's link takes for so many bytes, or zero where its rate is
// not known.
func (r *Reducer) linkTime(bytes int64) time.Duration {
	if r.Settings.LinkRate <= 0 {
		return 0
	}
	return time.Duration(float64(bytes) / float64(r.Settings.LinkRate) * float64(time.Second))
}
