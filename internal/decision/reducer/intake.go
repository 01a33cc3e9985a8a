package reducer

import "time"

const (
	// maxBodyTransferTime limits the transfer time of the bodies requested concurrently: half of
	// the shortest objective of short requests, which share the link.
	maxBodyTransferTime = 40 * time.Millisecond
	// bodyStallTimeout is the time after which a body that has not arrived no longer delays
	// others: six times the transfer time of 60 KB over 10 Mbit/s.
	bodyStallTimeout = 300 * time.Millisecond
	// maxRequestedBodyBytes limits the bytes of the bodies that wait in memory for a slot, to less
	// than a tenth of the smallest VM's memory.
	maxRequestedBodyBytes = 16 << 20
)

// bodyState is the transfer state of an attempt's body.
type bodyState int

const (
	// bodyReady means that the attempt can start: it has no body, its body has arrived, or
	// the body is streamed to the upstream.
	bodyReady bodyState = iota
	// bodyNotRequested means that the body is still at the entry and not requested.
	bodyNotRequested
	// bodyRequested means that the body is requested and has not arrived.
	bodyRequested
)

// requestBodies requests the long bodies of waiting attempts, as far as the limits allow.
// Concurrent uploads would delay short requests on a slow link, so bodies are requested
// one after another in the order of latest start. They are requested before a slot is
// assigned, so that no slot idles during a transfer.
func (r *Reducer) requestBodies() {
	a := &r.guard.admission
	for _, waiting := range [][]*work{a.inTime, a.late} {
		for _, w := range waiting {
			if w.body == bodyNotRequested && !r.requestBody(w) {
				return
			}
		}
	}
}

// requestBody requests an attempt's body if the memory and link limits allow, and reports
// whether it did.
func (r *Reducer) requestBody(w *work) bool {
	if r.guard.requestedBodyBytes()+w.bodyBytes > maxRequestedBodyBytes {
		return false
	}
	if under := r.bodyBytesInFlight(); under > 0 && r.linkTime(under+w.bodyBytes) > maxBodyTransferTime {
		return false
	}
	w.body = bodyRequested
	w.bodyRequestedAt = r.now
	r.noteWorkDecision(DecisionBodyRequested, w, "")
	r.emit(RequestBody{Work: w.id})
	return true
}

// requestedBodyBytes returns the total size in bytes of the requested bodies of waiting attempts.
func (g *guard) requestedBodyBytes() int64 {
	total := int64(0)
	for _, w := range g.attempts {
		if !w.running && !w.bodyRequestedAt.IsZero() {
			total += w.bodyBytes
		}
	}
	return total
}

// bodyBytesInFlight returns the total size in bytes of the requested bodies that have not arrived
// and are not stalled.
func (r *Reducer) bodyBytesInFlight() int64 {
	total := int64(0)
	for _, w := range r.guard.attempts {
		if w.body == bodyRequested && r.now.Sub(w.bodyRequestedAt) < bodyStallTimeout {
			total += w.bodyBytes
		}
	}
	return total
}

// bodyReceived marks an attempt's body as arrived and starts queued work.
func (r *Reducer) bodyReceived(e BodyReceived) {
	if w := r.guard.attempts[e.Work]; w != nil && w.body == bodyRequested {
		w.body = bodyReady
		r.startWork()
	}
}

// bodyWait estimates how long an attempt's body takes to arrive.
func (r *Reducer) bodyWait(w *work) time.Duration {
	if w.body == bodyReady {
		return 0
	}
	ahead := r.bodyBytesInFlight() + w.bodyBytes
	a := &r.guard.admission
	for _, o := range a.inTime {
		if o.body == bodyNotRequested {
			ahead += o.bodyBytes
		}
	}
	return r.linkTime(ahead)
}

// linkTime returns the transfer time of bytes over the VM's link, or zero if the link's
// rate is unknown.
func (r *Reducer) linkTime(bytes int64) time.Duration {
	if r.Settings.LinkRate <= 0 {
		return 0
	}
	return time.Duration(float64(bytes) / float64(r.Settings.LinkRate) * float64(time.Second))
}
