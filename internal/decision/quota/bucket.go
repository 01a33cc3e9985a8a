package quota

import (
	"math"
	"time"
)

// Bucket holds the tokens of one tenant at its holder.
type Bucket struct {
	tokens  float64
	updated time.Time
	// saved holds the tokens for later calls that entries may still have, by entry.
	saved map[uint64]lot
}

// NewBucket returns a bucket that is empty at from and grants nothing before.
func NewBucket(from time.Time) *Bucket { return &Bucket{updated: from, saved: map[uint64]lot{}} }

// Grant takes up to the wanted tokens for an entry, identified by its incarnation. It returns the
// number of tokens taken, those on demand first.
func (b *Bucket) Grant(now time.Time, l Limit, bounds Bounds, entry uint64, want Want) int {
	if now.Before(b.updated) {
		return 0
	}
	b.tokens = min(b.tokens+l.Rate*now.Sub(b.updated).Seconds(), bounds.capacity(l))
	b.updated = now
	granted := min(max(0, want.Demand), whole(b.tokens))
	b.tokens -= float64(granted)
	b.release(now, entry, want.Held)
	room := whole(bounds.ahead(l) - float64(b.savedTokens(now)))
	ahead := min(max(0, want.Ahead), whole(b.tokens), room)
	if ahead > 0 {
		b.tokens -= float64(ahead)
		b.saved[entry] = lot{tokens: b.saved[entry].tokens + ahead, expires: now.Add(AheadLifetime)}
	}
	return granted + ahead
}

// whole returns the number of whole tokens, bounded by what an int32 holds: limits may be of any size,
// and a conversion that overflows gives a negative number on some machines.
func whole(tokens float64) int { return int(min(max(0, tokens), math.MaxInt32)) }

// release notes how many tokens an entry still holds. It never holds more than it was granted.
func (b *Bucket) release(now time.Time, entry uint64, held int) {
	s, ok := b.saved[entry]
	switch {
	case !ok:
	case held <= 0 || !now.Before(s.expires):
		delete(b.saved, entry)
	default:
		b.saved[entry] = lot{tokens: min(s.tokens, held), expires: s.expires}
	}
}

// savedTokens returns the number of tokens for later calls that entries may still have.
func (b *Bucket) savedTokens(now time.Time) int {
	sum := 0
	for entry, s := range b.saved {
		if !now.Before(s.expires) {
			delete(b.saved, entry)
			continue
		}
		sum += s.tokens
	}
	return sum
}
