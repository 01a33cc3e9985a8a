package hedging

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// A tail taken from a handful of attempts would hedge at random.
func TestTailIsUnknownWithFewSamples(t *testing.T) {
	c := qt.New(t)
	var l Latencies
	for range minSamples - 1 {
		l.Add(time.Millisecond, start)
	}
	c.Assert(l.Tail(start), qt.Equals, time.Duration(0))
	l.Add(time.Second, start)
	now := start.Add(refreshPeriod)
	c.Assert(l.Tail(now), qt.Equals, time.Millisecond)
	c.Assert(l.Typical(now), qt.Equals, time.Millisecond)
}

// The latencies of a slow time that is over must not delay hedges, whether or not others replace them.
func TestOldLatenciesDoNotCount(t *testing.T) {
	c := qt.New(t)
	var l Latencies
	for range maxSamples {
		l.Add(time.Second, start)
	}
	c.Assert(l.Tail(start), qt.Equals, time.Second)
	c.Assert(l.Tail(start.Add(maxAge)), qt.Equals, time.Duration(0))
	now := start.Add(maxAge)
	for range minSamples {
		l.Add(time.Millisecond, now)
	}
	c.Assert(l.Tail(now.Add(refreshPeriod)), qt.Equals, time.Millisecond)
}

// At any load, at least 95% of the kept latencies are within the tail and fewer are within any smaller
// one; the number of kept latencies is bounded.
func TestTailIsThe95thPercentileOfTheNewestSamples(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		took := rapid.SliceOfN(rapid.IntRange(1, 400), minSamples, 3*maxSamples).Draw(t, "took")
		var l Latencies
		for _, ms := range took {
			l.Add(time.Duration(ms)*time.Millisecond, start)
		}
		newest := took[max(0, len(took)-maxSamples):]
		tail, within, below := l.Tail(start), 0, 0
		for _, ms := range newest {
			if d := time.Duration(ms) * time.Millisecond; d < tail {
				below++
				within++
			} else if d == tail {
				within++
			}
		}
		if within*100 < len(newest)*tailPercent || below*100 >= len(newest)*tailPercent || len(l.samples) > maxSamples {
			t.Fatalf("tail %v: %d of %d within, %d below", tail, within, len(newest), below)
		}
	})
}
