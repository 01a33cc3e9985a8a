package quota

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// A tenant that sends many times its quota must not make its entry ask for each call.
func TestRefusedEntryWaitsBeforeItAsksAgain(t *testing.T) {
	c := qt.New(t)
	var l Lease
	limit := Limit{Rate: 1, Burst: 1}
	asked := 0
	for ms := range 10_000 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		l.Arrived(now)
		if w := l.Want(now, 1); !w.IsZero() {
			asked++
			l.Granted(now, now, w, 0, 0, limit, bounds, 0.5)
			c.Assert(l.MayAsk(now), qt.IsFalse)
		}
	}
	c.Assert(asked < 20, qt.IsTrue, qt.Commentf("%d requests", asked))
}

// Tokens must not outlive the time that the bounds provide for, and those of calls that gave up
// must not be saved.
func TestTokensExpire(t *testing.T) {
	c := qt.New(t)
	var l Lease
	l.Granted(start, start, Want{Demand: 2, Ahead: 3}, 5, 1, Limit{Rate: 1}, bounds, 0)
	c.Assert(l.Held(start), qt.Equals, 4)
	c.Assert(l.Held(start.Add(DemandLifetime)), qt.Equals, 3)
	c.Assert(l.Take(start.Add(AheadLifetime-1)), qt.IsTrue)
	c.Assert(l.Take(start.Add(AheadLifetime)), qt.IsFalse)
}

// Calls of a tenant with steady demand must find a token, and rare calls must not make the entry
// ask ahead for tokens that expire.
func TestEntryAsksAheadForSteadyDemand(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct {
		interval time.Duration
		ahead    bool
	}{{200 * time.Millisecond, true}, {3 * time.Second, false}} {
		var l Lease
		now := start
		for range 50 {
			now = now.Add(test.interval)
			l.Arrived(now)
		}
		c.Assert(l.Want(now, 0).Ahead > 0, qt.Equals, test.ahead, qt.Commentf("%v", test.interval))
	}
}

// Callers whose calls are admitted come back later than those that are refused, so an entry that counted
// the refused ones would let the tokens expire that other entries lack.
func TestExpiredTokensMakeAnEntryAskForLess(t *testing.T) {
	c := qt.New(t)
	var l Lease
	now := start
	for range 200 {
		now = now.Add(10 * time.Millisecond)
		l.Arrived(now)
	}
	first := l.Want(now, 1)
	for range 5 {
		w := l.Want(now, 1)
		l.Granted(now, now, w, w.Demand, 0, Limit{Rate: 100}, bounds, 0)
		now = now.Add(DemandLifetime)
	}
	l.Arrived(now)
	c.Assert(l.Want(now, 1).Demand <= first.Demand/2, qt.IsTrue, qt.Commentf("%+v then %+v", first, l.Want(now, 1)))
}
