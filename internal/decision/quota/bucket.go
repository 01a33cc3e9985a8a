package quota

import (
	"math"
	"time"
)

const (
	aheadSlices = 10
	aheadSlice  = AheadLifetime / aheadSlices
)

// Bucket holds the tokens of one tenant at its holder.
type Bucket struct {
	tokens  float64
	updated time.Time
	// from is when the bucket was empty first.
	from time.Time
	// ahead counts the tokens granted for later calls, in slices of AheadLifetime and one more.
	ahead  [aheadSlices + 1]int
	newest int64
}

// NewBucket returns a bucket that is empty at from and grants nothing before.
func NewBucket(from time.Time) *Bucket { return &Bucket{updated: from, from: from} }

// Grant takes up to demand tokens for calls that wait or are expected at once, and up to ahead
// tokens for later ones. It returns the number of tokens taken, those on demand first.
func (b *Bucket) Grant(now time.Time, l Limit, bounds Bounds, demand, ahead int) int {
	if now.Before(b.updated) {
		return 0
	}
	b.tokens = min(b.tokens+l.Rate*now.Sub(b.updated).Seconds(), bounds.capacity(l))
	b.updated = now
	granted := min(max(0, demand), int(b.tokens))
	b.tokens -= float64(granted)
	saved := min(max(0, ahead), int(b.tokens), int(math.Max(0, bounds.ahead(l)-float64(b.recentAhead(now)))))
	b.tokens -= float64(saved)
	b.ahead[b.newest%int64(len(b.ahead))] += saved
	return granted + saved
}

// recentAhead returns the number of tokens for later calls that may be unused yet.
func (b *Bucket) recentAhead(now time.Time) int {
	slice := int64(now.Sub(b.from) / aheadSlice)
	for range min(slice-b.newest, int64(len(b.ahead))) {
		b.newest++
		b.ahead[b.newest%int64(len(b.ahead))] = 0
	}
	if slice > b.newest {
		b.newest = slice
		b.ahead[slice%int64(len(b.ahead))] = 0
	}
	sum := 0
	for _, n := range b.ahead {
		sum += n
	}
	return sum
}
