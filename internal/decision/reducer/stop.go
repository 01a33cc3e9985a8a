package reducer

import "time"

// stopRequested begins a graceful stop.
func (r *Reducer) stopRequested() {
	if r.stopping {
		return
	}
	r.stopping = true
	r.stopDeadline = r.now.Add(r.Settings.StopAllowance)
	r.lingerUntil = r.now.Add(r.Settings.StopLinger)
	r.admitUntil = r.now.Add(r.Settings.StopOpen)
	r.announceSelf()
	r.refuseQueueWhenClosed()
	for _, p := range r.members.order {
		if p.tier != tierSelf && p.member.Service() == r.guard.service {
			r.emit(SendExchange{Address: p.member.ID().Address(), Digest: r.digest(), Members: []Member{r.members.self}})
		}
	}
	r.maintainHomeTables()
}

const (
	// quietTime is the time without arrivals required before the listeners close:
	// connections that are being established at that moment are lost.
	quietTime = 10 * time.Millisecond
	// quietAllowance limits the wait for quietTime.
	quietAllowance = 3 * time.Second
)

// quiet reports whether the listeners may close: nothing arrived recently, or the wait for
// that has reached its limit.
func (r *Reducer) quiet() bool {
	if r.quietDeadline.IsZero() {
		r.quietDeadline = r.now.Add(quietAllowance)
	}
	return r.now.Sub(r.lastArrival) >= quietTime || !r.now.Before(r.quietDeadline)
}

// checkStopped emits Stopped once a stopping node has lingered and finished its work, or
// has reached its stop deadline.
func (r *Reducer) checkStopped() {
	if r.stopped || r.now.Before(r.lingerUntil) {
		return
	}
	if r.now.Before(r.stopDeadline) && (r.stopPending() || !r.answersTransferred() || !r.quiet()) {
		return
	}
	r.stopped = true
	r.emit(Stopped{})
}

// stopAdmission refuses further work for the upstream once StopOpen has passed. Until then
// a stopping node accepts work, as the upstream keeps running and its slots would idle.
func (r *Reducer) stopAdmission() {
	if r.admitUntil.IsZero() || r.now.Before(r.admitUntil) {
		return
	}
	r.admitUntil = time.Time{}
	r.announceSelf()
	r.refuseQueueWhenClosed()
}

// stopPending reports whether a stopping node has work in flight or shares to hand over.
func (r *Reducer) stopPending() bool {
	return len(r.calls) > 0 || len(r.guard.attempts) > 0 || r.awaitsHandover()
}

// awaitsHandover reports whether a stopping node still waits to hand over shares.
func (r *Reducer) awaitsHandover() bool {
	for service, table := range r.log.tables {
		if len(table.owned(r.selfID())) == 0 {
			continue
		}
		h := r.handovers[service]
		switch {
		case h == nil:
			if len(r.possibleHomes(service)) > 0 {
				return true
			}
		case h.accepted:
			if r.now.Before(h.giveUp) {
				return true
			}
		case h.offers < maxHandoverOffers:
			return true
		}
	}
	return false
}
