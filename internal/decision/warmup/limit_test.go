package warmup

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 12, 6, 9, 0, 0, 0, time.UTC)

// An upstream that crashes well above its bound must never get more than the rate and the room in any
// second, however the cold times and the requests fall.
func TestNoSecondExceedsRateAndRoom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(0.5, 40).Draw(t, "rate")
		var l Limit
		now := start
		l.SetRate(rate, 0, now)
		l.State(time.Hour, 0, now)
		var taken []time.Time
		for range 400 {
			now = now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "ms")) * time.Millisecond)
			if rapid.IntRange(0, 20).Draw(t, "statement") == 0 {
				l.State(time.Duration(rapid.IntRange(0, 5000).Draw(t, "remaining"))*time.Millisecond, 0, now)
			}
			for l.Ready(now) {
				l.Take(now)
				taken = append(taken, now)
			}
		}
		for i, from := range taken {
			count := 0
			for _, at := range taken[i:] {
				if at.Sub(from) < time.Second {
					count++
				}
			}
			if float64(count) > rate+room {
				t.Fatalf("%d requests in a second at %.2f per second", count, rate)
			}
		}
	})
}

// A statement that arrives after a later one must not end the cold time, and an assumption must not
// outlast a statement.
func TestLatestStatedEndCounts(t *testing.T) {
	c := qt.New(t)
	var l Limit
	l.SetRate(14, 0, start)
	c.Assert(l.Binds(start), qt.IsFalse)
	l.State(2*time.Second, 0, start)
	l.State(0, 0, start.Add(time.Millisecond))
	c.Assert(l.Binds(start.Add(1999*time.Millisecond)), qt.IsTrue)
	c.Assert(l.Binds(start.Add(2*time.Second)), qt.IsFalse)
	l.Assume(5*time.Second, 0, start.Add(3*time.Second))
	c.Assert(l.Binds(start.Add(7*time.Second)), qt.IsTrue)
	l.State(0, 0, start.Add(4*time.Second))
	c.Assert(l.Binds(start.Add(4*time.Second)), qt.IsFalse)
	// Without any statement the upstream is warm in the end.
	l.Assume(0, 0, start.Add(5*time.Second))
	c.Assert(l.Binds(start.Add(6*time.Second)), qt.IsTrue)
	c.Assert(l.Binds(start.Add(5*time.Second+unstatedWarmup)), qt.IsFalse)
}

// A wait that is too short lets the guard queue attempts that can't start in time.
func TestWaitIsLongEnough(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var l Limit
		l.SetRate(rapid.Float64Range(0.5, 40).Draw(t, "rate"), 0, start)
		l.State(time.Duration(rapid.IntRange(1, 3000).Draw(t, "cold"))*time.Millisecond, rapid.IntRange(0, 6).Draw(t, "running"), start)
		requests := rapid.IntRange(1, 30).Draw(t, "requests")
		wait := l.Wait(requests, start)
		sent := 0
		for passed := time.Duration(0); passed <= wait; passed += 500 * time.Microsecond {
			for now := start.Add(passed); sent < requests && l.Ready(now); sent++ {
				l.Take(now)
			}
		}
		if sent < requests && l.Binds(start.Add(wait)) {
			t.Fatalf("%d of %d requests had a token after %s", sent, requests, wait)
		}
	})
}

// An unbounded upstream, cold or not, is not slowed down.
func TestWithoutRateNothingIsBounded(t *testing.T) {
	c := qt.New(t)
	var l Limit
	l.State(time.Hour, 0, start)
	for range 100 {
		c.Assert(l.Ready(start), qt.IsTrue)
		l.Take(start)
	}
	c.Assert(l.Wait(100, start), qt.Equals, time.Duration(0))
	c.Assert(l.Slots(18, time.Second, start), qt.Equals, 18)
	l.SetRate(14, 0, start)
	c.Assert(l.Slots(18, 50*time.Millisecond, start), qt.Equals, 1)
	c.Assert(l.Slots(18, 500*time.Millisecond, start), qt.Equals, 7)
}

// A rate far beyond any real one must not overflow: neither to a wait in the past nor to fewer slots.
func TestExtremeRatesStayInRange(t *testing.T) {
	c := qt.New(t)
	var l Limit
	l.SetRate(1e-12, 0, start)
	l.State(time.Minute, 0, start)
	c.Assert(l.Wait(room+1, start), qt.Equals, time.Minute)
	l.SetRate(1e30, 0, start)
	c.Assert(l.Slots(8, time.Second, start), qt.Equals, 8)
}
