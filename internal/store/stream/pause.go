package stream

import (
	"context"
	"math/rand/v2"
	"time"
)

// Sleep waits for d. It returns the context's error if ctx is done earlier.
func Sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// SleepJittered waits like Sleep for a random time between d/2 and 3d/2, so that processes
// that started at the same time don't send their requests at the same time. It panics if
// d is not positive.
func SleepJittered(ctx context.Context, d time.Duration) error {
	return Sleep(ctx, d/2+rand.N(d))
}

// SleepBackoff waits for *backoff, randomized as in SleepJittered, and doubles *backoff for the
// next call, up to maxBackoff. It returns the context's error if ctx is done earlier.
func SleepBackoff(ctx context.Context, backoff *time.Duration, maxBackoff time.Duration) error {
	wait := *backoff
	*backoff = min(2*wait, maxBackoff)
	return SleepJittered(ctx, wait)
}
