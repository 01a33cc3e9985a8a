package main

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	host     = "jepu9.example"
	ledger   = "ledger"
	desk     = "desk"
	vault    = "vault"
	deadline = 1200 * time.Millisecond
)

// errNotAcknowledged stops a case whose server got no acknowledgement.
var errNotAcknowledged = errors.New("the node did not acknowledge the server's call")

// once and often are the routes of every case: requests that may run at most once, and
// requests that may be repeated.
var (
	once  = route{host: host, prefix: "/sign/", kind: "non_idempotent", service: ledger}
	often = route{host: host, prefix: "/look/", kind: "idempotent", service: ledger}
)

// newOnce returns a request of the route once, with a body.
func newOnce() request {
	return request{id: newID(), method: http.MethodPost, host: host, path: "/sign/entry", body: "entry=1", deadline: deadline}
}

// newOften returns a request of the route often.
func newOften() request {
	return request{id: newID(), method: http.MethodGet, host: host, path: "/look/entry", deadline: deadline}
}

// begin publishes the first configuration and starts the nodes.
func (f *fleet) begin(services ...string) error {
	if err := f.build(services...); err != nil {
		return err
	}
	f.store.publish([]route{once, often}, []string{desk, ledger, vault})
	return f.startNodes()
}

// playResetResend resets half of the connections of one machine of ten, several times, while
// clients send requests that must run at most once, have no body and bear an idempotency key
// of the client's own.
func playResetResend(f *fleet) (bool, error) {
	services := []string{desk, desk, desk, desk, ledger, ledger, ledger, vault, vault, vault}
	if err := f.build(services...); err != nil {
		return false, err
	}
	f.store.publish([]route{once, often}, []string{desk, ledger, vault})
	m := f.machine("ledger-1")
	link, err := m.link()
	if err != nil {
		return false, err
	}
	defer link.close()
	for _, o := range f.machines {
		o.server.work = func(*http.Request) time.Duration { return 150 * time.Millisecond }
	}
	if err := f.startNodes(); err != nil {
		return false, err
	}
	t := f.newTraffic()
	for _, name := range []string{"desk-1", "desk-2", "desk-3", "desk-4"} {
		t.offer(f.machine(name), 8, func() request {
			return request{
				id: newID(), method: http.MethodPost, host: host, path: "/sign/confirm", deadline: deadline,
				header: map[string]string{"X-Idempotency-Key": newID()},
			}
		})
	}
	time.Sleep(4 * time.Second)
	for range 8 {
		if f.trouble {
			f.log.printf("%d connections of %s are reset", link.reset(0.5), m.name)
		}
		time.Sleep(3 * time.Second)
	}
	sent := t.end()
	f.countStatus(sent)
	twice, refused := f.judgeRuns(sent)
	f.log.printf("%d requests ran more than once, %d ran though they were answered as not run", twice, refused)
	return twice > 0, nil
}

const (
	// drainBound, stability and leaveTime are the bound drain, the bound stability, and how
	// long the leaving server goes on: drain and a little longer, at times many seconds.
	drainBound = 2 * time.Second
	stability  = 3 * time.Second
	leaveTime  = 12 * time.Second
)

// judgeDrain counts the requests that reach a server later than drain after its leaving was
// acknowledged, once the machine is in touch.
func (f *fleet) judgeDrain(m *machine, acknowledged, inTouch time.Time, sent []exchange) int {
	late, lost := 0, 0
	for _, e := range sent {
		for _, r := range f.runs.of(e.request.id) {
			if r.server != m.name || !r.at.After(acknowledged.Add(drainBound)) || !r.at.After(inTouch) {
				continue
			}
			late++
			if e.reply.status != http.StatusOK {
				lost++
			}
			f.log.printf("DRAIN: %s reaches %s %s after its leaving was acknowledged; the client got %d", e.request.id, r.server, r.at.Sub(acknowledged), e.reply.status)
		}
	}
	f.log.printf("%d of them were at work when the server exited, and got no answer of it", lost)
	return late
}

// leaveTraffic offers requests of both routes from both desks.
func (f *fleet) leaveTraffic() *traffic {
	t := f.newTraffic()
	for _, name := range []string{"desk-1", "desk-2"} {
		t.offer(f.machine(name), 8, newOnce)
		t.offer(f.machine(name), 8, newOften)
	}
	return t
}

// playLateHeartbeat restarts the node beside a server that leaves soon after, and whose last
// heartbeat arrives two seconds late.
func playLateHeartbeat(f *fleet) (bool, error) {
	if err := f.begin(desk, desk, ledger, ledger, ledger); err != nil {
		return false, err
	}
	for _, o := range f.machines {
		o.server.work = func(*http.Request) time.Duration { return 200 * time.Millisecond }
	}
	m := f.machine("ledger-1")
	t := f.leaveTraffic()
	time.Sleep(3 * time.Second)
	started := time.Now()
	if f.trouble {
		m.signal(syscall.SIGTERM)
		m.awaitExit(6 * time.Second)
		m.server.endHeartbeats()
		time.Sleep(500 * time.Millisecond)
		started = time.Now()
		if err := m.startNode(); err != nil {
			return false, err
		}
		if err := m.awaitReady(5 * time.Second); err != nil {
			return false, err
		}
	}
	// The next heartbeat is the last one before the server leaves, and late.
	m.server.endHeartbeats()
	late := m.server.nextBeat("ready")
	f.log.printf("server %s sends a heartbeat, which will be late: %s", m.name, late)
	arrives := time.Now().Add(2 * time.Second)
	time.Sleep(300 * time.Millisecond)
	if !m.server.tell("deregister", []byte("{}")) {
		f.log.printf("the deregistration was not acknowledged")
		return false, errNotAcknowledged
	}
	acknowledged := time.Now()
	m.server.setState("draining")
	time.Sleep(time.Until(arrives))
	m.server.tell("heartbeat", late)
	time.Sleep(time.Until(acknowledged.Add(leaveTime)))
	f.log.printf("server %s exits with %d requests at work", m.name, m.server.present.Load())
	m.server.close()
	time.Sleep(2 * time.Second)
	sent := t.end()
	f.countStatus(sent)
	count := f.judgeDrain(m, acknowledged, started.Add(stability), sent)
	f.log.printf("%d requests reached %s later than drain after its leaving was acknowledged", count, m.name)
	return count > 0, nil
}

// newUpload returns an upload in chunks that is longer than what a node keeps for another attempt,
// and well within the configuration's maxBodyBytes. No two parts of its body are equal.
func newUpload() request {
	const least, spread, line = 1_200_000, 800_000, 16
	size := least + rand.IntN(spread)
	var body strings.Builder
	for i := 0; body.Len() < size; i++ {
		fmt.Fprintf(&body, "%0*d\n", line-1, i)
	}
	return request{id: newID(), method: http.MethodPost, host: host, path: "/store/film", deadline: deadline, body: body.String(), chunked: true}
}

const (
	// earlyShare is the share of the long requests that a faulty server rejects early, and
	// earlyTime for how long it does so: the doses of the site's day trouble-2.
	earlyShare = 0.4
	earlyTime  = 6 * time.Second
)

// playEarlyRejection lets two of three servers reject long requests before they are in.
func playEarlyRejection(f *fleet) (bool, error) {
	if err := f.build(desk, desk, vault, vault, vault); err != nil {
		return false, err
	}
	store := route{host: host, prefix: "/store/", kind: "upload", service: vault}
	f.store.publish([]route{store}, []string{desk, vault})
	var faulty atomic.Bool
	for _, name := range []string{"vault-1", "vault-2"} {
		s := f.machine(name).server
		s.early = func(c *serverConn, req *http.Request) (bool, bool) {
			if !faulty.Load() || req.Method != http.MethodPost || rand.Float64() >= earlyShare {
				return false, false
			}
			return true, s.rejectEarly(c, req)
		}
	}
	for _, m := range f.machines {
		link, err := m.link()
		if err != nil {
			return false, err
		}
		defer link.close()
	}
	if err := f.startNodes(); err != nil {
		return false, err
	}
	t := f.newTraffic()
	t.offer(f.machine("desk-1"), 6, newUpload)
	t.offer(f.machine("desk-2"), 6, newUpload)
	for range 5 {
		time.Sleep(2 * time.Second)
		faulty.Store(f.trouble)
		f.log.printf("long requests are rejected early: %t", f.trouble)
		time.Sleep(earlyTime)
		faulty.Store(false)
	}
	time.Sleep(time.Second)
	sent := t.end()
	f.countStatus(sent)
	changed := 0
	for _, e := range sent {
		for _, r := range f.runs.of(e.request.id) {
			if r.body == bodySum(e.request.body) {
				continue
			}
			changed++
			f.log.printf("UNASKED: %s was sent with %d bytes and ran at %s with %d others; the client got %d, signature %q",
				e.request.id, len(e.request.body), r.server, r.bodyBytes, e.reply.status, e.reply.signature)
		}
	}
	twice, refused := f.judgeRuns(sent)
	f.log.printf("%d uploads ran with another body, %d ran twice, %d ran and were answered as not run", changed, twice, refused)
	return changed > 0, nil
}

// rejectEarly answers a request before its body is in, keeps the connection and reads on.
func (s *server) rejectEarly(c *serverConn, req *http.Request) bool {
	id := req.Header.Get("X-Request-Id")
	s.m.fleet.log.printf("server %s rejects %s before it is in", s.m.name, id)
	if c.answer(http.StatusServiceUnavailable, map[string]string{"X-Request-Id": id, "X-Not-Executed": "1", "X-Server-Load": s.load()}, "") != nil {
		return false
	}
	_, err := io.Copy(io.Discard, req.Body)
	return err == nil
}

const (
	// lossMillionths and lossTime are the doses of the site file: 0.025 of the packets, for 5.5 s.
	lossMillionths = 25_000
	lossTime       = 5500 * time.Millisecond
	losses         = 11
	// usualRate is how many entries a second the clients of a machine send at usual times.
	// keptClients send lookups on connections that they keep, keptPause after the last one. Together
	// they take two thirds of what the four servers can run.
	usualRate   = 17
	keptClients = 24
	keptPause   = 900 * time.Millisecond
	// lostLimit is how many requests LOST allows.
	lostLimit = 3
)

// newEntry returns a request of the route once that differs from all others, with a body of 1.2 to
// 7.2 KB.
func newEntry() request {
	return request{
		id: newID(), method: http.MethodPost, host: host, path: "/sign/" + newID(), deadline: deadline,
		body: strings.Repeat("entry=1&", 150+rand.IntN(750)),
	}
}

// playLossy lets the links between zone amman-a, where the desks are, and amman-b, where the ledgers
// are, lose packets. The traffic is the usual one all the while.
func playLossy(f *fleet) (bool, error) {
	if err := f.build(desk, ledger, desk, ledger, desk, ledger, desk, ledger); err != nil {
		return false, err
	}
	f.store.publish([]route{once, often}, []string{desk, ledger, vault})
	for _, m := range f.machines {
		m.server.work = func(*http.Request) time.Duration {
			return time.Duration(40+rand.IntN(50)) * time.Millisecond
		}
		link, err := m.link()
		if err != nil {
			return false, err
		}
		defer link.close()
	}
	if err := f.startNodes(); err != nil {
		return false, err
	}
	t := f.newTraffic()
	stop := make(chan struct{})
	var restarts sync.WaitGroup
	var ended atomic.Int64
	for _, m := range f.machines {
		t.offerRetrying(m, usualRate, newEntry)
		if m.service == ledger {
			t.keepSending(m, keptClients, keptPause, func() request {
				r := newOften()
				r.path += newID()
				return r
			})
		}
		restarts.Go(func() { m.restartUntil(stop, &ended) })
	}
	time.Sleep(3 * time.Second)
	for range losses {
		f.log.printf("packets between the zones are lost: %t", f.trouble)
		for _, m := range f.machines {
			if f.trouble {
				m.relay.loss.Store(lossMillionths)
			}
		}
		time.Sleep(lossTime)
		for _, m := range f.machines {
			m.relay.loss.Store(0)
		}
		time.Sleep(2 * time.Second)
	}
	sent := t.end()
	close(stop)
	restarts.Wait()
	f.countStatus(sent)
	lost := 0
	for _, e := range sent {
		if e.kept && e.reply.status == 0 && e.machine.ownEnds > 0 && len(f.runs.of(e.request.id)) > 0 {
			lost++
			f.log.printf("LOST: %s ran, and the connection of its client at %s ended without an answer: %v", e.request.id, e.machine.name, e.reply.err)
		}
	}
	f.log.printf("%d processes ended by themselves; %d requests from kept connections ran and got no answer", ended.Load(), lost)
	return ended.Load() > 0 && lost > lostLimit, nil
}
