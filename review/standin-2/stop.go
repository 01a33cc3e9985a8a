package main

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// grace is how long the platform waits between SIGTERM and SIGKILL.
	grace = 6 * time.Second
	// rollGap is the time between two stops of a round.
	rollGap = 1300 * time.Millisecond
	// longWork is how long each twentieth request takes, and shortWork the others: both below the longest work of the
	// site, 2.2 s, and below the deadline.
	longWork        = 2 * time.Second
	shortWork       = 200 * time.Millisecond
	bookingDeadline = 2500 * time.Millisecond
)

// readiness follows which nodes of a zone are in, as the platform asks them.
type readiness struct {
	machines []*machine
	mu       sync.Mutex
	misses   map[*machine]int
}

// watch asks each node once a second until done.
func (r *readiness) watch(done func() bool) {
	for ; !done(); time.Sleep(time.Second) {
		for _, m := range r.machines {
			go func() {
				ready := m.ready()
				r.mu.Lock()
				defer r.mu.Unlock()
				r.misses[m]++
				if ready {
					r.misses[m] = 0
				}
			}()
		}
	}
}

// getsWork reports whether the clients on a machine send new requests: not after two misses, unless fewer than half of the
// zone's nodes are in.
func (r *readiness) getsWork(m *machine) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	in := 0
	for _, o := range r.machines {
		if r.misses[o] < 2 {
			in++
		}
	}
	return r.misses[m] < 2 || 2*in < len(r.machines)
}

// playStop stops and starts the three nodes of a zone in turn, twice. The clients on their machines go on as far as the
// platform lets them, and respect Connection: close.
func playStop(f *fleet, trouble bool) (verdict, error) {
	work := func(req *http.Request) time.Duration {
		if strings.HasSuffix(req.URL.Path, "/long") {
			return longWork
		}
		return shortWork
	}
	for i, zone := range []string{"wisla-krakow", "wisla-gdansk", "wisla-warszawa"} {
		for j := range 3 {
			if _, err := f.add(fmt.Sprintf("m%d", 3*i+j), "booking-ledger", zone, "wisla", 9, work); err != nil {
				return verdict{}, err
			}
		}
	}
	f.publish(7,
		route("r-booking", "hulo84.example", "/xapu221/ny95/", "non_idempotent", "booking-ledger", bookingDeadline),
		serviceEntry("booking-ledger"), limitsEntry())
	if err := f.startAll(); err != nil {
		return verdict{}, err
	}
	time.Sleep(2 * time.Second)
	rolled := &readiness{machines: f.machines[:3], misses: map[*machine]int{}}
	var done atomic.Bool
	go rolled.watch(done.Load)
	var all []*clients
	for _, m := range rolled.machines {
		c := newClients(m)
		all = append(all, c)
		var number atomic.Int64
		go c.offer(30, done.Load, func() {
			path := "/xapu221/ny95/2f"
			if number.Add(1)%20 == 0 {
				path = "/xapu221/ny95/long"
			}
			if rolled.getsWork(m) {
				c.request(http.MethodPost, "hulo84.example", path, "", strings.NewReader("{}"), bookingDeadline)
			}
		})
	}
	time.Sleep(4 * time.Second)
	terms := map[string][]time.Duration{}
	for range 2 {
		var restarts sync.WaitGroup
		for _, m := range rolled.machines {
			if trouble {
				terms[m.name] = append(terms[m.name], f.rec.now())
				restarts.Add(1)
				go func() {
					defer restarts.Done()
					m.restart()
				}()
			}
			time.Sleep(rollGap)
		}
		restarts.Wait()
		time.Sleep(5 * time.Second)
	}
	done.Store(true)
	time.Sleep(bookingDeadline + 500*time.Millisecond)
	return checkStop(f, all, terms), nil
}

// startAll starts all servers and nodes and waits until the nodes are ready.
func (f *fleet) startAll() error {
	for i, m := range f.machines {
		if err := m.server.start(fmt.Sprintf("i-%d", i)); err != nil {
			return err
		}
		if err := m.startNode(); err != nil {
			return err
		}
	}
	for _, m := range f.machines {
		if !m.awaitReady(10 * time.Second) {
			return errors.New("the node of " + m.name + " did not become ready")
		}
	}
	return nil
}

// restart stops the node as the platform does and starts it again.
func (m *machine) restart() {
	m.signal(syscall.SIGTERM)
	select {
	case <-m.exited:
	case <-time.After(grace):
		m.signal(syscall.SIGKILL)
		<-m.exited
	}
	time.Sleep(300 * time.Millisecond)
	if err := m.startNode(); err != nil {
		m.fleet.rec.add("platform", "node of %s can't start: %v", m.name, err)
	}
}

// checkStop counts the requests that a stopping node passed on to a server and whose connection ended without a complete
// answer before their deadline.
func checkStop(f *fleet, all []*clients, terms map[string][]time.Duration) verdict {
	ran := map[string]*arrival{}
	f.ledger.mu.Lock()
	defer f.ledger.mu.Unlock()
	for _, a := range f.ledger.arrivals {
		f.rec.lineAt(a.at, "server %s: request %s %s reaches it, ran=%t %s", a.machine, a.id, a.path, a.ran, a.ended)
		if a.ran {
			ran[a.id] = a
		}
	}
	byStatus := map[int]int{}
	v := verdict{}
	lost, excused := 0, 0
	for _, c := range all {
		c.mu.Lock()
		for _, k := range c.calls {
			byStatus[k.status]++
			f.rec.lineAt(k.ended, "client at %s: %s sent %.4f answered %d whole=%t %s", k.machine, k.id, k.sent.Seconds(), k.status, k.whole, k.failure)
			if ran[k.id] == nil || k.status != 0 || k.ended-k.sent >= bookingDeadline {
				continue
			}
			for _, term := range terms[k.machine] {
				if k.ended < term || k.ended > term+grace+time.Second {
					continue
				}
				if k.sent <= term+3*time.Second && k.ended >= term+grace*5/6 {
					excused++
					continue
				}
				lost++
				v.lines = append(v.lines, fmt.Sprintf("%s at %s: sent %.3f s after SIGTERM, passed on to %s, connection ended without an answer %.3f s after SIGTERM",
					k.id, k.machine, (k.sent-term).Seconds(), ran[k.id].machine, (k.ended-term).Seconds()))
			}
		}
		c.mu.Unlock()
	}
	v.broken = lost > 0
	v.lines = append(v.lines,
		fmt.Sprintf("requests that a stopping node had passed on to a server and that ended without an answer: %d (excused by the rule: %d)", lost, excused),
		fmt.Sprintf("answers by status: %v", byStatus))
	return v
}
