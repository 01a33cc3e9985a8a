package stream

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// The delay doubles up to the limit, and a canceled context ends the wait with its error.
func TestBackoffDoublesUpToItsLimit(t *testing.T) {
	c := qt.New(t)
	backoff := time.Millisecond
	for _, want := range []time.Duration{2, 4, 5, 5} {
		c.Assert(SleepBackoff(context.Background(), &backoff, 5*time.Millisecond), qt.IsNil)
		c.Assert(backoff, qt.Equals, want*time.Millisecond)
	}
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	c.Assert(SleepJittered(ended, time.Hour), qt.Equals, context.Canceled)
}
