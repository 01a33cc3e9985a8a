package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// longIdle is the usual limit on idle connections, shortIdle that of each other version of a storm.
	longIdle, shortIdle = 15 * time.Second, time.Second
	// stormLength and stormGap are those of the site file.
	stormLength, stormGap = 4 * time.Second, 330 * time.Millisecond
	stormPause            = time.Second
	storms                = 18
	calmLength            = 12 * time.Second
	// configApply is the bound of the pages. A client learns within it which limit holds.
	configApply = 2 * time.Second
	// keptPerMachine are the kept connections of clients at each machine. A client waits leastPause and up to
	// morePause longer between an answer and the next request.
	keptPerMachine        = 500
	leastPause, morePause = 2 * time.Second, 150 * time.Millisecond
)

func init() {
	scenarios["idle-limit-changes"] = scenario{layout: nineMachines, play: idleLimitChanges}
}

// idleConfiguration returns a configuration with a limit on idle connections.
func idleConfiguration(version int, limit time.Duration) []byte {
	text := string(configuration(version, "huvo11a"))
	return []byte(strings.Replace(text, `"idleTimeout":"60s"`, fmt.Sprintf(`"idleTimeout":"%dms"`, limit.Milliseconds()), 1))
}

// acknowledged is the limit of a version and when the version was acknowledged.
type acknowledged struct {
	at, limit time.Duration
}

// cut is a request on a kept connection that was closed without an answer.
type cut struct {
	id, node    string
	sent, ended time.Duration
}

// keptClients are clients that keep their connections for further requests.
type keptClients struct {
	rec *recorder

	mu       sync.Mutex
	versions []acknowledged
	answered int
	failed   int
	cuts     []cut
}

// limitAt returns the limit of the newest version that was acknowledged before a time.
func (k *keptClients) limitAt(at time.Duration) time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	limit := k.versions[0].limit
	for _, v := range k.versions {
		if v.at <= at {
			limit = v.limit
		}
	}
	return limit
}

// keptClient sends requests to a machine, one after the other.
type keptClient struct {
	all     *keptClients
	machine *machine
	prefix  string
	// lag is how long after its acknowledgement the client learns of a version.
	lag      time.Duration
	sequence int
}

// run sends requests until the context ends.
func (c *keptClient) run(ctx context.Context) {
	time.Sleep(rand.N(3 * time.Second))
	for ctx.Err() == nil {
		c.useConnection(ctx)
	}
}

// useConnection sends requests over one connection until it ends or has been idle for too long.
func (c *keptClient) useConnection(ctx context.Context) {
	conn, err := net.Dial("tcp", c.machine.outboundAddr())
	if err != nil {
		time.Sleep(200 * time.Millisecond)
		return
	}
	defer func() { _ = conn.Close() }()
	answers, closed := readAnswers(conn)
	for kept := false; ; kept = true {
		if !c.exchange(conn, answers, closed, kept) {
			return
		}
		answered := elapsed()
		select {
		case <-ctx.Done():
			return
		case <-closed:
			return
		case <-time.After(leastPause + rand.N(morePause)):
		}
		// A connection is used again if it was idle for up to four fifths of the limit that the client knows.
		if now := elapsed(); (now-answered)*5 > c.all.limitAt(now-c.lag)*4 {
			return
		}
	}
}

// readAnswers reads a connection in the background. It passes on the status of each whole answer.
func readAnswers(conn net.Conn) (answers chan int, closed chan struct{}) {
	answers, closed = make(chan int, 1), make(chan struct{})
	go func() {
		defer close(closed)
		r := bufio.NewReader(conn)
		for {
			resp, err := http.ReadResponse(r, nil)
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, resp.Body); err != nil {
				return
			}
			answers <- resp.StatusCode
		}
	}()
	return answers, closed
}

// exchange sends a request and reports whether it was answered.
func (c *keptClient) exchange(conn net.Conn, answers chan int, closed chan struct{}, kept bool) bool {
	c.sequence++
	id := fmt.Sprintf("%s%08x", c.prefix, c.sequence)
	sent := elapsed()
	_, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 1000\r\n\r\n", routePath, routeHost, id)
	if err != nil {
		return false
	}
	select {
	case status := <-answers:
		c.all.rec.printf("client on %s: %s sent at %.6f got %d", c.machine.name, id, sent.Seconds(), status)
		c.all.mu.Lock()
		defer c.all.mu.Unlock()
		c.all.answered++
		if status != http.StatusOK {
			c.all.failed++
		}
		return true
	case <-closed:
		c.all.rec.printf("client on %s: %s sent at %.6f, connection closed without an answer", c.machine.name, id, sent.Seconds())
		if kept {
			c.all.mu.Lock()
			defer c.all.mu.Unlock()
			c.all.cuts = append(c.all.cuts, cut{id: id, node: c.machine.name, sent: sent, ended: elapsed()})
		}
		return false
	case <-time.After(2 * time.Second):
		c.all.rec.printf("client on %s: %s sent at %.6f got nothing for 2 s", c.machine.name, id, sent.Seconds())
		return false
	}
}

// idleLimitChanges changes the limit on idle connections in storms while clients use kept connections.
func idleLimitChanges(f *fleet, rec *recorder, trouble bool) (int, error) {
	for _, m := range f.machines {
		m.server.work, m.server.slots = 5*time.Millisecond, 24
	}
	version := 3
	f.store.put("keyed.op", "config", idleConfiguration(version, longIdle))
	if err := f.startAll(); err != nil {
		return notRun, err
	}
	time.Sleep(4 * time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	k := &keptClients{rec: rec, versions: []acknowledged{{limit: longIdle}}}
	var work sync.WaitGroup
	for i, m := range f.machines {
		for j := range keptPerMachine {
			c := &keptClient{all: k, machine: m, prefix: fmt.Sprintf("%02x%06x", 0x90+i, j), lag: rand.N(configApply)}
			work.Go(func() { c.run(ctx) })
		}
	}
	time.Sleep(calmLength)
	calmEnd := elapsed()
	rec.say("the calm has ended")
	for range storms {
		version = storm(f, k, version, trouble)
		time.Sleep(stormPause)
	}
	cancel()
	work.Wait()
	return k.judge(f, calmEnd), nil
}

// storm lets versions follow each other, alternately with the short limit and with the long one, and returns the last.
func storm(f *fleet, k *keptClients, version int, trouble bool) int {
	for n := range int(stormLength / stormGap) {
		if trouble {
			limit := longIdle
			if n%2 == 0 {
				limit = shortIdle
			}
			version += 2
			f.store.put("keyed.op", "config", idleConfiguration(version, limit))
			k.rec.printf("version %d with the limit %v acknowledged", version, limit)
			k.mu.Lock()
			k.versions = append(k.versions, acknowledged{at: elapsed(), limit: limit})
			k.mu.Unlock()
		}
		time.Sleep(stormGap)
	}
	return version
}

// judge counts the requests that were passed on to a server and whose kept connection was closed without an answer.
func (k *keptClients) judge(f *fleet, calmEnd time.Duration) int {
	runs := map[string]time.Duration{}
	for _, m := range f.machines {
		for _, r := range m.server.runsAfter(0) {
			runs[r.id] = r.at
		}
	}
	calm, later := map[string]int{}, map[string]int{}
	for _, c := range k.cuts {
		at, ok := runs[c.id]
		if !ok {
			continue
		}
		if c.sent < calmEnd {
			calm[c.node]++
		} else {
			later[c.node]++
		}
		k.rec.say("%s sent to %s at %.6f, at a server at %.6f, connection closed without an answer at %.6f",
			c.id, c.node, c.sent.Seconds(), at.Seconds(), c.ended.Seconds())
	}
	k.rec.say("answers %d, of these no success %d; kept connections closed on a request %d", k.answered, k.failed, len(k.cuts))
	k.rec.say("passed on and closed without an answer: in the calm %v, later %v", calm, later)
	// Beside configurations it counts if the machine cuts requests over three times as often as at other times.
	stormy := elapsed() - calmEnd
	for node, cuts := range later {
		if float64(cuts)/stormy.Seconds() > 3*float64(calm[node])/calmLength.Seconds() {
			return ruleBroken
		}
	}
	return ruleHeld
}
