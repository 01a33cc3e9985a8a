package main

import (
	"errors"
	"fmt"
	"net/http"
	"sort"
	"sync/atomic"
	"time"
)

// The tenant of the case, with the figures of the example on the wire page of the site, and the site's bounds.
const (
	tenantKey    = "jqurtyiikdrbn4ryrbbk"
	tenantRate   = 235.0
	tenantBurst  = 235.0
	quotaWindow  = 5 * time.Second
	quotaOverage = 0.1
	quotaSlack   = 20.0
	// storeTrouble is how long the store loses answers.
	storeTrouble = 4500 * time.Millisecond
)

// playQuota adds five machines to a fleet of seventeen while the store does some writes without answering them: the two
// first of the last machine that joins. All clients belong to one tenant, which asks for more than its quota.
func playQuota(f *fleet, trouble bool) (verdict, error) {
	f.bounds["quotaWindow"], f.bounds["quotaOverage"], f.bounds["quotaSlack"] = "5s", "0.1", "20"
	work := func(*http.Request) time.Duration { return 5 * time.Millisecond }
	zones := []string{"hue-a", "hue-b"}
	for i := range 22 {
		if _, err := f.add(fmt.Sprintf("m%d", i), "preview-engine", zones[i%2], "hue", 12, work); err != nil {
			return verdict{}, err
		}
	}
	base, joiners := f.machines[:17], f.machines[17:]
	last := joiners[len(joiners)-1]
	var losing atomic.Bool
	var lost atomic.Int64
	f.store.losesAnswer = func(topic, key string) bool {
		return losing.Load() && key == last.address("peers") && lost.Add(1) <= 2
	}
	f.publish(7,
		route("r-preview", "jepu9.example", "/lepu270/", "idempotent", "preview-engine", time.Second),
		serviceEntry("preview-engine"), limitsEntry(),
		resource("tenants", "pulo780", map[string]any{
			"apiKeys": []string{tenantKey}, "priority": 1, "ratePerS": tenantRate, "burst": tenantBurst, "allowedRegions": []string{},
		}))
	for i, m := range base {
		if err := m.server.start(fmt.Sprintf("i-%d", i)); err != nil {
			return verdict{}, err
		}
		if err := m.startNode(); err != nil {
			return verdict{}, err
		}
	}
	for _, m := range base {
		if !m.awaitReady(10 * time.Second) {
			return verdict{}, errors.New("a node did not become ready")
		}
	}
	time.Sleep(3 * time.Second)
	var done atomic.Bool
	var all []*clients
	begin := func(m *machine, perSecond float64) {
		c := newClients(m)
		all = append(all, c)
		go c.offer(perSecond, done.Load, func() {
			c.request(http.MethodGet, "jepu9.example", "/lepu270/2f", tenantKey, nil, time.Second)
		})
	}
	for _, m := range base {
		begin(m, 16)
	}
	time.Sleep(8 * time.Second)
	// The machines are added, the last one a little later than the others.
	losing.Store(trouble)
	time.AfterFunc(storeTrouble, func() { losing.Store(false) })
	for i, m := range joiners {
		if m == last {
			time.Sleep(300 * time.Millisecond)
		}
		if err := m.server.start(fmt.Sprintf("i-%d", len(base)+i)); err != nil {
			return verdict{}, err
		}
		if err := m.startNode(); err != nil {
			return verdict{}, err
		}
	}
	for _, m := range joiners {
		if !m.awaitReady(10 * time.Second) {
			return verdict{}, errors.New("a node that was added did not become ready")
		}
		if m == last {
			begin(m, 300)
			continue
		}
		begin(m, 16)
	}
	time.Sleep(8 * time.Second)
	done.Store(true)
	time.Sleep(1500 * time.Millisecond)
	return checkQuota(f, all), nil
}

// checkQuota finds the window in which most requests of the tenant were both sent and arrived at a server that ran them.
func checkQuota(f *fleet, all []*clients) verdict {
	sent := map[string]*call{}
	byStatus := map[string]map[int]int{}
	for _, c := range all {
		c.mu.Lock()
		for _, k := range c.calls {
			sent[k.id] = k
			if byStatus[k.machine] == nil {
				byStatus[k.machine] = map[int]int{}
			}
			byStatus[k.machine][k.status]++
			f.rec.lineAt(k.ended, "client at %s: %s sent %.4f answered %d", k.machine, k.id, k.sent.Seconds(), k.status)
		}
		c.mu.Unlock()
	}
	type ran struct {
		sent, arrived time.Duration
		machine       string
	}
	seen := map[string]bool{}
	var runs []ran
	f.ledger.mu.Lock()
	for _, a := range f.ledger.arrivals {
		k := sent[a.id]
		if !a.ran || k == nil || a.tenant != "pulo780" || seen[a.id] {
			continue
		}
		seen[a.id] = true
		runs = append(runs, ran{k.sent, a.at, k.machine})
		f.rec.lineAt(a.at, "server %s: runs %s of tenant %s", a.machine, a.id, a.tenant)
	}
	f.ledger.mu.Unlock()
	sort.Slice(runs, func(i, j int) bool { return runs[i].sent < runs[j].sent })
	bound := (tenantRate*quotaWindow.Seconds()+tenantBurst)*(1+quotaOverage) + quotaSlack
	most, at := 0, time.Duration(0)
	var from map[string]int
	for i := range runs {
		n, by := 0, map[string]int{}
		for j := i; j < len(runs) && runs[j].sent < runs[i].sent+quotaWindow; j++ {
			if runs[j].arrived <= runs[i].sent+quotaWindow {
				n++
				by[runs[j].machine]++
			}
		}
		if n > most {
			most, at, from = n, runs[i].sent, by
		}
	}
	v := verdict{broken: float64(most) > bound}
	v.lines = append(v.lines,
		fmt.Sprintf("most requests of the tenant in a window of %v: %d from %.3f s on; bound %.0f", quotaWindow, most, at.Seconds(), bound),
		fmt.Sprintf("in that window by the machine where they began: %v", from))
	for _, c := range all {
		v.lines = append(v.lines, fmt.Sprintf("answers to clients at %s by status: %v", c.machine.name, byStatus[c.machine.name]))
	}
	return v
}
