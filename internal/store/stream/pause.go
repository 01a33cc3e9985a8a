package stream

import (
	"context"
	"math/rand/v2"
	"time"
)

// Pause waits for a time and returns the context's error when that ends first.
func Pause(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// PauseAbout waits like Pause, for half of the time up to one and a half times it, so that
// processes that began together don't act together.
func PauseAbout(ctx context.Context, d time.Duration) error {
	return Pause(ctx, d/2+rand.N(d))
}

// Backoff waits about as long as backoff says and doubles that, up to most; it returns the
// context's error when that ends first.
func Backoff(ctx context.Context, backoff *time.Duration, most time.Duration) error {
	wait := *backoff
	*backoff = min(2*wait, most)
	return PauseAbout(ctx, wait)
}
