package reducer

import "time"

// tokenBucket bounds how much may be spent in any window.
type tokenBucket struct {
	tokens  float64
	burst   float64
	rate    float64
	updated time.Time
}

// newTokenBucket returns a full bucket that earns rate tokens a second.
func newTokenBucket(burst, rate float64, now time.Time) tokenBucket {
	return tokenBucket{tokens: burst, burst: burst, rate: rate, updated: now}
}

// refill adds what was earned until now.
func (b *tokenBucket) refill(now time.Time) {
	if b.rate > 0 && now.After(b.updated) {
		b.earn(b.rate * now.Sub(b.updated).Seconds())
	}
	b.updated = now
}

// earn adds tokens up to the burst.
func (b *tokenBucket) earn(tokens float64) {
	b.tokens = min(b.tokens+tokens, b.burst)
}

// spend takes tokens and reports whether there were enough.
func (b *tokenBucket) spend(tokens float64) bool {
	if b.tokens < tokens {
		return false
	}
	b.tokens -= tokens
	return true
}
