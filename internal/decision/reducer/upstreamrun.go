package reducer

import (
	"encoding/binary"
	"encoding/json"
	"hash/fnv"
	"slices"
	"time"
)

// maxLeavingRuns limits the leaving runs that are remembered for an upstream. Its runs follow each
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

// upstreamRunJSON is the JSON form of an UpstreamRun.
type upstreamRunJSON struct {
	Instance string    `json:"instance"`
	Started  time.Time `json:"started"`
}

// MarshalJSON encodes the run with its instance ID and its start time.
func (u UpstreamRun) MarshalJSON() ([]byte, error) {
	return json.Marshal(upstreamRunJSON{Instance: u.instance, Started: u.started})
}

// UnmarshalJSON decodes what MarshalJSON encodes.
func (u *UpstreamRun) UnmarshalJSON(data []byte) error {
	var decoded upstreamRunJSON
	if err := json.Unmarshal(data, &decoded); err != nil {
		return err
	}
	*u = NewUpstreamRun(decoded.Instance, decoded.Started)
	return nil
}

// hash returns a hash of the instance ID and the start time.
func (u UpstreamRun) hash() uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(u.instance))
	if !u.started.IsZero() && u.started.UnixNano() != 0 {
		_, _ = h.Write(binary.BigEndian.AppendUint64(nil, uint64(u.started.UnixNano())))
	}
	return h.Sum64()
}

// leavingRuns holds the last runs of an upstream that announced their leaving, by start time. A run
// that leaves never takes new work again, whatever it announces later. Sets that are merged in any
// order become equal.
type leavingRuns []UpstreamRun

// include reports whether the run is leaving.
func (l leavingRuns) include(run UpstreamRun) bool {
	return slices.ContainsFunc(l, func(left UpstreamRun) bool { return left.covers(run) })
}

// add remembers a run and reports whether that changed the set. A run without an ID is not remembered,
// nor one that started before all of a full set.
func (l *leavingRuns) add(run UpstreamRun) bool {
	if run.instance == "" || l.include(run) {
		return false
	}
	runs := slices.DeleteFunc(slices.Clone(*l), run.covers)
	runs = append(runs, run)
	slices.SortStableFunc(runs, func(a, b UpstreamRun) int { return a.started.Compare(b.started) })
	if len(runs) > maxLeavingRuns {
		runs = runs[len(runs)-maxLeavingRuns:]
	}
	*l = runs
	return l.include(run)
}

// merge adds all runs and reports whether that changed the set.
func (l *leavingRuns) merge(runs []UpstreamRun) bool {
	changed := false
	for _, run := range runs {
		changed = l.add(run) || changed
	}
	return changed
}

// hash returns a hash of the set, zero for an empty one.
func (l leavingRuns) hash() uint64 {
	var sum uint64
	for _, run := range l {
		sum ^= run.hash()
	}
	return sum
}
