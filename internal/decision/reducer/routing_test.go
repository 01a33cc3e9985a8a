package reducer

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// answerCalls makes the given number of calls in sequence, answers each as answer says for its
// upstream, and returns the number of calls by upstream address.
func (f *fleet) answerCalls(c *qt.C, calls int, answer func(target string) (took time.Duration, load LoadReport, status int)) map[string]int {
	drawn := map[string]int{}
	for i := range calls {
		id := CallID(1000 + i)
		send := sent(c, f.entry.Step(f.now, f.read(id)))
		target := send.Target.Address()
		drawn[target]++
		took, load, status := answer(target)
		f.now = f.now.Add(took)
		f.entry.Step(f.now, AttemptAnswered{Call: id, Attempt: send.Attempt, Status: status, Load: load})
		f.entry.Step(f.now, AnswerEnded{Call: id, Attempt: send.Attempt, Whole: true})
		f.entry.Step(f.now, CallEnded{Call: id})
		f.entry.Step(f.now, Tick{})
	}
	return drawn
}

func (f *fleet) ejected() int {
	count := 0
	for _, p := range f.entry.members.order {
		if f.now.Before(p.ejectedUntil) || p.onTrial {
			count++
		}
	}
	return count
}

// TestWaitIsNotSlowness checks that a wait for a slot is not counted as service time: a slow
// upstream gets few calls, and one whose calls only wait gets its share.
func TestWaitIsNotSlowness(t *testing.T) {
	tests := []struct {
		name   string
		waited time.Duration
		least  int
		most   int
	}{
		{name: "slow", least: 1, most: 20},
		{name: "waiting", waited: 180 * time.Millisecond, least: 40, most: 90},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			f := newFleet(t, 6)
			drawn := f.answerCalls(c, 400, func(target string) (time.Duration, LoadReport, int) {
				load := NewLoadReport(1, 0, 6, 20*time.Millisecond, 1)
				if target == "nodeca" {
					return 200 * time.Millisecond, load.WithWait(test.waited), 200
				}
				return 20 * time.Millisecond, load, 200
			})
			got := drawn["nodeca"]
			c.Assert(got >= test.least && got <= test.most, qt.IsTrue, qt.Commentf("%d of 400", got))
		})
	}
}

// TestSlownessIsForgotten checks that an upstream that answered slowly once is tried again,
// although others are idle.
func TestSlownessIsForgotten(t *testing.T) {
	c := qt.New(t)
	f := newFleet(t, 6)
	slow := 1
	drawn := f.answerCalls(c, 1500, func(target string) (time.Duration, LoadReport, int) {
		load := NewLoadReport(1, 0, 6, 20*time.Millisecond, 1)
		if target == "nodeca" && slow > 0 {
			slow--
			return 400 * time.Millisecond, load, 200
		}
		return 20 * time.Millisecond, load, 200
	})
	c.Assert(drawn["nodeca"] >= 100, qt.IsTrue, qt.Commentf("%v", drawn))
}

// TestFastFailuresDrawNoLoad checks that an upstream that fails much faster than others
// answer gets no more than its share of calls.
func TestFastFailuresDrawNoLoad(t *testing.T) {
	c := qt.New(t)
	f := newFleet(t, 6)
	drawn := f.answerCalls(c, 600, func(target string) (time.Duration, LoadReport, int) {
		load := NewLoadReport(1, 0, 6, 20*time.Millisecond, 1)
		if target == "nodeca" {
			return time.Millisecond, load, 500
		}
		return 20 * time.Millisecond, load, 200
	})
	c.Assert(drawn["nodeca"] <= 600/6, qt.IsTrue, qt.Commentf("%v", drawn))
}

// TestEjectionSparesMostOfAService checks that only a part of a service is ejected when every
// upstream fails.
func TestEjectionSparesMostOfAService(t *testing.T) {
	c := qt.New(t)
	f := newFleet(t, 6)
	f.answerCalls(c, 600, func(string) (time.Duration, LoadReport, int) {
		return time.Millisecond, NewLoadReport(1, 0, 6, 0, 1), 500
	})
	c.Assert(f.ejected() <= 2, qt.IsTrue, qt.Commentf("%d ejected", f.ejected()))
}

// TestCrowdedGuardRefusesImpatientWork checks that a guard refuses impatient work as busy once
// the slots are full and a third as many places in the queue are taken, and still queues other
// work.
func TestCrowdedGuardRefusesImpatientWork(t *testing.T) {
	c := qt.New(t)
	r, now := home(c)
	arrive := func(id WorkID, impatient bool) []Effect {
		return r.Step(now, WorkArrived{
			Work: id, Attempt: AttemptID(string(rune('a' + id))), To: 1, Service: worldService, Kind: "read",
			Length: LengthShort, Deadline: now.Add(time.Second), RefuseIfBusy: impatient,
		})
	}
	for id := WorkID(1); id <= 3; id++ {
		arrive(id, true)
	}
	c.Assert(arrive(4, true), qt.HasLen, 0)
	refused, ok := arrive(5, true)[0].(RefuseWork)
	c.Assert(ok, qt.IsTrue)
	c.Assert(refused.Reason, qt.Equals, RefusalBusy)
	c.Assert(arrive(6, false), qt.HasLen, 0)
}

// TestLongWorkLeavesSlotsToShortWork checks that long work alone does not fill the slots that
// are reserved for short work.
func TestLongWorkLeavesSlotsToShortWork(t *testing.T) {
	c := qt.New(t)
	r, now := home(c)
	started := func(id WorkID, kind string, length Length) bool {
		for _, effect := range r.Step(now, WorkArrived{
			Work: id, Attempt: AttemptID(string(rune('a' + id))), To: 1, Service: worldService, Kind: kind,
			Length: length, Deadline: now.Add(20 * time.Second),
		}) {
			if e, ok := effect.(StartWork); ok && e.Work == id {
				return true
			}
		}
		return false
	}
	c.Assert(started(1, "upload", LengthLong), qt.IsTrue)
	c.Assert(started(2, "upload", LengthLong), qt.IsTrue)
	c.Assert(started(3, "upload", LengthLong), qt.IsFalse)
	c.Assert(started(4, "read", LengthShort), qt.IsTrue)
}
