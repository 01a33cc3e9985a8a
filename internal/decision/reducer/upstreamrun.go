package reducer

import "time"

// UpstreamRun identifies one run of an upstream process.
type UpstreamRun struct {
	instance string
	started  time.Time
}

// NewUpstreamRun returns the run with an instance ID, which a later run may have as well, and a start
// time by the clock of the upstream's VM. The start time may also be the latest possible one, or
// zero if nothing is known of it.
func NewUpstreamRun(instance string, started time.Time) UpstreamRun {
	return UpstreamRun{instance: instance, started: started}
}

// Instance returns the instance ID, or an empty string if it is unknown.
func (u UpstreamRun) Instance() string { return u.instance }

// Started returns the start time, or the zero time if it is unknown.
func (u UpstreamRun) Started() time.Time { return u.started }

// covers reports whether other may be the same run as u: it has the same ID and did not start
// later. A run without an ID is never covered.
func (u UpstreamRun) covers(other UpstreamRun) bool {
	return u.instance != "" && u.instance == other.instance && !other.started.After(u.started)
}

// recordLeave remembers the run as leaving for good: a run that is about to exit never takes new
// work again. The record is stored outside the process, so that the node's next process knows it.
func (r *Reducer) recordLeave(run UpstreamRun) {
	if run.instance == "" || r.guard.leaving.covers(run) {
		return
	}
	r.guard.leaving = run
	r.emit(StoreLeavingRun{Run: run})
}

// leavingRunListed applies the record of an earlier process at this node's address, unless this
// process has recorded a run itself.
func (r *Reducer) leavingRunListed(run UpstreamRun) {
	g := &r.guard
	if g.leaving.instance != "" || run.instance == "" {
		return
	}
	g.leaving = run
	if g.draining || !run.covers(g.run) {
		return
	}
	g.draining = true
	r.announceSelf()
	r.refuseQueueWhenLeaving()
}
