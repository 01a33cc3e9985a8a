package reducer

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// A mute upstream must be avoided although hedges rescue its calls: nothing but their cancellations tells
// of it. An upstream that answers others must not be avoided for one slow request.
func TestCanceledAttemptCountsAsFailureOnlyOfAMuteUpstream(t *testing.T) {
	for _, test := range []struct {
		name     string
		took     time.Duration
		answered bool
		fails    bool
	}{
		{"shorter than expected", testServiceTime / 2, false, false},
		{"long, others answered", 3 * testServiceTime, true, false},
		{"long, nothing answered", 3 * testServiceTime, false, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			n := newGuard(4)
			n.Settings.HedgeShare = 0.1
			slow, _ := n.offer("long", 10*time.Second, 10*time.Second, false)
			other, _ := n.offer("long", 10*time.Second, 10*time.Second, false)
			n.advance(test.took)
			if test.answered {
				n.end(other)
			}
			n.step(WorkEnded{Work: slow, Outcome: OutcomeUnknown, RequesterLeft: true})
			c.Assert(n.guard.admission.failureShare(n.now) > 0, qt.Equals, test.fails)
			c.Assert(n.guard.running, qt.Equals, map[bool]int{true: 0, false: 1}[test.answered])
		})
	}
}
