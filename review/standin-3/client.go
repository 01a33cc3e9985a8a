package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// answerRecord is what a client got for a request.
type answerRecord struct {
	id, node  string
	sent      time.Duration
	ended     time.Duration
	status    int
	signature string
	whole     bool
}

// clients send requests to the machines' nodes.
type clients struct {
	fleet *fleet
	rec   *recorder
	// interval is the time between two requests of one client.
	interval time.Duration

	sequence atomic.Int64
	mu       sync.Mutex
	answers  []answerRecord
}

// run lets one client on each machine send requests of a route until the context ends.
func (c *clients) run(ctx context.Context, method, host, path string, bodyBytes int) {
	var work sync.WaitGroup
	for _, m := range c.fleet.machines {
		work.Go(func() {
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4, DisableCompression: true}}
			ticker := time.NewTicker(c.interval)
			defer ticker.Stop()
			for {
				select {
				case <-ctx.Done():
					return
				case <-ticker.C:
					c.send(client, m, method, host, path, bodyBytes)
				}
			}
		})
	}
	work.Wait()
}

func (c *clients) send(client *http.Client, m *machine, method, host, path string, bodyBytes int) {
	id := fmt.Sprintf("%016x", 0x9c41000000000000+uint64(c.sequence.Add(1)))
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	var body io.Reader
	if bodyBytes > 0 {
		body = bytes.NewReader(bytes.Repeat([]byte("b"), bodyBytes))
	}
	req, _ := http.NewRequestWithContext(ctx, method, "http://"+m.outboundAddr()+path, body)
	req.Host = host
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Deadline-Ms", "1000")
	record := answerRecord{id: id, node: m.name, sent: elapsed()}
	c.rec.printf("client on %s sends %s", m.name, id)
	resp, err := client.Do(req)
	if err == nil {
		data, readErr := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		record.status, record.signature = resp.StatusCode, resp.Header.Get("X-Response-Signature")
		record.whole = readErr == nil && string(data) == "answer to "+id
	}
	record.ended = elapsed()
	c.rec.printf("client on %s got %d for %s (signature %q)", m.name, record.status, id, record.signature)
	c.mu.Lock()
	c.answers = append(c.answers, record)
	c.mu.Unlock()
}

// sentAfter reports whether a request was sent after a time.
func (c *clients) sentAfter(id string, at time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, a := range c.answers {
		if a.id == id {
			return a.sent > at
		}
	}
	return false
}

// served returns how many requests sent after a time got a success.
func (c *clients) served(after time.Duration) (served, all int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, a := range c.answers {
		if a.sent < after {
			continue
		}
		all++
		if a.status == http.StatusOK && a.whole {
			served++
		}
	}
	return served, all
}
