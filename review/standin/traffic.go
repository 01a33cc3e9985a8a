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
	machine *machine
	// kept reports that the connection had carried a request before.
	kept bool
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

// keepSending lets a number of clients on machine m send requests one after another, on a connection that
// each keeps, with a pause between, until the traffic ends.
func (t *traffic) keepSending(m *machine, clients int, pause time.Duration, next func() request) {
	for range clients {
		t.wait.Go(func() {
			var c *keptConn
			for {
				select {
				case <-t.done:
					return
				case <-time.After(time.Duration(rand.ExpFloat64() * float64(pause))):
				}
				if c == nil {
					if c = t.fleet.connect(m); c == nil {
						continue
					}
				}
				e := exchange{request: next(), sentAt: time.Now(), machine: m, kept: c.used}
				e.reply = c.exchange(e.request)
				t.mu.Lock()
				t.sent = append(t.sent, e)
				t.mu.Unlock()
				if e.reply.err != nil || c.closes {
					_ = c.conn.Close()
					c = nil
				}
			}
		})
	}
}

// offerRetrying sends perSecond requests each second to the node on machine m. A
// client whose request was refused with a promise sends it once more, when it was told to.
func (t *traffic) offerRetrying(m *machine, perSecond float64, next func() request) {
	t.wait.Go(func() {
		for {
			select {
			case <-t.done:
				return
			case <-time.After(time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second))):
			}
			t.wait.Go(func() {
				r := next()
				for attempts := 0; attempts < 2 && r.deadline > 0; attempts++ {
					e := exchange{request: r, sentAt: time.Now(), machine: m}
					e.reply = t.fleet.send(m, r)
					t.mu.Lock()
					t.sent = append(t.sent, e)
					t.mu.Unlock()
					if !promisesNotRun(e.reply.status) {
						return
					}
					time.Sleep(e.reply.retryAfter)
					r.id = newID()
					r.deadline -= time.Since(e.sentAt)
				}
			})
		}
	})
}
