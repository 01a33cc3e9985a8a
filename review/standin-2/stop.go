package main

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// grace is how long the platform waits between SIGTERM and SIGKILL.
	grace = 6 * time.Second
	// longWork is how long each twentieth request takes, and shortWork the others: both below longestWork of the site,
	// 2.2 s, and below the deadline.
	longWork        = 2 * time.Second
	shortWork       = 200 * time.Millisecond
	bookingDeadline = 2500 * time.Millisecond
)

// playStop stops and starts the only node of a zone twice, as planned work, while its clients go on: fewer than half of the
// zone's nodes are in then, so that they are not sent elsewhere. They respect Connection: close.
func playStop(f *fleet, trouble bool) (verdict, error) {
	work := func(req *http.Request) time.Duration {
		if strings.HasSuffix(req.URL.Path, "/long") {
			return longWork
		}
		return shortWork
	}
	for i, zone := range []string{"wisla-krakow", "wisla-gdansk", "wisla-gdansk", "wisla-gdansk", "wisla-warszawa", "wisla-warszawa", "wisla-warszawa"} {
		if _, err := f.add(fmt.Sprintf("m%d", i), "booking-ledger", zone, "wisla", 9, work); err != nil {
			return verdict{}, err
		}
	}
	f.publish(7,
		route("r-booking", "hulo84.example", "/xapu221/ny95/", "non_idempotent", "booking-ledger", bookingDeadline),
		serviceEntry("booking-ledger"), limitsEntry())
	for i, m := range f.machines {
		if err := m.server.start(fmt.Sprintf("i-%d", i)); err != nil {
			return verdict{}, err
		}
		if err := m.startNode(); err != nil {
			return verdict{}, err
		}
	}
	for _, m := range f.machines {
		if !m.awaitReady(10 * time.Second) {
			return verdict{}, errors.New("a node did not become ready")
		}
	}
	time.Sleep(2 * time.Second)
	m := f.machines[0]
	c := newClients(m)
	var done atomic.Bool
	var number atomic.Int64
	go c.offer(60, done.Load, func() {
		path := "/xapu221/ny95/2f"
		if number.Add(1)%20 == 0 {
			path = "/xapu221/ny95/long"
		}
		c.request(http.MethodPost, "hulo84.example", path, "", strings.NewReader("{}"), bookingDeadline)
	})
	time.Sleep(4 * time.Second)
	var terms []time.Duration
	for range 2 {
		terms = append(terms, f.rec.now())
		if trouble {
			m.signal(syscall.SIGTERM)
			select {
			case <-m.exited:
			case <-time.After(grace):
				m.signal(syscall.SIGKILL)
				<-m.exited
			}
			time.Sleep(300 * time.Millisecond)
			if err := m.startNode(); err != nil {
				return verdict{}, err
			}
			if !m.awaitReady(10 * time.Second) {
				return verdict{}, errors.New("the node did not become ready again")
			}
		} else {
			time.Sleep(grace + 300*time.Millisecond)
		}
		time.Sleep(5 * time.Second)
	}
	done.Store(true)
	time.Sleep(bookingDeadline + 500*time.Millisecond)
	return checkStop(f, c, terms), nil
}

// checkStop counts the requests that the stopping node passed on to a server and whose connection ended without a
// complete answer before their deadline.
func checkStop(f *fleet, c *clients, terms []time.Duration) verdict {
	ran := map[string]*arrival{}
	f.ledger.mu.Lock()
	defer f.ledger.mu.Unlock()
	for _, a := range f.ledger.arrivals {
		f.rec.lineAt(a.at, "server %s: request %s %s reaches it, ran=%t %s", a.machine, a.id, a.path, a.ran, a.ended)
		if a.ran {
			ran[a.id] = a
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	byStatus := map[int]int{}
	v := verdict{}
	lost, excused := 0, 0
	for _, k := range c.calls {
		byStatus[k.status]++
		f.rec.lineAt(k.ended, "client at %s: %s sent %.4f answered %d whole=%t %s", k.machine, k.id, k.sent.Seconds(), k.status, k.whole, k.failure)
		if ran[k.id] == nil || k.status != 0 || k.ended-k.sent >= bookingDeadline {
			continue
		}
		for _, term := range terms {
			if k.ended < term || k.ended > term+grace+time.Second {
				continue
			}
			if k.sent <= term+3*time.Second && k.ended >= term+grace*5/6 {
				excused++
				continue
			}
			lost++
			v.lines = append(v.lines, fmt.Sprintf("%s: sent %.3f s after SIGTERM, passed on to %s, connection ended without an answer %.3f s after SIGTERM", k.id, (k.sent-term).Seconds(), ran[k.id].machine, (k.ended-term).Seconds()))
		}
	}
	v.broken = lost > 0
	v.lines = append(v.lines,
		fmt.Sprintf("requests that the stopping node had passed on to a server and that ended without an answer: %d (excused by the rule: %d)", lost, excused),
		fmt.Sprintf("answers by status: %v", byStatus))
	return v
}
