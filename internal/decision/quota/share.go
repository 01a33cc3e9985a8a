package quota

import (
	"math"
	"time"
)

const (
	// shareLifetime and shareKept limit the time for which a token of a fixed share is kept: all
	// entries together save up at most half a second's rate, the overage of 0.1 in 5 s, or
	// shareKept tokens, half of the slack of 20.
	shareLifetime = 500 * time.Millisecond
	shareKept     = 10
	// maxShareWait bounds the time until a token, so that it is a valid duration.
	maxShareWait = time.Hour
)

// Share is an entry's fixed share of a limit, for the time in which its holder grants nothing. It
// has room for one token, which is dropped if no call takes it.
type Share struct {
	// since is when the next token began to accrue.
	since time.Time
}

// Start makes the share begin at now. The phase, from 0 to 1, is the part of the first token that it
// has already; entries draw it at random, so that they admit calls one after the other.
func (s *Share) Start(now time.Time, rate, phase float64) {
	s.since = now.Add(-time.Duration(phase * float64(accrual(rate))))
}

// Take takes a token if there is one. The rate is that of this entry, and the limit's that of all.
func (s *Share) Take(now time.Time, rate, limitRate float64) bool {
	if s.Next(now, rate, limitRate).After(now) {
		return false
	}
	s.since = now
	return true
}

// Next returns when the share has a token, which is now if it has one.
func (s *Share) Next(now time.Time, rate, limitRate float64) time.Time {
	accrual := accrual(rate)
	kept := max(shareLifetime, time.Duration(shareKept/max(limitRate, 1e-6)*float64(time.Second)))
	kept = min(kept, maxShareWait)
	position := now.Sub(s.since) % (accrual + kept)
	if position >= accrual {
		return now
	}
	return now.Add(accrual - position)
}

// accrual returns the time in which one token accrues.
func accrual(rate float64) time.Duration {
	if rate <= 0 {
		return maxShareWait
	}
	return time.Duration(math.Min(float64(maxShareWait), float64(time.Second)/rate))
}
