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

// The bounds of the site.
const (
	drainBound = 2 * time.Second
	stability  = 3 * time.Second
)

// playLeaving takes a server out of service while the store is down, restarts the node beside it as planned work, and
// lets a heartbeat of the time before arrive late. The server serves on for many seconds and then exits.
func playLeaving(f *fleet, trouble bool) (verdict, error) {
	work := func(*http.Request) time.Duration { return 60 * time.Millisecond }
	zones := []string{"amman-a", "amman-b", "amman-a"}
	for i, zone := range zones {
		if _, err := f.add(fmt.Sprintf("m%d", i), "cert-ledger", zone, "amman", 6, work); err != nil {
			return verdict{}, err
		}
	}
	var down atomic.Bool
	f.store.down = down.Load
	f.publish(7,
		route("r-entry", "hulo84.example", "/xapu221/ny95/", "non_idempotent", "cert-ledger", 1200*time.Millisecond),
		serviceEntry("cert-ledger"), limitsEntry())
	if err := f.startAll(); err != nil {
		return verdict{}, err
	}
	time.Sleep(2 * time.Second)
	m := f.machines[0]
	var done atomic.Bool
	var all []*clients
	for _, other := range f.machines[1:] {
		c := newClients(other)
		all = append(all, c)
		go c.offer(70, done.Load, func() {
			c.request(http.MethodPost, "hulo84.example", "/xapu221/ny95/2f", "", strings.NewReader("{}"), 1200*time.Millisecond)
		})
	}
	time.Sleep(3 * time.Second)

	down.Store(trouble)
	f.rec.add("store", "down=%t", trouble)
	storeBack := f.rec.now() + 4500*time.Millisecond
	time.AfterFunc(4500*time.Millisecond, func() {
		down.Store(false)
		f.rec.add("store", "down=false")
	})
	time.Sleep(500 * time.Millisecond)
	// The last heartbeat is on its way for 3.5 s. The server deregisters first and serves on.
	m.server.beats.Store(false)
	late := m.server.message("ready")
	m.server.leaving.Store(true)
	if !m.server.send("deregister", fmt.Appendf(nil, `{"born":%d}`, m.server.born)) {
		return verdict{}, errors.New("the deregistration was not acknowledged")
	}
	acknowledged := f.rec.now()
	time.Sleep(100 * time.Millisecond)
	m.signal(syscall.SIGTERM)
	select {
	case <-m.exited:
	case <-time.After(6 * time.Second):
		return verdict{}, errors.New("the node did not end within its grace")
	}
	time.Sleep(300 * time.Millisecond)
	if err := m.startNode(); err != nil {
		return verdict{}, err
	}
	restarted := f.rec.now()
	time.Sleep(acknowledged + 3500*time.Millisecond - f.rec.now())
	m.server.send("heartbeat", late)
	time.Sleep(acknowledged + 14*time.Second - f.rec.now())
	exited := f.rec.now()
	m.server.exit()
	time.Sleep(time.Second)
	done.Store(true)
	time.Sleep(1500 * time.Millisecond)

	inTouch := max(storeBack, restarted) + stability
	v := verdict{}
	lost := 0
	f.ledger.mu.Lock()
	defer f.ledger.mu.Unlock()
	cut := map[string]bool{}
	count, first, last := 0, time.Duration(0), time.Duration(0)
	for _, a := range f.ledger.arrivals {
		f.rec.lineAt(a.at, "server %s: request %s reaches instance %s, ran=%t %s", a.machine, a.id, a.instance, a.ran, a.ended)
		if a.machine != m.name || a.misdirected || a.at < acknowledged+drainBound || a.at < inTouch {
			continue
		}
		if count == 0 {
			first = a.at
		}
		last = a.at
		count++
		if a.ended == "cut" {
			cut[a.id] = true
		}
	}
	for _, c := range all {
		c.mu.Lock()
		for _, k := range c.calls {
			f.rec.lineAt(k.ended, "client at %s: %s sent %.4f answered %d whole=%t %s", k.machine, k.id, k.sent.Seconds(), k.status, k.whole, k.failure)
			if cut[k.id] && k.status/100 != 2 {
				lost++
			}
		}
		c.mu.Unlock()
	}
	v.broken = count > 0
	v.lines = append(v.lines,
		fmt.Sprintf("the leaving of %s was acknowledged at %.3f s; its node was back at %.3f s, the store at %.3f s; all machines are in touch from %.3f s", m.server.instance, acknowledged.Seconds(), restarted.Seconds(), storeBack.Seconds(), inTouch.Seconds()),
		fmt.Sprintf("requests that reached the server later than %v after that, from machines in touch: %d, from %.3f s to %.3f s", drainBound, count, first.Seconds(), last.Seconds()),
		fmt.Sprintf("of these, non-idempotent requests that the server ran and that were lost when it exited at %.3f s: %d", exited.Seconds(), lost))
	return v, nil
}
