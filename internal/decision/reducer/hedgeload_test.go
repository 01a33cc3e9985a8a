package reducer

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// hedgeLoad plays calls against twelve upstreams of which slowPercent of the attempts take seven times as
// long as the others.
type hedgeLoad struct {
	*routedNode
	random  *rand.Rand
	events  timedEvents
	begun   map[CallID]time.Time
	running map[AttemptID]int
	work    [12]int
	took    []time.Duration
	hedges  int
	failed  int
}

const (
	hedgeLoadCalls    = 3000
	hedgeLoadInterval = 10 * time.Millisecond
	hedgeLoadWork     = 50 * time.Millisecond
	slowPercent       = 3
	slowMultiple      = 7
)

type timedEvent struct {
	at time.Time
	do func()
}

type timedEvents []timedEvent

func (e timedEvents) Len() int           { return len(e) }
func (e timedEvents) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e timedEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *timedEvents) Push(x any)        { *e = append(*e, x.(timedEvent)) }
func (e *timedEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func (l *hedgeLoad) after(d time.Duration, do func()) {
	heap.Push(&l.events, timedEvent{at: l.now.Add(d), do: do})
}

func (l *hedgeLoad) reports() {
	for i, work := range l.work {
		l.zonePeer(i+2, "r1", "z"+string("ab"[i%2]), load(work, hedgeLoadWork))
	}
}

// run executes effects.
func (l *hedgeLoad) run(effects []Effect) {
	// The slice is the reducer's own, and events that follow reuse it.
	for _, effect := range slices.Clone(effects) {
		switch e := effect.(type) {
		case SendAttempt:
			l.start(e)
		case PostponeHedge:
			l.after(e.Until.Sub(l.now), func() { l.run(l.step(HedgeDue{Call: e.Call, Attempt: e.Attempt})) })
		case CancelAttempt:
			l.end(e.Attempt)
		case RelayAnswer:
			l.took = append(l.took, l.now.Sub(l.begun[e.Call]))
			l.step(AnswerEnded{Call: e.Call, Attempt: e.Attempt, Whole: true})
			l.step(CallEnded{Call: e.Call})
		case RejectCall:
			l.failed++
			l.step(CallEnded{Call: e.Call})
		}
	}
}

func (l *hedgeLoad) start(e SendAttempt) {
	upstream := int(e.Target.Incarnation()) - 2
	l.running[e.Attempt] = upstream
	l.work[upstream]++
	if e.Hedge {
		l.hedges++
	}
	if !e.HedgeAt.IsZero() {
		l.after(e.HedgeAt.Sub(l.now), func() { l.run(l.step(HedgeDue{Call: e.Call, Attempt: e.Attempt})) })
	}
	work := hedgeLoadWork*4/5 + time.Duration(l.random.Int64N(int64(hedgeLoadWork*2/5)))
	if l.random.IntN(100) < slowPercent {
		work *= slowMultiple
	}
	l.after(work, func() {
		if _, runs := l.running[e.Attempt]; !runs {
			return
		}
		l.end(e.Attempt)
		l.run(l.step(AttemptAnswered{Call: e.Call, Attempt: e.Attempt, Status: 200, Load: load(l.work[upstream], hedgeLoadWork)}))
	})
}

func (l *hedgeLoad) end(a AttemptID) {
	if upstream, runs := l.running[a]; runs {
		l.work[upstream]--
		delete(l.running, a)
	}
}

// playHedgeLoad returns the load after all calls have ended.
func playHedgeLoad(seed uint64, share float64) *hedgeLoad {
	l := &hedgeLoad{
		routedNode: newRoutedNode(true), random: rand.New(rand.NewPCG(seed, 1)),
		begun: map[CallID]time.Time{}, running: map[AttemptID]int{},
	}
	l.Settings.HedgeShare = share
	for i := range hedgeLoadCalls {
		l.after(time.Duration(i)*hedgeLoadInterval, func() {
			l.begun[l.calls+1] = l.now
			l.run(l.hedgeCall(nil))
		})
	}
	for i := range hedgeLoadCalls / 3 {
		l.after(time.Duration(3*i)*hedgeLoadInterval, l.reports)
	}
	l.reports()
	for len(l.events) > 0 {
		next := heap.Pop(&l.events).(timedEvent)
		l.now = next.at
		next.do()
	}
	slices.Sort(l.took)
	return l
}

// 3 of 100 attempts take seven times as long. Without hedges their calls do, too; with hedges the 99th
// percentile of the calls must fall, and the extra work must stay within the operator's share.
func TestHedgesCutTheTailOfSlowAttempts(t *testing.T) {
	for seed := range uint64(3) {
		c := qt.New(t)
		plain := playHedgeLoad(seed, 0)
		c.Assert(plain.hedges, qt.Equals, 0)
		percentile := func(l *hedgeLoad, percent int) time.Duration { return l.took[len(l.took)*percent/100] }
		for _, share := range []float64{0.02, 0.05, 0.1} {
			hedged := playHedgeLoad(seed, share)
			c.Assert(len(hedged.took)+hedged.failed, qt.Equals, hedgeLoadCalls)
			c.Assert(hedged.failed, qt.Equals, 0)
			t.Logf("seed %d, share %v: p99 %v instead of %v, p50 %v instead of %v, %d hedges of %d calls", seed, share,
				percentile(hedged, 99), percentile(plain, 99), percentile(hedged, 50), percentile(plain, 50), hedged.hedges, hedgeLoadCalls)
			c.Assert(float64(hedged.hedges) <= share*hedgeLoadCalls, qt.IsTrue)
			if share >= 0.05 {
				c.Assert(percentile(hedged, 99) < percentile(plain, 99)/2, qt.IsTrue)
			}
			c.Assert(hedged.outstandingAttempts(), qt.Equals, 0)
		}
	}
}

// Hedging that is on but finds no attempt silent for long enough must leave every other decision as it
// is without hedging, and hedging that is off must change none at all.
func TestHedgingChangesNothingUntilAnAttemptIsDue(t *testing.T) {
	c := qt.New(t)
	off, on := newHedgingNode(0), newHedgingNode(0.2)
	random := rand.New(rand.NewPCG(3, 1))
	var inFlight []SendAttempt
	compare := func(step func(n *routedNode) []Effect) {
		got, want := slices.Clone(step(on)), slices.Clone(step(off))
		c.Assert(got, qt.HasLen, len(want))
		for i := range want {
			send, ok := got[i].(SendAttempt)
			if ok {
				inFlight = append(inFlight, send)
				c.Assert(want[i].(SendAttempt).HedgeAt.IsZero(), qt.IsTrue)
				send.HedgeAt = time.Time{}
				got[i] = send
			}
			c.Assert(got[i] == want[i], qt.IsTrue, qt.Commentf("%#v instead of %#v", got[i], want[i]))
		}
	}
	for range 2000 {
		if random.IntN(2) == 0 || len(inFlight) == 0 {
			compare(func(n *routedNode) []Effect { return n.hedgeCall(nil) })
		} else {
			a := inFlight[0]
			inFlight = inFlight[1:]
			events := []Event{
				AttemptAnswered{Call: a.Call, Attempt: a.Attempt, Status: 200, Load: load(1, hedgeTail)},
				AttemptAnswered{Call: a.Call, Attempt: a.Attempt, Status: 500},
				AttemptRefused{Call: a.Call, Attempt: a.Attempt, Reason: RefusalBusy, Load: load(5, hedgeTail)},
				AttemptRefused{Call: a.Call, Attempt: a.Attempt, Reason: RefusalShed},
				AttemptLost{Call: a.Call, Attempt: a.Attempt, Sent: true},
				CallExpired{Call: a.Call},
				CallerLeft{Call: a.Call},
				CallEnded{Call: a.Call},
			}
			event := events[random.IntN(len(events))]
			compare(func(n *routedNode) []Effect { return n.step(event) })
		}
		d := time.Duration(random.IntN(20)) * time.Millisecond
		on.advance(d)
		off.advance(d)
		on.zonePeers(load(2, hedgeTail))
		off.zonePeers(load(2, hedgeTail))
	}
	due := off.step(HedgeDue{Call: off.calls, Attempt: "1"})
	c.Assert(due, qt.HasLen, 0)
}
