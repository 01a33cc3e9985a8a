package reducer

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// TestKeyMemoryIsBoundedAndExpires fills a home's key memory: new keys are rejected as not
// run, no key is forgotten early, and keys expire after the window.
func TestKeyMemoryIsBoundedAndExpires(t *testing.T) {
	c := qt.New(t)
	r, now := home(c)
	r.Settings.MaxKeys = 10
	finish := func(id CallID, effects []Effect) {
		send := sent(c, effects)
		r.Step(now, AttemptAnswered{Call: id, Attempt: send.Attempt, Status: 200})
		r.Step(now, AnswerEnded{Call: id, Attempt: send.Attempt, Whole: true})
		r.Step(now, CallEnded{Call: id})
	}
	for i := range 10 {
		id := CallID(i + 1)
		finish(id, r.Step(now, signCall(id, fmt.Sprintf("key-%d", i), now)))
	}
	reject, ok := rejected(r.Step(now, signCall(11, "key-10", now)))
	c.Assert(ok, qt.IsTrue)
	c.Assert(reject.Problem, qt.Equals, ProblemKeyMemoryFull)
	c.Assert(reject.Outcome, qt.Equals, OutcomeNotRun)
	c.Assert(sent(c, r.Step(now, signCall(12, "key-0", now))).Replay, qt.IsTrue)
	now = now.Add(worldWindow + worldSkew + time.Second)
	for range 5 {
		r.Step(now, Tick{})
	}
	c.Assert(len(r.keys.records) <= 1, qt.IsTrue, qt.Commentf("%d keys", len(r.keys.records)))
	sent(c, r.Step(now, signCall(13, "key-10", now)))
}

// TestAttemptMemoryIsBoundedAndExpires fills a guard's memory of attempts: stored answers
// stay within their limit, new attempts are refused, and attempts expire.
func TestAttemptMemoryIsBoundedAndExpires(t *testing.T) {
	c := qt.New(t)
	r, now := home(c)
	r.Settings.MaxKeys = 4
	r.Settings.MaxAnswerBytes = 25
	arrive := func(i int) []Effect {
		return r.Step(now, WorkArrived{
			Work: WorkID(i), Attempt: AttemptID(fmt.Sprint("2.", i)), To: 1, Service: worldService, Kind: "sign",
			Length: LengthShort, Keyed: true, Deadline: now.Add(time.Second), Fingerprint: 7, Key: fmt.Sprint(i),
		})
	}
	for i := 1; i <= 4; i++ {
		_, started := arrive(i)[0].(StartWork)
		c.Assert(started, qt.IsTrue)
		r.Step(now, WorkEnded{Work: WorkID(i), Outcome: OutcomeRan, Answer: &StoredAnswer{Status: 200, Body: make([]byte, 10)}})
	}
	c.Assert(r.attemptRecords.answerBytes <= 25, qt.IsTrue)
	refused, ok := arrive(5)[0].(RefuseWork)
	c.Assert(ok, qt.IsTrue)
	c.Assert(refused.Reason, qt.Equals, RefusalMemoryFull)
	for range 60 {
		now = now.Add(3 * time.Second)
		r.Step(now, Tick{})
	}
	c.Assert(r.attemptRecords.records, qt.HasLen, 0)
	c.Assert(r.attemptRecords.answerBytes, qt.Equals, 0)
}

// TestSuspectsAreBounded adds more suspects than the limit.
func TestSuspectsAreBounded(t *testing.T) {
	c := qt.New(t)
	r, now := home(c)
	for i := range maxSuspects + 50 {
		r.Step(now, SuspectReceived{Suspect: Suspect{Fingerprint: uint64(i + 1), CrashIDs: []uint64{1, 2}, Expires: now.Add(time.Hour)}})
	}
	c.Assert(r.suspects.known, qt.HasLen, maxSuspects)
	r.Step(now.Add(2*time.Hour), Tick{})
	c.Assert(r.suspects.known, qt.HasLen, 0)
}

// TestProbesStayInBudget checks the work of random probe results against the budget in
// every window while the upstream does not answer.
func TestProbesStayInBudget(t *testing.T) {
	c := qt.New(t)
	rapid.Check(t, func(t *rapid.T) {
		r, now := home(c)
		r.Settings.ProbePeriod = 10 * time.Millisecond
		r.probes.init(r.Settings, now)
		start := now
		var probes []time.Time
		for range 400 {
			now = now.Add(time.Duration(rapid.IntRange(1, 300).Draw(t, "ms")) * time.Millisecond)
			for _, effect := range r.Step(now, Tick{}) {
				if _, ok := effect.(ProbeUpstream); ok {
					probes = append(probes, now)
					healthy := rapid.Bool().Draw(t, "healthy")
					r.Step(now, ProbeEnded{Healthy: healthy, Bytes: rapid.IntRange(100, 2000).Draw(t, "bytes")})
				}
			}
		}
		for i, first := range probes {
			for j := i; j < len(probes); j++ {
				spent := time.Duration(j-i+1) * r.Settings.ProbeWork
				window := probes[j].Sub(first)
				allowed := time.Duration(max(1, window.Seconds()) * float64(r.Settings.ProbeWorkBudget))
				if spent > allowed+time.Microsecond {
					t.Fatalf("%d probes within %v of %v", j-i+1, window, first.Sub(start))
				}
			}
		}
	})
}

// TestRetriesStayInBudget refuses every attempt and checks the number of retries.
func TestRetriesStayInBudget(t *testing.T) {
	c := qt.New(t)
	f := newFleet(t, 5)
	f.entry.Settings.RetryBurst = 10
	f.entry.retryTokens = newTokenBucket(10, 0, f.now)
	const calls = 1000
	retryTokens := 0
	for i := range calls {
		id := CallID(i + 1)
		effects := f.entry.Step(f.now, f.read(id))
		attempt := sent(c, effects).Attempt
		for {
			effects = f.entry.Step(f.now, AttemptRefused{Call: id, Attempt: attempt, Reason: RefusalFull})
			if _, over := rejected(effects); over {
				break
			}
			attempt = sent(c, effects).Attempt
			retryTokens++
		}
		f.entry.Step(f.now, CallEnded{Call: id})
	}
	c.Assert(float64(retryTokens) <= 10+calls*f.entry.Settings.RetryShare, qt.IsTrue, qt.Commentf("%d retries", retryTokens))
}
