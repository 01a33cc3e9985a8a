package hedging

import (
	"slices"
	"time"
)

const (
	// tailPercent is the percentage of attempts that are answered within the tail latency.
	tailPercent = 95
	// maxSamples bounds the latencies that are kept for a route.
	maxSamples = 256
	// minSamples is the number of recent latencies below which the tail is unknown: of 20, one is
	// beyond the tail.
	minSamples = 20
	// maxAge is how long a latency counts. A route with one request each second at an entry has
	// enough of them.
	maxAge = 30 * time.Second
	// refreshPeriod is how long the computed latencies are used, so that a busy route does not sort
	// its samples for each call.
	refreshPeriod = 100 * time.Millisecond
)

// Latencies estimates how long the answered attempts of a route take, from the most recent ones. The
// zero value is empty.
type Latencies struct {
	samples []sample
	// next is the index of the oldest sample once there are maxSamples.
	next int
	// tail and typical are the results computed last, at computedAt.
	tail, typical time.Duration
	computedAt    time.Time
}

type sample struct {
	took time.Duration
	at   time.Time
}

// Add records the latency of an attempt that was answered now.
func (l *Latencies) Add(took time.Duration, now time.Time) {
	s := sample{took: took, at: now}
	if len(l.samples) < maxSamples {
		l.samples = append(l.samples, s)
		return
	}
	l.samples[l.next] = s
	l.next = (l.next + 1) % maxSamples
}

// Tail returns the latency within which 95% of the recent attempts were answered, or zero if there were
// too few of them.
func (l *Latencies) Tail(now time.Time) time.Duration {
	l.refresh(now)
	return l.tail
}

// Typical returns the median latency of the recent attempts, or zero if there were too few of them.
func (l *Latencies) Typical(now time.Time) time.Duration {
	l.refresh(now)
	return l.typical
}

func (l *Latencies) refresh(now time.Time) {
	if l.tail > 0 && now.Sub(l.computedAt) < refreshPeriod {
		return
	}
	l.computedAt = now
	l.tail, l.typical = 0, 0
	recent := make([]time.Duration, 0, len(l.samples))
	for _, s := range l.samples {
		if now.Sub(s.at) < maxAge {
			recent = append(recent, s.took)
		}
	}
	if len(recent) < minSamples {
		return
	}
	slices.Sort(recent)
	l.typical = recent[(len(recent)-1)/2]
	// The smallest latency that at least tailPercent of the samples don't exceed.
	l.tail = recent[(len(recent)*tailPercent+99)/100-1]
}
