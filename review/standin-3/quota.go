package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sort"
	"sync"
	"sync/atomic"
	"time"
)

// The tenant of the page's example on the wire, and the bounds of the score rendering mesh.
const (
	tenantName   = "pulo780"
	tenantKey    = "jqurtyiikdrbn4ryrbbk"
	tenantRate   = 235
	tenantBurst  = 235
	quotaWindow  = 5 * time.Second
	quotaOverage = 0.1
	quotaSlack   = 20
	// hotRate is what the tenant's clients send per second when it is hot. Usually they send one request in hotFactor
	// of that, as the quota is 1.6 times the usual.
	hotRate   = 1100
	hotFactor = 7.5
)

func init() {
	scenarios["tenant-comes-back"] = scenario{layout: nineMachines, play: tenantComesBack}
}

// tenantConfiguration returns a configuration with a tenant that nobody uses, and the busy one if it is there.
func tenantConfiguration(version int, there bool) []byte {
	var c map[string]any
	_ = json.Unmarshal(configuration(version, "huvo11a"), &c)
	tenant := func(name, key string) map[string]any {
		return map[string]any{"resourceType": "tenants", "metadata": map[string]any{"name": name}, "spec": map[string]any{
			"apiKeys": []string{key}, "priority": 1, "ratePerS": tenantRate, "burst": tenantBurst, "allowedRegions": []string{},
		}}
	}
	resources, _ := c["resources"].([]any)
	resources = append(resources, tenant("quiet01", "f83fgfwrz56aw63is47q"))
	if there {
		resources = append(resources, tenant(tenantName, tenantKey))
	}
	c["resources"] = resources
	data, _ := json.Marshal(c)
	return data
}

// keyed is a request of the tenant that was sent.
type keyed struct {
	id     string
	sent   time.Duration
	status int
}

// tenantComesBack lets versions without the tenant and with it follow each other, while the tenant asks for more than
// its quota.
func tenantComesBack(f *fleet, rec *recorder, trouble bool) (int, error) {
	f.bounds["bounds.quotaWindow"], f.bounds["bounds.quotaOverage"], f.bounds["bounds.quotaSlack"] = "5s", "0.1", "20"
	for _, m := range f.machines {
		m.server.work, m.server.slots = 20*time.Millisecond, 12
	}
	version := 3
	f.store.put("keyed.op", "config", tenantConfiguration(version, true))
	if err := f.startAll(); err != nil {
		return notRun, err
	}
	time.Sleep(8 * time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var mu sync.Mutex
	var sent []keyed
	var hot atomic.Bool
	send := func(client *http.Client, m *machine, id string) {
		req, _ := http.NewRequest(http.MethodGet, "http://"+m.outboundAddr()+routePath, nil)
		req.Host = routeHost
		req.Header.Set("X-Request-Id", id)
		req.Header.Set("X-Deadline-Ms", "1000")
		req.Header.Set("Authorization", "Token "+tenantKey)
		k := keyed{id: id, sent: elapsed()}
		resp, err := client.Do(req)
		if err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
			k.status = resp.StatusCode
		}
		rec.printf("client on %s: %s sent at %.3f got %d", m.name, id, k.sent.Seconds(), k.status)
		mu.Lock()
		sent = append(sent, k)
		mu.Unlock()
	}
	for i, m := range f.machines {
		client := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 32, DisableCompression: true}}
		go func() {
			ticker := time.NewTicker(time.Second * time.Duration(len(f.machines)) / hotRate)
			defer ticker.Stop()
			due := 0.0
			for n := 0; ; n++ {
				select {
				case <-ctx.Done():
					return
				case <-ticker.C:
					if due++; !hot.Load() && due < hotFactor {
						continue
					}
					due = 0
					go send(client, m, fmt.Sprintf("%02x%014x", 0x90+i, n))
				}
			}
		}()
	}
	time.Sleep(8 * time.Second)
	hot.Store(true)
	rec.say("the tenant asks for more than its quota")
	if trouble {
		for range 5 {
			version += 2
			f.store.put("keyed.op", "config", tenantConfiguration(version, false))
			rec.say("version %d, without the tenant, acknowledged", version)
			time.Sleep(500 * time.Millisecond)
			version += 3
			f.store.put("keyed.op", "config", tenantConfiguration(version, true))
			rec.say("version %d, with the tenant, acknowledged", version)
			time.Sleep(550 * time.Millisecond)
		}
	} else {
		time.Sleep(5 * time.Second)
	}
	time.Sleep(6 * time.Second)
	cancel()
	time.Sleep(2500 * time.Millisecond)

	sentAt := map[string]time.Duration{}
	statuses := map[int]int{}
	mu.Lock()
	for _, k := range sent {
		sentAt[k.id] = k.sent
		statuses[k.status]++
	}
	mu.Unlock()
	var runs []run
	for _, m := range f.machines {
		runs = append(runs, m.server.runsAfter(0)...)
	}
	sort.Slice(runs, func(a, b int) bool { return runs[a].at < runs[b].at })
	most, from := mostInWindow(runs, sentAt)
	const allowed = (tenantRate*5+tenantBurst)*(1+quotaOverage) + quotaSlack
	rec.say("answers by status: %v", statuses)
	rec.say("most requests of the tenant that were sent and ran in 5 s: %d, from %.3f s; allowed are %.0f", most, from.Seconds(), allowed)
	if float64(most) > allowed {
		return ruleBroken, nil
	}
	return ruleHeld, nil
}

// mostInWindow returns the most runs in a window of those requests that were also sent in it, and where it begins. The
// runs are in order of time; each window begins when the request of a run was sent.
func mostInWindow(runs []run, sentAt map[string]time.Duration) (most int, begins time.Duration) {
	for _, first := range runs {
		start, ok := sentAt[first.id]
		if !ok {
			continue
		}
		count := 0
		for _, r := range runs {
			at, known := sentAt[r.id]
			if known && at >= start && r.at >= start && r.at <= start+quotaWindow {
				count++
			}
		}
		if count > most {
			most, begins = count, start
		}
	}
	return most, begins
}
