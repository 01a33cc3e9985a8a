package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// poisonPath is the path of the request that crashes each server that begins to run it.
	poisonPath = "/xapu221/ny95/crash"
	// crashAfter is how long a server works on it before it crashes, and serverBack how long it is away then.
	crashAfter = 900 * time.Millisecond
	serverBack = 3 * time.Second
)

// comings is how a request that crashes servers comes again.
type comings struct {
	// gap is the time between two comings, in turn at the machines of the request's caller, and lasting how long it comes.
	gap, lasting time.Duration
	// ownQueries gives each coming a query of its own.
	ownQueries bool
	// others is the rate of other requests at each machine, in requests per second.
	others float64
}

// playPoison lets the request come four times a second, longer than the nodes refuse it.
func playPoison(f *fleet, trouble bool) (verdict, error) {
	return playComings(f, trouble, comings{gap: 250 * time.Millisecond, lasting: 75 * time.Second, others: 4})
}

// playPoisonWithQueries lets the request come once a second, with another query each time.
func playPoisonWithQueries(f *fleet, trouble bool) (verdict, error) {
	return playComings(f, trouble, comings{gap: time.Second, lasting: 30 * time.Second, ownQueries: true, others: 20})
}

// crashLog holds the times at which the request crashed servers.
type crashLog struct {
	mu    sync.Mutex
	times []time.Duration
}

// playComings lets a request that crashes servers come again and again. Without trouble, the same request crashes no server.
func playComings(f *fleet, trouble bool, how comings) (verdict, error) {
	crashes := &crashLog{}
	services := []string{"cert-ledger", "roster-reader", "evidence-vault"}
	zones := []string{"amman-a", "irbid-a", "aqaba-a", "amman-b", "irbid-b", "aqaba-b"}
	for i, service := range services {
		for j, zone := range zones {
			region, _, _ := strings.Cut(zone, "-")
			if _, err := f.add(fmt.Sprintf("m%d", 6*i+j), service, zone, region, 6, nil); err != nil {
				return verdict{}, err
			}
		}
	}
	for _, m := range f.machines {
		s := m.server
		s.work = func(req *http.Request) time.Duration {
			if req.URL.Path == poisonPath {
				if trouble {
					time.AfterFunc(crashAfter, func() { s.crash(crashes) })
					return time.Minute
				}
			}
			return 60 * time.Millisecond
		}
	}
	f.publish(7,
		route("r-entry", "hulo84.example", "/xapu221/ny95/", "non_idempotent", services[0], 1200*time.Millisecond),
		serviceEntry(services[0]), serviceEntry(services[1]), serviceEntry(services[2]), limitsEntry())
	if err := f.startAll(); err != nil {
		return verdict{}, err
	}
	time.Sleep(3 * time.Second)
	var done atomic.Bool
	var all []*clients
	for _, m := range f.machines[6:] {
		c := newClients(m)
		all = append(all, c)
		go c.offer(how.others, done.Load, func() {
			c.request(http.MethodPost, "hulo84.example", "/xapu221/ny95/2f", "", strings.NewReader("{}"), 1200*time.Millisecond)
		})
	}
	time.Sleep(2 * time.Second)
	poison := map[string]bool{}
	var poisonMu sync.Mutex
	callers := all[:6]
	for i := 0; time.Duration(i)*how.gap < how.lasting; i++ {
		c := callers[i%len(callers)]
		path := poisonPath
		if how.ownQueries {
			path = fmt.Sprintf("%s?n=%d", poisonPath, i)
		}
		c.work.Add(1)
		go func() {
			defer c.work.Done()
			k := c.request(http.MethodPost, "hulo84.example", path, "", strings.NewReader("{}"), 1200*time.Millisecond)
			poisonMu.Lock()
			poison[k.id] = true
			poisonMu.Unlock()
		}()
		time.Sleep(how.gap)
	}
	done.Store(true)
	time.Sleep(2 * time.Second)
	return checkPoison(f, crashes, all, poison), nil
}

// crash ends the run at once and starts another one after a while.
func (s *appServer) crash(crashes *crashLog) {
	crashes.mu.Lock()
	defer crashes.mu.Unlock()
	if time.Since(time.UnixMilli(s.born)) < crashAfter {
		// The run that got the request has crashed already.
		return
	}
	crashes.times = append(crashes.times, s.rec.now())
	s.exit()
	// No later crash falls into the time in which the server is away.
	s.born = time.Now().Add(serverBack).UnixMilli()
	time.AfterFunc(serverBack, s.startAgain)
}

func (s *appServer) startAgain() {
	if err := s.start(s.instance + "n"); err != nil {
		s.rec.add("server "+s.machine, "can't start again: %v", err)
	}
}

func checkPoison(f *fleet, crashes *crashLog, all []*clients, poison map[string]bool) verdict {
	crashes.mu.Lock()
	times := crashes.times
	crashes.mu.Unlock()
	v := verdict{}
	sent := map[string]*call{}
	comings := 0
	for _, c := range all {
		c.mu.Lock()
		for _, k := range c.calls {
			sent[k.id] = k
			f.rec.lineAt(k.ended, "client at %s: %s crashes=%t sent %.4f answered %d %s", k.machine, k.id, poison[k.id], k.sent.Seconds(), k.status, k.failure)
			if poison[k.id] {
				comings++
			}
		}
		c.mu.Unlock()
	}
	f.ledger.mu.Lock()
	defer f.ledger.mu.Unlock()
	late, cut := 0, 0
	for _, a := range f.ledger.arrivals {
		f.rec.lineAt(a.at, "server %s: request %s %s reaches %s, ran=%t %s", a.machine, a.id, a.path, a.instance, a.ran, a.ended)
		k := sent[a.id]
		if k == nil || a.misdirected {
			continue
		}
		if a.path != poisonPath {
			if a.ended == "cut" && k.status/100 != 2 {
				cut++
			}
			continue
		}
		if len(times) >= 3 && k.sent > times[2]+stability {
			late++
		}
	}
	v.broken = late > 3
	var at []string
	for _, t := range times {
		at = append(at, fmt.Sprintf("%.2f", t.Seconds()))
	}
	v.lines = append(v.lines,
		fmt.Sprintf("the request came %d times and crashed %d servers, at %s s", comings, len(times), strings.Join(at, ", ")),
		fmt.Sprintf("of its comings later than %v after the third crash, those that reached a server: %d; allowed 3", stability, late),
		fmt.Sprintf("other non-idempotent requests that were cut with their server and got no success: %d", cut))
	return v
}
