package reducer

import (
	"slices"
	"time"
)

// maxLeavingRuns limits the leaving runs that a node remembers. Runs of one upstream follow each
// other, so only messages about the last few can still arrive.
const maxLeavingRuns = 4

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

// covers reports whether other may be the same run as u, or an earlier one with its ID: it did not
// start later. A run without an ID is never covered.
func (u UpstreamRun) covers(other UpstreamRun) bool {
	return u.instance != "" && u.instance == other.instance && !other.started.After(u.started)
}

// sameRun reports whether other is the same run as u, as far as both are known.
func (u UpstreamRun) sameRun(other UpstreamRun) bool {
	return u.instance == other.instance && (u.started.IsZero() || other.started.IsZero() || u.started.Equal(other.started))
}

// leavingRuns holds the last runs that announced their leaving, oldest first. A run that leaves never
// takes new work again, whatever it announces later.
type leavingRuns []UpstreamRun

// include reports whether the run is leaving.
func (l leavingRuns) include(run UpstreamRun) bool {
	return slices.ContainsFunc(l, func(left UpstreamRun) bool { return left.covers(run) })
}

// add remembers a run and reports whether it was unknown. A run without an ID is not remembered.
func (l *leavingRuns) add(run UpstreamRun) bool {
	if run.instance == "" || l.include(run) {
		return false
	}
	*l = slices.DeleteFunc(*l, run.covers)
	if len(*l) == maxLeavingRuns {
		*l = slices.Delete(*l, 0, 1)
	}
	*l = append(*l, run)
	return true
}

// recordLeave remembers that a run is leaving. The runs are also stored outside the process, so that
// the node's next process knows them.
func (r *Reducer) recordLeave(run UpstreamRun) {
	if r.guard.leaving.add(run) {
		r.emit(StoreLeavingRuns{Runs: slices.Clone(r.guard.leaving)})
	}
}

// upstreamLeft applies the notice that a run of the upstream is leaving, which may not be the
// current one.
func (r *Reducer) upstreamLeft(e UpstreamLeft) {
	r.recordLeave(e.Run)
	r.drainLeavingUpstream()
}

// leavingRunsListed applies the record of an earlier process at this node's address.
func (r *Reducer) leavingRunsListed(runs []UpstreamRun) {
	for _, run := range runs {
		r.guard.leaving.add(run)
	}
	r.drainLeavingUpstream()
}

// drainLeavingUpstream refuses further work if the current run of the upstream is leaving.
func (r *Reducer) drainLeavingUpstream() {
	g := &r.guard
	if g.draining || !g.leaving.include(g.run) {
		return
	}
	g.draining = true
	r.announceSelf()
	r.refuseQueueWhenClosed()
}
