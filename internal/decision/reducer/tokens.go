package reducer

import "time"

// tokenBucket limits spending to burst tokens, plus rate tokens per second and those that
// earn adds.
type tokenBucket struct {
	tokens float64
	// burst is the bucket's capacity in tokens.
	burst float64
	// rate is in tokens per second.
	rate    float64
	updated time.Time
}

// newTokenBucket returns a full bucket that gains rate tokens per second.
func newTokenBucket(burst, rate float64, now time.Time) tokenBucket {
	return tokenBucket{tokens: burst, burst: burst, rate: rate, updated: now}
}

// refill adds the tokens gained since the last refill.
func (b *tokenBucket) refill(now time.Time) {
	if b.rate > 0 && now.After(b.updated) {
		b.earn(b.rate * now.Sub(b.updated).Seconds())
	}
	b.updated = now
}

// earn adds tokens up to the bucket's capacity.
func (b *tokenBucket) earn(tokens float64) {
	b.tokens = min(b.tokens+tokens, b.burst)
}

// spend removes tokens if the bucket holds that many, and reports whether it did.
func (b *tokenBucket) spend(tokens float64) bool {
	if b.tokens < tokens {
		return false
	}
	b.tokens -= tokens
	return true
}
