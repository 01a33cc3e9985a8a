package reducer

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// home returns a reducer that owns every partition of the test service, and its start time.
func home(c *qt.C) (*Reducer, time.Time) {
	now := time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)
	r := &Reducer{
		Settings: worldSettings(), Seed: 1,
		Self: MemberSpec{Address: "a", Incarnation: 1, Started: now, Region: "amman", Zone: "amman-1"},
	}
	plan := worldPlan("p", 0)
	r.Step(now, LogOpened{Earliest: 1})
	r.Step(now, RecordRead{Offset: 1, Record: Record{ID: "p", Plan: &plan}})
	r.Step(now, UpstreamAnnounced{Service: worldService, Address: "ua", Slots: 3})
	first := TableChange{Service: worldService, Kind: ChangeFirst, To: r.selfOwner()}
	r.Step(now, RecordRead{Offset: 2, Record: Record{ID: "t", Table: &first}})
	c.Assert(r.log.tables[worldService].owned(r.selfID()), qt.HasLen, partitionCount)
	return r, now
}

func signCall(id CallID, key string, now time.Time) CallArrived {
	return CallArrived{
		Call: id, Service: worldService, Kind: "sign", Key: key, Retries: -1,
		Deadline: now.Add(5 * time.Second), Fingerprint: 7,
	}
}

// TestOlderOfferOfPartitionsIsRefused delivers two offers of the same partitions in the wrong
// order: the older key records must not replace the newer ones.
func TestOlderOfferOfPartitionsIsRefused(t *testing.T) {
	c := qt.New(t)
	r, now := home(c)
	from := Owner{Address: "b", Incarnation: 2}
	offer := func(sequence uint64, memory HandoverKey) bool {
		effects := r.Step(now, HandoverOffered{
			Work: WorkID(sequence), Records: []HandoverKey{memory},
			Change: TableChange{
				Sequence: sequence, Service: worldService, Kind: ChangeHandover,
				From: from, To: r.selfOwner(), Partitions: []int{1},
			},
		})
		for _, effect := range effects {
			if reply, ok := effect.(HandoverReply); ok {
				return reply.Accepted
			}
		}
		c.Fatal("the offer was not answered")
		return false
	}
	c.Assert(offer(8, HandoverKey{Key: "k", Ran: true, Attempt: "2.9", Guard: from.ID()}), qt.IsTrue)
	c.Assert(offer(7, HandoverKey{Key: "k", Free: true}), qt.IsFalse)
	c.Assert(r.keys.find(worldService, "k").state, qt.Equals, keyStateRan)
}

// TestLateAnswerDoesNotConfirmANewerOffer abandons an offer, sends a second one and then
// delivers the answer to the first, which must not count for the second.
func TestLateAnswerDoesNotConfirmANewerOffer(t *testing.T) {
	c := qt.New(t)
	r, now := home(c)
	spec := MemberSpec{Address: "b", Incarnation: 2, Started: now, Service: worldService, Upstream: "ub", Slots: 3}
	r.Step(now, RecordRead{Offset: 3, Record: Record{ID: "m", Member: &spec}})
	offered := func(effects []Effect) (TableChange, bool) {
		for _, effect := range effects {
			if o, ok := effect.(OfferHandover); ok {
				return o.Change, true
			}
		}
		return TableChange{}, false
	}
	first, ok := offered(r.Step(now, Tick{}))
	c.Assert(ok, qt.IsTrue)
	var second TableChange
	for range 40 {
		now = now.Add(50 * time.Millisecond)
		if change, again := offered(r.Step(now, Tick{})); again {
			second = change
			break
		}
	}
	c.Assert(second.Sequence, qt.Not(qt.Equals), uint64(0))
	effects := r.Step(now, HandoverAnswered{Change: first, Accepted: true})
	c.Assert(effects, qt.HasLen, 0)
	c.Assert(r.handovers[worldService].accepted, qt.IsFalse)
}

// TestSilentHomeKeepsItsPartitions checks that the partitions of a home that was silent for a day
// are not claimed, because silence does not prove that the process is gone. They are claimed
// once the plan lists its VM as gone.
func TestSilentHomeKeepsItsPartitions(t *testing.T) {
	c := qt.New(t)
	r, now := home(c)
	owner := Owner{Address: "b", Incarnation: 2, Started: now, Upstream: "ub"}
	change := TableChange{Service: worldService, Kind: ChangeHandover, From: r.selfOwner(), To: owner, Partitions: []int{0, 1, 2}}
	r.Step(now, RecordRead{Offset: 3, Record: Record{ID: "h", Table: &change}})
	for range 24 * 60 {
		now = now.Add(time.Minute)
		for _, effect := range r.Step(now, Tick{}) {
			if a, ok := effect.(AppendRecord); ok && a.Record.Table != nil && a.Record.Table.Kind == ChangeClaim {
				c.Fatalf("a silent home's partitions were claimed: %+v", a.Record.Table)
			}
		}
	}
	plan := worldPlan("q", 1)
	plan.Services[0].Gone = []string{"ub"}
	r.Step(now, RecordRead{Offset: 4, Record: Record{ID: "q", Plan: &plan}})
	claimed := false
	for range 100 {
		now = now.Add(50 * time.Millisecond)
		for _, effect := range r.Step(now, Tick{}) {
			if a, ok := effect.(AppendRecord); ok && a.Record.Table != nil {
				claimed = claimed || a.Record.Table.Kind == ChangeClaim && a.Record.Table.From.ID() == owner.ID()
			}
		}
	}
	c.Assert(claimed, qt.IsTrue)
}
