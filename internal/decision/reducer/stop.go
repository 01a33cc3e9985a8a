package reducer

import "time"

// stopRequested begins a graceful stop.
func (r *Reducer) stopRequested() {
	if r.stopping {
		return
	}
	r.stopping = true
	r.stopBy = r.now.Add(r.Settings.StopAllowance)
	r.lingering = r.now.Add(r.Settings.StopLinger)
	r.openUntil = r.now.Add(r.Settings.StopOpen)
	r.announceSelf()
	r.refuseQueueWhenLeaving()
	for _, p := range r.members.order {
		if p.tier != tierSelf && p.member.Service() == r.guard.service {
			r.emit(AskPeer{Address: p.member.ID().Address(), Digest: r.digest(), Members: []Member{r.members.self}})
		}
	}
	r.keepHomes()
}

const (
	// quietTime is how long nothing must have arrived when a node's listeners
	// close: connections that are just being made are lost with them.
	quietTime = 10 * time.Millisecond
	// quietAllowance bounds the wait for such a moment.
	quietAllowance = 3 * time.Second
)

// quiet reports whether this is a good moment to close the listeners.
func (r *Reducer) quiet() bool {
	if r.quietBy.IsZero() {
		r.quietBy = r.now.Add(quietAllowance)
	}
	return r.now.Sub(r.lastArrival) >= quietTime || !r.now.Before(r.quietBy)
}

// checkStopped tells when a stopping node has nothing left to do.
func (r *Reducer) checkStopped() {
	if r.stopped || r.now.Before(r.lingering) {
		return
	}
	if r.now.Before(r.stopBy) && (r.busy() || !r.partedAnswers() || !r.quiet()) {
		return
	}
	r.stopped = true
	r.emit(Stopped{})
}

// closeUpstream stops taking work for the upstream once a stopping node has been open for
// long enough: the upstream itself goes on, and its slots would stand empty.
func (r *Reducer) closeUpstream() {
	if r.openUntil.IsZero() || r.now.Before(r.openUntil) {
		return
	}
	r.openUntil = time.Time{}
	r.announceSelf()
	r.refuseQueueWhenLeaving()
}

// busy reports whether a stopping node has work in flight or shares to hand over.
func (r *Reducer) busy() bool {
	return len(r.calls) > 0 || len(r.guard.works) > 0 || r.holdsShares()
}

// holdsShares reports whether a stopping node still waits to hand over shares.
func (r *Reducer) holdsShares() bool {
	for service, table := range r.log.tables {
		if len(table.owned(r.selfID())) == 0 {
			continue
		}
		h := r.moves[service]
		switch {
		case h == nil:
			if len(r.homesOf(service)) > 0 {
				return true
			}
		case h.accepted:
			if r.now.Before(h.giveUp) {
				return true
			}
		case h.offers < offerAttempts:
			return true
		}
	}
	return false
}
