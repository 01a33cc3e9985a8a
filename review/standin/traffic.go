package main

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// exchange is a request with its answer.
type exchange struct {
	request request
	sentAt  time.Time
	reply   reply
}

// traffic sends requests to nodes for a time, at random moments.
type traffic struct {
	fleet *fleet
	wait  sync.WaitGroup
	done  chan struct{}

	mu   sync.Mutex
	sent []exchange
}

func (f *fleet) newTraffic() *traffic { return &traffic{fleet: f, done: make(chan struct{})} }

// offer sends perSecond requests each second to the node on machine m, until the traffic ends.
func (t *traffic) offer(m *machine, perSecond float64, next func() request) {
	t.wait.Go(func() {
		for {
			pause := time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second))
			select {
			case <-t.done:
				return
			case <-time.After(pause):
			}
			r := next()
			t.wait.Go(func() {
				e := exchange{request: r, sentAt: time.Now()}
				e.reply = t.fleet.send(m, r)
				t.mu.Lock()
				t.sent = append(t.sent, e)
				t.mu.Unlock()
			})
		}
	})
}

// end stops the traffic and returns what was sent, in order.
func (t *traffic) end() []exchange {
	close(t.done)
	t.wait.Wait()
	slices.SortFunc(t.sent, func(a, b exchange) int { return a.sentAt.Compare(b.sentAt) })
	return t.sent
}

// promisesNotRun reports whether a status says that the request has not run and never will.
func promisesNotRun(status int) bool {
	return status == 429 || status == 503 || status == 408 || status == 421
}

// judgeRuns checks the rules on runs of requests that must run at most once: TWICE and REFUSED.
func (f *fleet) judgeRuns(sent []exchange) (twice, refused int) {
	for _, e := range sent {
		runs := f.runs.of(e.request.id)
		if len(runs) > 1 {
			twice++
			for _, r := range runs {
				f.log.printf("TWICE: %s ran at %s (%s)", e.request.id, r.server, r.at.Sub(f.log.begun))
			}
		}
		if len(runs) > 0 && promisesNotRun(e.reply.status) {
			refused++
			f.log.printf("REFUSED: %s was answered %d and ran at %s (%s)", e.request.id, e.reply.status, runs[0].server, runs[0].at.Sub(f.log.begun))
		}
	}
	return twice, refused
}

// countStatus logs how many requests got each status; zero is no answer.
func (f *fleet) countStatus(sent []exchange) {
	counts := map[int]int{}
	for _, e := range sent {
		counts[e.reply.status]++
	}
	f.log.printf("%d requests, by status: %v", len(sent), counts)
}
