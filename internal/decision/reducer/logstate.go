package reducer

import (
	"maps"
	"slices"
)

const (
	maxPendingRecords = 4096
	maxRejections     = 32
)

// logState is what the log's records add up to. It is a function of the log
// alone, so all nodes that have read equally far agree on it.
//
// A reader that starts behind the log's retention can't judge the first records
// that it sees, because what they build on is gone. It keeps them pending until
// a snapshot restates a position that it has read from.
type logState struct {
	known     bool
	firstRead int64
	next      int64
	// restated is the offset of the last snapshot or plan on the log.
	restated int64
	plan     Plan
	rejected []Rejection
	tables   map[string]*homeTable
	pending  []pendingRecord
}

type pendingRecord struct {
	offset int64
	record Record
}

// begin notes the earliest offset that the log retains, before reading it.
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

// fold takes the record at offset; records that were read before are ignored.
func (l *logState) fold(offset int64, record Record) {
	if offset < l.next {
		return
	}
	l.next = offset + 1
	if record.Snapshot != nil {
		l.restated = offset
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
	// The oldest records are dropped, so a snapshot must restate a later position.
	l.firstRead = l.pending[0].offset + 1
	l.pending = append(slices.Delete(l.pending, 0, 1), pendingRecord{offset: offset, record: record})
}

// apply takes a record on top of a known state.
func (l *logState) apply(offset int64, record Record) {
	switch {
	case record.Plan != nil:
		l.applyPlan(offset, *record.Plan)
	case record.Table != nil:
		l.table(record.Table.Service).apply(offset, *record.Table, l.plan)
	}
}

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

// restore takes a snapshot and reports whether it settled an unknown state.
//
// A snapshot that was taken before firstRead doesn't settle it: records between
// the two may be lost to this reader.
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

// snapshot restates the state; it is false while the state is unknown.
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

// table returns the home table of a service, which is empty at first.
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
