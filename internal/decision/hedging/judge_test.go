package hedging

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// fitting is a situation in which a call may be hedged.
func fitting() Situation {
	return Situation{
		Arrivals: 1, MaxArrivals: 2, Remaining: time.Second, Expected: 100 * time.Millisecond,
		FreeSlots: 10, UsableSlots: 20, Target: true, BudgetSpent: 1, BudgetAllowed: 10,
	}
}

// A hedge sent in spite of any one of these reasons is work that the service can't spare or that helps
// nobody.
func TestHedgeIsWithheldForEachReason(t *testing.T) {
	for _, test := range []struct {
		want   Withheld
		change func(s *Situation)
		passes bool
	}{
		{"", func(*Situation) {}, true},
		{WithheldAttempts, func(s *Situation) { s.MaxArrivals = 1 }, false},
		{WithheldQuarantined, func(s *Situation) { s.Quarantined = true }, false},
		{WithheldTime, func(s *Situation) { s.Remaining = s.Expected }, false},
		{WithheldCapacity, func(s *Situation) { s.Short = true }, true},
		{WithheldCapacity, func(s *Situation) { s.FreeSlots = 3.9 }, true},
		{WithheldNoUpstream, func(s *Situation) { s.Target = false }, true},
		{WithheldBudget, func(s *Situation) { s.BudgetSpent = 4.1 }, true},
	} {
		t.Run(string(test.want), func(t *testing.T) {
			c := qt.New(t)
			var limit Limit
			limit.Earn(1)
			s := fitting()
			test.change(&s)
			c.Assert(limit.Judge(s), qt.Equals, test.want)
			c.Assert(test.want.Passes(), qt.Equals, test.passes)
		})
	}
}

// The operator's limit must hold over any part of a run, whenever hedges are wanted.
func TestHedgesStayWithinTheShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := float64(rapid.IntRange(0, 20).Draw(t, "percent")) / 100
		wanted := rapid.SliceOfN(rapid.Bool(), 300, 1500).Draw(t, "wanted")
		var limit Limit
		var hedges []int
		for i, wants := range wanted {
			limit.Earn(share)
			if wants && limit.Judge(fitting()) == "" {
				limit.Spend()
				hedges = append(hedges, i)
			}
		}
		for from := range hedges {
			for to := from; to < len(hedges); to++ {
				requests := hedges[to] - hedges[from] + 1
				if float64(to-from+1) > share*float64(requests+requestsSaved)+1e-6 {
					t.Fatalf("%d hedges of %d requests with a share of %v", to-from+1, requests, share)
				}
			}
		}
		if float64(len(hedges)) > share*float64(len(wanted))+1e-6 {
			t.Fatalf("%d hedges of all %d requests with a share of %v", len(hedges), len(wanted), share)
		}
	})
}
