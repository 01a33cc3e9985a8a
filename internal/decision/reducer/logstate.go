package reducer

import (
	"maps"
	"slices"
)

const (
	// maxPendingRecords limits the records held until a snapshot makes the state known.
	maxPendingRecords = 4096
	// maxRejections limits the rejected plans that are kept; the oldest are dropped first.
	maxRejections = 32
)

// logState is the state that results from the log's records. It depends on the log alone,
// so all nodes that have read up to the same offset agree on it.
//
// A reader that starts after the first records have expired can't apply the records it reads,
// because the state they build on is missing. It keeps them pending until it reads a snapshot
// that covers every offset before its first record.
type logState struct {
	// known reports whether the state is complete up to next.
	known bool
	// firstRead is the offset from which on this reader holds every record.
	firstRead int64
	// next is the next offset to read.
	next int64
	// lastSnapshotOffset is the offset of the last snapshot read.
	lastSnapshotOffset int64
	// plan is the plan in force at next.
	plan     Plan
	rejected []Rejection
	// tables holds the home tables by service name.
	tables map[string]*homeTable
	// pending holds the records read while the state is unknown, at most maxPendingRecords.
	pending []pendingRecord
}

// pendingRecord is a record that can be applied only after a snapshot makes the state known.
type pendingRecord struct {
	offset int64
	record Record
}

// begin prepares for reading the log from the earliest offset that it retains. The state
// becomes unknown when records that were not read have expired.
func (l *logState) begin(earliest int64) {
	switch {
	case l.next == 0 && earliest <= 1:
		l.known = true
		l.next = 1
		l.firstRead = 1
	case l.next < earliest:
		l.known = false
		l.next = earliest
		l.firstRead = earliest
		l.pending = nil
	}
}

// readRecord applies the record at offset. Records that were read before are ignored.
func (l *logState) readRecord(offset int64, record Record) {
	if offset < l.next {
		return
	}
	l.next = offset + 1
	if record.Snapshot != nil {
		l.lastSnapshotOffset = offset
		l.restore(*record.Snapshot)
		return
	}
	if l.known {
		l.apply(offset, record)
		return
	}
	if len(l.pending) < maxPendingRecords {
		l.pending = append(l.pending, pendingRecord{offset: offset, record: record})
		return
	}
	// The oldest record is dropped, so a snapshot must cover a later offset.
	l.firstRead = l.pending[0].offset + 1
	l.pending = append(slices.Delete(l.pending, 0, 1), pendingRecord{offset: offset, record: record})
}

// apply applies a plan or a table change to a known state.
func (l *logState) apply(offset int64, record Record) {
	switch {
	case record.Plan != nil:
		l.applyPlan(offset, *record.Plan)
	case record.Table != nil:
		l.table(record.Table.Service).apply(offset, *record.Table, l.plan)
	}
}

// applyPlan puts a plan in force, or rejects it when its base is not the plan in force.
func (l *logState) applyPlan(offset int64, spec PlanSpec) {
	if spec.ID == l.plan.spec.ID {
		// The same record was appended twice because its first answer was lost.
		return
	}
	if spec.Base == l.plan.offset {
		l.plan = NewPlan(offset, spec)
		return
	}
	if len(l.rejected) == maxRejections {
		l.rejected = slices.Delete(l.rejected, 0, 1)
	}
	l.rejected = append(l.rejected, Rejection{
		Offset: offset, PlanID: spec.ID, Operator: spec.Operator,
		Reason: "another plan replaced its base first; publish again with --base set to the plan in force",
	})
}

// restore applies a snapshot and reports whether it did. A state that is known is left as it is.
//
// A snapshot that ends before firstRead-1 is not used: the records between the two may be
// missing here.
func (l *logState) restore(s Snapshot) bool {
	if l.known || s.AsOf+1 < l.firstRead {
		return false
	}
	l.known = true
	l.plan = NewPlan(s.PlanOffset, s.Plan)
	l.rejected = slices.Clone(s.Rejected)
	l.tables = map[string]*homeTable{}
	for _, t := range s.Tables {
		if table := newHomeTable(t); table != nil {
			l.tables[t.Service] = table
		}
	}
	if l.next <= s.AsOf {
		l.next = s.AsOf + 1
	}
	pending := l.pending
	l.pending = nil
	for _, p := range pending {
		if p.offset > s.AsOf {
			l.apply(p.offset, p.record)
		}
	}
	return true
}

// snapshot returns the state as a snapshot, or false while the state is unknown.
func (l *logState) snapshot() (Snapshot, bool) {
	if !l.known {
		return Snapshot{}, false
	}
	s := Snapshot{
		AsOf: l.next - 1, PlanOffset: l.plan.offset, Plan: l.plan.spec,
		Rejected: slices.Clone(l.rejected),
	}
	for _, name := range slices.Sorted(maps.Keys(l.tables)) {
		s.Tables = append(s.Tables, l.tables[name].snapshot(name))
	}
	return s, true
}

// table returns the home table of a service and creates an empty one if needed.
func (l *logState) table(service string) *homeTable {
	t := l.tables[service]
	if t != nil {
		return t
	}
	t = &homeTable{}
	if l.tables == nil {
		l.tables = map[string]*homeTable{}
	}
	l.tables[service] = t
	return t
}
