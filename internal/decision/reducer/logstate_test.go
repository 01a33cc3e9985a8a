package reducer

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestPlansGoOnAfterEveryNodeMissedRecords expires records of the log before any of two nodes has
// read them. Both lose the complete state, so none can write or offer the snapshot that the
// other needs, and every later plan stays out of force.
func TestPlansGoOnAfterEveryNodeMissedRecords(t *testing.T) {
	c := qt.New(t)
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	var nodes []*Reducer
	for i := 1; i <= 2; i++ {
		r := &Reducer{
			Self:     MemberSpec{Address: "10.0.0." + string(rune('0'+i)) + ":7600", Incarnation: uint64(i), Region: "r1", Zone: "z1"},
			Settings: DefaultSettings(), Seed: uint64(i),
		}
		r.Step(now, LogOpened{Earliest: 1})
		r.Step(now, RecordRead{Offset: 1, Record: Record{ID: "first", Plan: &PlanSpec{ID: "first"}}})
		c.Assert(r.Plan().Offset(), qt.Equals, int64(1))
		r.Step(now, LogOpened{Earliest: 5})
		nodes = append(nodes, r)
	}
	offset := int64(5)
	// read shows both nodes each record that one of them appends.
	read := func(record Record) {
		for _, r := range nodes {
			r.Step(now, RecordRead{Offset: offset, Record: record})
		}
		offset++
	}
	read(Record{ID: "second", Plan: &PlanSpec{ID: "second", Base: 1}})
	deadline := now.Add(2 * DefaultSettings().Retention)
	for now.Before(deadline) {
		now = now.Add(10 * time.Second)
		for _, r := range nodes {
			for _, e := range r.Step(now, Tick{}) {
				if appended, ok := e.(AppendRecord); ok {
					read(appended.Record)
					r.Step(now, RecordAppended{ID: appended.Record.ID, Offset: offset - 1})
				}
			}
		}
	}
	for _, r := range nodes {
		c.Assert(r.Plan().Offset(), qt.Equals, int64(5))
	}
}
