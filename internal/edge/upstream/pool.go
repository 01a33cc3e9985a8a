package upstream

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	// dialTimeout limits connecting to the upstream.
	dialTimeout = time.Second
	// maxIdleTime is how long an idle connection is kept. Most servers keep it longer: if the
	// server closes it while a request is sent, the request's outcome is unknown.
	maxIdleTime = 4 * time.Second
	// maxIdleTimeKeyed is the longest idle time of a connection that carries a request that
	// must run at most once. The guard never resends such a request, and the server may have dropped
	// a connection that was idle for longer.
	maxIdleTimeKeyed = 500 * time.Millisecond
)

// pool holds the idle connections to the upstream and limits those in use. Unlike
// http.Transport, it never reuses a connection that has unread bytes after an answer or on
// which a request's body was not sent to its end.
type pool struct {
	// tokens holds a token for each connection in use; nil means no limit.
	tokens chan struct{}
	// maxInUse is the limit on connections in use; zero means no limit.
	maxInUse int

	mu sync.Mutex
	// idle is sorted by idle time, the most recently used connection last.
	idle []*connection
}

// newPool returns a pool that limits the connections in use; zero means no limit.
func newPool(connections int) *pool {
	p := &pool{maxInUse: connections}
	if connections > 0 {
		p.tokens = make(chan struct{}, connections)
	}
	return p
}

// get returns an idle connection to address that has been idle for at most maxIdle and has not
// carried the request, or else a new one. It blocks while the limit of connections in use is
// reached. On success, the caller must call release after use.
func (p *pool) get(ctx context.Context, address, requestID string, maxIdle time.Duration) (*connection, error) {
	if p.tokens != nil {
		select {
		case p.tokens <- struct{}{}:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	if c := p.takeIdle(address, requestID, maxIdle); c != nil {
		return c, nil
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		p.release()
		return nil, err
	}
	return newConnection(p, conn, address), nil
}

// release ends the use of one connection.
func (p *pool) release() {
	if p.tokens != nil {
		<-p.tokens
	}
}

// takeIdle returns the most recently used connection to address that is still usable, has been idle
// for at most maxIdle and has not carried the request, or nil. It closes the unusable ones that it meets.
func (p *pool) takeIdle(address, requestID string, maxIdle time.Duration) *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for i := len(p.idle) - 1; i >= 0; i-- {
		c := p.idle[i]
		usable := c.address == address && now.Before(c.idleUntil)
		if usable && now.Sub(c.idleSince) > maxIdle {
			// The remaining connections have been idle even longer.
			break
		}
		if usable && c.hasCarried(requestID) {
			continue
		}
		p.idle = slices.Delete(p.idle, i, i+1)
		if usable && c.openAndSilent() {
			c.reused = true
			return c
		}
		_ = c.conn.Close()
	}
	p.makeRoom()
	return nil
}

// makeRoom closes the connection that has been idle longest if a new one would exceed the limit: the
// upstream counts idle connections, too.
func (p *pool) makeRoom() {
	if p.tokens == nil || len(p.idle) == 0 || len(p.idle)+len(p.tokens) <= p.maxInUse {
		return
	}
	_ = p.idle[0].conn.Close()
	p.idle = slices.Delete(p.idle, 0, 1)
}

// put adds a connection to the idle ones and closes those that have expired.
func (p *pool) put(c *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.idleSince = time.Now()
	c.idleUntil = c.idleSince.Add(min(maxIdleTime, c.keepAlive))
	p.idle = slices.DeleteFunc(p.idle, func(o *connection) bool {
		if c.idleSince.Before(o.idleUntil) {
			return false
		}
		_ = o.conn.Close()
		return true
	})
	p.idle = append(p.idle, c)
}

// closeIdle closes all idle connections.
func (p *pool) closeIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle {
		_ = c.conn.Close()
	}
	p.idle = nil
}

// RoundTrip sends a request and accepts any answer as its own.
func (p *pool) RoundTrip(req *http.Request) (*http.Response, error) {
	exchange := exchange{pool: p, address: req.URL.Host, maxIdle: maxIdleTime}
	return exchange.run(req)
}
