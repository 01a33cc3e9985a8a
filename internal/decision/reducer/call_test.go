package reducer

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestLostReadIsNotReportedNotRun checks that an idempotent call is not reported as not run
// when its first attempt was lost after it was sent and its retries are refused.
func TestLostReadIsNotReportedNotRun(t *testing.T) {
	c := qt.New(t)
	f := newFleet(t, 3)
	first := sent(c, f.entry.Step(f.now, f.read(1)))
	retry := sent(c, f.entry.Step(f.now, AttemptLost{Call: 1, Attempt: first.Attempt, Sent: true}))
	for range 2 {
		effects := f.entry.Step(f.now, AttemptRefused{Call: 1, Attempt: retry.Attempt, Reason: RefusalFull})
		if reject, ok := rejected(effects); ok {
			c.Assert(reject.Outcome, qt.Equals, OutcomeUnknown)
			return
		}
		retry = sent(c, effects)
	}
	c.Fatal("the call was neither retried to its end nor rejected")
}

// fleet is an entry's reducer with a number of known upstreams, and its clock.
type fleet struct {
	now   time.Time
	entry *Reducer
}

// newFleet returns an entry that knows count upstreams of the world's service.
func newFleet(t testing.TB, count int) *fleet {
	t.Helper()
	now := time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)
	f := &fleet{now: now, entry: &Reducer{
		Settings: worldSettings(), Seed: 1,
		Self: MemberSpec{Address: "entry", Incarnation: 1, Started: now, Region: "amman", Zone: "amman-1"},
	}}
	f.entry.Step(now, LogOpened{Earliest: 1})
	plan := worldPlan("p", 0)
	f.entry.Step(now, RecordRead{Offset: 1, Record: Record{ID: "p", Plan: &plan}})
	for i := range count {
		spec := f.upstream(i)
		f.entry.Step(now, RecordRead{Offset: int64(2 + i), Record: Record{ID: spec.Address, Member: &spec}})
	}
	return f
}

// upstream returns the announcement of the upstream with the given number.
func (f *fleet) upstream(i int) MemberSpec {
	return MemberSpec{
		Address: "node" + string(rune('a'+i%26)) + string(rune('a'+i/26)), Incarnation: uint64(100 + i), Started: f.now,
		Region: "amman", Zone: "amman-1", Service: worldService, Upstream: "u" + string(rune('a'+i%26)), Slots: 6,
	}
}

func (f *fleet) read(id CallID) CallArrived {
	return CallArrived{Call: id, Service: worldService, Kind: "read", Retries: -1, Deadline: f.now.Add(3 * time.Second)}
}

// sent returns the first SendAttempt among the effects, and fails the test without one.
func sent(c *qt.C, effects []Effect) SendAttempt {
	c.Helper()
	for _, effect := range effects {
		if e, ok := effect.(SendAttempt); ok {
			return e
		}
	}
	c.Fatalf("no attempt was sent: %+v", effects)
	return SendAttempt{}
}

// rejected returns the rejection among the effects, if there is one.
func rejected(effects []Effect) (RejectCall, bool) {
	for _, effect := range effects {
		if e, ok := effect.(RejectCall); ok {
			return e, true
		}
	}
	return RejectCall{}, false
}
