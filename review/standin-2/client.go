package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// call is one attempt of a client and its answer.
type call struct {
	id, machine string
	method      string
	sent        time.Duration
	// status is zero without an answer.
	status  int
	whole   bool
	signed  bool
	ended   time.Duration
	failure string
}

// clients are the clients on one machine.
type clients struct {
	machine *machine
	client  *http.Client
	mu      sync.Mutex
	calls   []*call
	work    sync.WaitGroup
}

var lastID atomic.Uint64

func newClients(m *machine) *clients {
	return &clients{machine: m, client: &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 64, IdleConnTimeout: 12 * time.Second, DisableCompression: true,
	}}}
}

// request sends one attempt and waits for its answer or its deadline.
func (c *clients) request(method, host, path, key string, body io.Reader, deadline time.Duration) *call {
	m := c.machine
	k := &call{id: fmt.Sprintf("%08x%08x", rand.Uint32(), lastID.Add(1)), machine: m.name, method: method, sent: m.fleet.rec.now()}
	c.mu.Lock()
	c.calls = append(c.calls, k)
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+m.address("outbound")+path, body)
	if err != nil {
		k.failure = err.Error()
		return k
	}
	req.Host = host
	req.Header.Set("X-Request-Id", k.id)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	if key != "" {
		req.Header.Set("Authorization", "Token "+key)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		k.failure, k.ended = err.Error(), m.fleet.rec.now()
		return k
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	k.status, k.ended = resp.StatusCode, m.fleet.rec.now()
	wantBody, wantSignature := bodyFor(k.id)
	k.whole = err == nil && string(data) == wantBody
	k.signed = resp.Header.Get("X-Response-Signature") == wantSignature
	return k
}

// offer sends requests at a rate until the stop time, each at its own moment.
func (c *clients) offer(perSecond float64, until func() bool, send func()) {
	interval := time.Duration(float64(time.Second) / perSecond)
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for !until() {
		<-ticker.C
		c.work.Add(1)
		go func() {
			defer c.work.Done()
			send()
		}()
	}
}
