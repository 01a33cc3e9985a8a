package quota

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

var (
	start  = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	bounds = Bounds{Window: 5 * time.Second, Overage: 0.1, Slack: 20}
)

// Entries that save all tokens until just before they expire, and then spend them in one window, must
// not exceed the bound.
func TestSavedTokensStayWithinTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := Limit{Rate: rapid.Float64Range(0.2, 400).Draw(t, "rate"), Burst: rapid.Float64Range(0, 300).Draw(t, "burst")}
		bucket := NewBucket(start)
		var spent []time.Time
		now := start
		for now.Before(start.Add(20 * time.Second)) {
			idle := rapid.IntRange(0, 40).Draw(t, "idle")
			now = now.Add(time.Duration(idle) * 50 * time.Millisecond)
			saveUntil := now.Add(AheadLifetime)
			for range rapid.IntRange(1, 60).Draw(t, "asks") {
				now = now.Add(time.Duration(rapid.IntRange(1, 100).Draw(t, "ms")) * time.Millisecond)
				demand := rapid.IntRange(0, 300).Draw(t, "demand")
				entry := rapid.Uint64Range(1, 5).Draw(t, "entry")
				granted := bucket.Grant(now, limit, bounds, entry, Want{Demand: demand, Ahead: rapid.IntRange(0, 300).Draw(t, "ahead"), Held: 1000})
				for i := range granted {
					lifetime := AheadLifetime
					if i < demand {
						lifetime = DemandLifetime
					}
					// The worst case is the latest time at which the token is valid, up to a common moment.
					at := now.Add(lifetime)
					if saveUntil.After(now) && saveUntil.Before(at) {
						at = saveUntil
					}
					spent = append(spent, at)
				}
			}
		}
		checkWindows(t, spent, limit)
	})
}

func checkWindows(t *rapid.T, spent []time.Time, limit Limit) {
	for _, from := range spent {
		sum := 0
		for _, at := range spent {
			if !at.Before(from) && at.Before(from.Add(bounds.Window)) {
				sum++
			}
		}
		if float64(sum) > bounds.Most(limit) {
			t.Fatalf("%d requests in a window from %v, allowed are %.1f", sum, from.Sub(start), bounds.Most(limit))
		}
	}
}

// A new holder must not grant what the former one may have granted already.
func TestNewBucketIsEmptyUntilItMayGrant(t *testing.T) {
	c := qt.New(t)
	b := NewBucket(start.Add(time.Second))
	limit := Limit{Rate: 10, Burst: 50}
	c.Assert(b.Grant(start, limit, bounds, 1, Want{Demand: 5}), qt.Equals, 0)
	c.Assert(b.Grant(start.Add(time.Second), limit, bounds, 1, Want{Demand: 5}), qt.Equals, 0)
	c.Assert(b.Grant(start.Add(2*time.Second), limit, bounds, 1, Want{Demand: 50}), qt.Equals, 10)
}

// A burst that was saved up under a higher limit must not be granted under a lower one.
func TestLowerLimitCutsTheBucket(t *testing.T) {
	b := NewBucket(start)
	b.Grant(start.Add(time.Minute), Limit{Rate: 100, Burst: 500}, bounds, 1, Want{})
	qt.Assert(t, b.Grant(start.Add(time.Minute), Limit{Rate: 10, Burst: 25}, bounds, 1, Want{Demand: 500}), qt.Equals, 25)
}

// Entries without a holder must together admit no more than the limit, also where each has saved up a
// token.
func TestFixedSharesStayWithinTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := Limit{Rate: rapid.Float64Range(0.2, 400).Draw(t, "rate")}
		entries := rapid.IntRange(1, 80).Draw(t, "entries")
		rate := limit.Rate / float64(entries)
		shares := make([]Share, entries)
		for i := range shares {
			shares[i].Start(start, rate, (float64(i)+rapid.Float64Range(0, 1).Draw(t, "phase"))/float64(entries))
		}
		var spent []time.Time
		idle := rapid.IntRange(0, 8000).Draw(t, "idle")
		for ms := idle; ms < idle+6000; ms += 10 {
			now := start.Add(time.Duration(ms) * time.Millisecond)
			for i := range shares {
				if shares[i].Take(now, rate, limit.Rate) {
					spent = append(spent, now)
				}
			}
		}
		if len(spent) > 0 {
			checkWindows(t, spent, limit)
		}
	})
}

// Tokens that entries ask for ahead, keep for a second and then spend together must not exceed the bound.
func TestTokensAheadAreBounded(t *testing.T) {
	limit := Limit{Rate: 400}
	b := NewBucket(start)
	saved, spent := 0, 0
	for ms := 100; ms < 1000; ms += 50 {
		saved += b.Grant(start.Add(time.Duration(ms)*time.Millisecond), limit, bounds, uint64(ms), Want{Ahead: 1000})
	}
	for ms := 1000; ms < 6000; ms += 50 {
		spent += b.Grant(start.Add(time.Duration(ms)*time.Millisecond), limit, bounds, 1, Want{Demand: 1000})
	}
	qt.Check(t, float64(saved) <= bounds.ahead(limit), qt.IsTrue, qt.Commentf("%d", saved))
	qt.Check(t, float64(saved+spent) <= bounds.Most(limit), qt.IsTrue, qt.Commentf("%d and %d", saved, spent))
}

// A quota that stands for no limit, such as 1e30, must not overflow to a negative number of tokens, for which
// every call would be rejected.
func TestHugeLimitGrantsWhatIsWanted(t *testing.T) {
	for _, limit := range []Limit{{Rate: 1e30}, {Rate: 1, Burst: 1e30}, {Rate: 1e30, Burst: 1e30}} {
		b := NewBucket(start)
		granted := b.Grant(start.Add(time.Minute), limit, bounds, 1, Want{Demand: 3, Ahead: 2, Held: 0})
		qt.Check(t, granted >= 3 && granted <= 5, qt.IsTrue, qt.Commentf("%v: %d", limit, granted))
	}
}
