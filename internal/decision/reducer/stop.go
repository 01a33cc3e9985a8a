package reducer

import (
	"maps"
	"slices"
	"time"
)

// stopReserveDivisor divides StopAllowance, which gives the time that is reserved for closing the
// connections and ending the process after the last call.
const stopReserveDivisor = 10

// stopRequested begins a graceful stop.
func (r *Reducer) stopRequested() {
	if r.stopping {
		return
	}
	r.stopping = true
	reserve := r.Settings.StopAllowance / stopReserveDivisor
	r.stopDeadline = r.now.Add(r.Settings.StopAllowance - reserve)
	r.closeDeadline = r.stopDeadline.Add(reserve / 2)
	r.lingerUntil = r.beforeStopDeadline(r.Settings.StopLinger)
	r.admitUntil = r.beforeStopDeadline(r.Settings.StopOpen)
	r.announceSelf()
	r.refuseQueueWhenClosed()
	for _, p := range r.members.order {
		if p.tier != tierSelf && p.member.Service() == r.guard.service {
			r.emit(SendExchange{Address: p.member.ID().Address(), Digest: r.digest(), Members: []Member{r.members.self}})
		}
	}
	r.maintainHomeTables()
}

// beforeStopDeadline returns the end of a part of the stop that lasts for d if the whole stop allows it.
func (r *Reducer) beforeStopDeadline(d time.Duration) time.Time {
	if end := r.now.Add(d); end.Before(r.stopDeadline) {
		return end
	}
	return r.stopDeadline
}

// outlivesStop reports whether a call or an attempt with this deadline might still be in flight when
// the stop has to complete. Its answer would be lost with the process, so it must not be accepted.
func (r *Reducer) outlivesStop(deadline time.Time) bool {
	return r.stopping && deadline.After(r.stopDeadline)
}

// InFlight reports whether calls or attempts are in flight.
func (r *Reducer) InFlight() bool { return len(r.calls) > 0 || len(r.guard.attempts) > 0 }

// CloseDeadline returns when the connections must be closed after a graceful stop, or the zero time
// before one was requested.
func (r *Reducer) CloseDeadline() time.Time { return r.closeDeadline }

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
	r.endUnanswered()
	r.emit(Stopped{})
}

// endUnanswered ends the calls that were accepted before the stop and are still unanswered at its
// deadline, so that their callers get an answer before the process ends.
func (r *Reducer) endUnanswered() {
	for _, id := range slices.Sorted(maps.Keys(r.calls)) {
		c := r.calls[id]
		switch {
		case c == nil || c.answered:
		case c.inFlight():
			r.emit(CancelCall{Call: id})
		default:
			r.rejectUnanswered(c, ProblemStopping)
		}
	}
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
	return r.InFlight() || r.awaitsHandover()
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
