package caller

import (
	"context"
	"net/http"
	"time"

	"github.com/tanagerline/tanagerline/internal/decision/reducer"
)

// hedgedAttempts runs the attempts of a call that may be hedged, each in a goroutine. Only the call's
// handler uses it; the goroutines deliver their results to results. A nil value has no attempts.
type hedgedAttempts struct {
	// canceled holds the functions that cancel the attempts in flight.
	canceled map[reducer.AttemptID]context.CancelFunc
	results  chan hedgedResult
	// due is when the attempt dueAttempt is to be reported as due for a hedge, or zero.
	due        time.Time
	dueAttempt reducer.AttemptID
	// answers holds the answers that were reported to the reducer.
	answers map[reducer.AttemptID]*http.Response
}

type hedgedResult struct {
	attemptResult

	attempt reducer.AttemptID
}

// inFlight reports whether an attempt is in flight.
func (h *hedgedAttempts) inFlight() bool { return h != nil && len(h.canceled) > 0 }

// postpone sets a later time for the hedge.
func (h *hedgedAttempts) postpone(e reducer.PostponeHedge) {
	if h != nil {
		h.due, h.dueAttempt = e.Until, e.Attempt
	}
}

// cancel cancels an attempt. Its result is discarded by its goroutine.
func (h *hedgedAttempts) cancel(attempt reducer.AttemptID) {
	if h == nil {
		return
	}
	if cancel := h.canceled[attempt]; cancel != nil {
		cancel()
		delete(h.canceled, attempt)
	}
}

// startHedged starts an attempt of a call that may be hedged, while another one may be in flight.
func (x *exchange) startHedged(e reducer.SendAttempt) {
	if x.hedging == nil {
		x.hedging = &hedgedAttempts{
			canceled: map[reducer.AttemptID]context.CancelFunc{}, results: make(chan hedgedResult),
			answers: map[reducer.AttemptID]*http.Response{},
		}
	}
	h := x.hedging
	h.due, h.dueAttempt = e.HedgeAt, e.Attempt
	ctx, cancel := context.WithCancel(x.ctx)
	h.canceled[e.Attempt] = cancel
	go func() {
		result := hedgedResult{attemptResult: x.runAttempt(ctx, e), attempt: e.Attempt}
		select {
		case <-ctx.Done():
		default:
			select {
			case h.results <- result:
				return
			case <-ctx.Done():
			}
		}
		if result.resp != nil {
			_ = result.resp.Body.Close()
		}
	}()
}

// nextHedgedEffect waits for an effect while attempts are in flight, and reports their results. It
// returns nil when the caller has left, or when the deadline passed without an effect.
func (x *exchange) nextHedgedEffect() reducer.CallEffect {
	h := x.hedging
	wake := x.entry.Loop.CallDeadline(x.mailbox)
	hedge := !h.due.IsZero() && h.due.Before(wake)
	if hedge {
		wake = h.due
	}
	timer := time.NewTimer(wake.Sub(x.entry.Loop.Clock()))
	defer timer.Stop()
	select {
	case effect := <-x.mailbox.Effects():
		return effect
	case result := <-h.results:
		x.reportHedged(result)
	case <-x.req.Context().Done():
		// The call may end before the reducer hears of it otherwise.
		x.entry.Loop.Do(reducer.CallerLeft{Call: x.mailbox.ID()})
		return nil
	case <-timer.C:
		if !hedge {
			return x.expire()
		}
		h.due = time.Time{}
		x.entry.Loop.Do(reducer.HedgeDue{Call: x.mailbox.ID(), Attempt: h.dueAttempt})
	}
	return x.nextEffect()
}

// reportHedged reports the result of an attempt to the reducer.
func (x *exchange) reportHedged(result hedgedResult) {
	h := x.hedging
	if result.resp == nil {
		h.cancel(result.attempt)
	} else {
		// The answer's body may still be read, so its context lives until the call ends.
		delete(h.canceled, result.attempt)
		h.answers[result.attempt] = result.resp
	}
	if h.dueAttempt == result.attempt {
		h.due = time.Time{}
	}
	x.entry.Loop.Do(result.event)
}

// takeHedgedAnswer makes the answer of an attempt that ran beside the handler the one to relay.
func (x *exchange) takeHedgedAnswer(attempt reducer.AttemptID) {
	if x.hedging == nil {
		return
	}
	if resp := x.hedging.answers[attempt]; resp != nil {
		x.resp = resp
		delete(x.hedging.answers, attempt)
	}
}

// closeHedged cancels the attempts that are still in flight and closes the answers that were not
// relayed.
func (x *exchange) closeHedged() {
	if x.hedging == nil {
		return
	}
	for attempt := range x.hedging.canceled {
		x.hedging.cancel(attempt)
	}
	for _, resp := range x.hedging.answers {
		_ = resp.Body.Close()
	}
}
