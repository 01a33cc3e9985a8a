package reducer

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// Whatever becomes of the two attempts, the caller must get the better answer, and "not run" only if
// neither attempt can have run. No third attempt may start while one is in flight, nor beyond the
// route's MaxAttempts.
func TestResultsOfBothAttempts(t *testing.T) {
	answered := func(status int) func(a SendAttempt) Event {
		return func(a SendAttempt) Event {
			return AttemptAnswered{Call: a.Call, Attempt: a.Attempt, Status: status, Load: load(0, hedgeTail)}
		}
	}
	refused := func(reason RefusalReason) func(a SendAttempt) Event {
		return func(a SendAttempt) Event {
			return AttemptRefused{Call: a.Call, Attempt: a.Attempt, Reason: reason, Load: load(0, hedgeTail)}
		}
	}
	lost := func(a SendAttempt) Event { return AttemptLost{Call: a.Call, Attempt: a.Attempt, Sent: true} }
	unreached := func(a SendAttempt) Event { return AttemptLost{Call: a.Call, Attempt: a.Attempt} }
	expired := func(a SendAttempt) Event { return CallExpired{Call: a.Call} }
	ok, failed, late := answered(200), answered(500), refused(RefusalQuarantined)
	type step = func(a SendAttempt) Event
	for _, test := range []struct {
		name          string
		first, second step
		// hedgeFirst is set if the first result is the hedge's.
		hedgeFirst bool
		// want is "first", "hedge", "third" or an outcome.
		want string
	}{
		{"first lost, hedge answers", lost, ok, false, "hedge"},
		{"first refused, hedge answers", late, ok, false, "hedge"},
		{"hedge lost, first answers", lost, ok, true, "first"},
		{"hedge refused, first answers", late, ok, true, "first"},
		{"hedge unreached, first answers", unreached, ok, true, "first"},
		{"both refused", late, late, false, "not-run"},
		{"both refused, hedge before", late, late, true, "not-run"},
		{"both shed", refused(RefusalShed), refused(RefusalShed), false, "not-run"},
		{"both lost", lost, lost, false, "unknown"},
		{"both lost, hedge before", lost, lost, true, "unknown"},
		{"first lost, hedge refused", lost, late, false, "unknown"},
		{"first lost, hedge shed", lost, refused(RefusalShed), false, "unknown"},
		{"first refused, hedge lost", late, lost, false, "unknown"},
		{"hedge lost, first refused", lost, late, true, "unknown"},
		{"hedge quarantined, first lost", late, lost, true, "unknown"},
		{"hedge refused for its time, first lost", refused(RefusalDeadline), lost, true, "third"},
		{"first lost, hedge busy", lost, refused(RefusalBusy), false, "third"},
		{"both busy", refused(RefusalBusy), refused(RefusalBusy), true, "third"},
		{"first failed, hedge answers", failed, ok, false, "hedge"},
		{"hedge failed, first answers", failed, ok, true, "first"},
		{"both failed", failed, failed, false, "first"},
		{"both failed, hedge before", failed, failed, true, "hedge"},
		{"first failed, hedge lost", failed, lost, false, "first"},
		{"hedge failed, first refused", failed, late, true, "hedge"},
		{"first failed, then the deadline", failed, expired, false, "first"},
		{"first lost, then the deadline", lost, expired, false, "unknown"},
		{"hedge refused, then the deadline", late, expired, true, "unknown"},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			n := newHedgingNode(0.2)
			first, hedge := n.hedged(c)
			one, other := first, hedge
			if test.hedgeFirst {
				one, other = hedge, first
			}
			n.advance(10 * time.Millisecond)
			c.Assert(n.step(test.first(one)), qt.HasLen, 0)
			n.advance(10 * time.Millisecond)
			effects := n.step(test.second(other))
			want := map[string]SendAttempt{"first": first, "hedge": hedge}
			if winner, relays := want[test.want]; relays {
				relay, relayed := effects[len(effects)-1].(RelayAnswer)
				c.Assert(relayed, qt.IsTrue, qt.Commentf("%#v", effects))
				c.Assert(relay.Attempt, qt.Equals, winner.Attempt)
				n.step(AnswerEnded{Call: relay.Call, Attempt: relay.Attempt, Whole: true})
			} else if test.want == "third" {
				third := sent(c, effects)
				c.Assert(third.HedgeAt.IsZero(), qt.IsTrue)
				n.step(CallEnded{Call: third.Call})
			} else {
				c.Assert(string(mustReject(c, effects).Outcome), qt.Equals, test.want)
			}
			c.Assert(n.outstandingAttempts(), qt.Equals, 0)
		})
	}
}

// Whatever guards and upstreams do, a hedged call has two attempts in flight at most, reaches no more
// upstreams than its route allows, and is rejected as not run only if no attempt may have run.
func TestHedgedCallsKeepTheirPromises(t *testing.T) {
	c := qt.New(t)
	rapid.Check(t, func(t *rapid.T) {
		n := newHedgingNode(0.2)
		spec := routedPlan(2, true).Spec()
		spec.Routes[0].MaxAttempts = rapid.IntRange(2, 3).Draw(t, "attempts")
		n.step(PlanPublished{Plan: NewPlan(2, spec)})
		first := sent(c, n.hedgeCall(nil))
		inFlight, arrived, mayHaveRun, over := []SendAttempt{first}, 0, false, false
		run := func(effects []Effect) {
			for _, effect := range effects {
				switch e := effect.(type) {
				case SendAttempt:
					inFlight = append(inFlight, e)
				case RejectCall:
					over = true
					if e.Outcome == OutcomeNotRun && mayHaveRun {
						t.Fatal("rejected as not run")
					}
				case RelayAnswer:
					over = true
				}
			}
			if len(inFlight) > 2 || arrived > spec.Routes[0].MaxAttempts {
				t.Fatalf("%d in flight, %d arrived", len(inFlight), arrived)
			}
		}
		run(n.due(first))
		for !over {
			i := rapid.IntRange(0, len(inFlight)-1).Draw(t, "attempt")
			a := inFlight[i]
			inFlight = append(inFlight[:i:i], inFlight[i+1:]...)
			n.advance(time.Duration(rapid.IntRange(0, 90).Draw(t, "ms")) * time.Millisecond)
			switch result := rapid.SampledFrom([]RefusalReason{"answered", "failed", "lost", RefusalBusy, RefusalShed, RefusalLeaving, RefusalDeadline}).Draw(t, "result"); result {
			case "answered", "failed":
				arrived++
				mayHaveRun = true
				status := map[RefusalReason]int{"answered": 200, "failed": 500}[result]
				run(n.step(AttemptAnswered{Call: a.Call, Attempt: a.Attempt, Status: status}))
			case "lost":
				arrived++
				mayHaveRun = true
				run(n.step(AttemptLost{Call: a.Call, Attempt: a.Attempt, Sent: true}))
			default:
				if result == RefusalShed {
					arrived++
				}
				run(n.step(AttemptRefused{Call: a.Call, Attempt: a.Attempt, Reason: result}))
			}
		}
		n.step(CallEnded{Call: first.Call})
		if n.outstandingAttempts() != 0 {
			t.Fatal("an attempt keeps its slot")
		}
	})
}
