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
	dialTimeout = time.Second
	// maxIdleTime is how long an idle connection is kept: less than most servers do,
	// since one that closes under a request leaves its outcome unknown.
	maxIdleTime = 4 * time.Second
	// maxIdleTimeKeyed is how long a connection may have been idle for a request that
	// must run at most once: a server may have forgotten one that idled for longer.
	maxIdleTimeKeyed = 500 * time.Millisecond
)

// pool keeps connections to the upstream. Unlike http.Transport it owns what comes
// after an answer: a connection with unread bytes, or with a body that was not sent
// to its end, is never used again.
type pool struct {
	// tokens holds a token for each connection in use, or is nil without a bound.
	tokens chan struct{}
	maxInUse  int

	mu   sync.Mutex
	idle []*connection
}

// newPool returns a pool of at most so many connections in use; zero sets no bound.
func newPool(connections int) *pool {
	p := &pool{maxInUse: connections}
	if connections > 0 {
		p.tokens = make(chan struct{}, connections)
	}
	return p
}

// get returns a connection to address that has not been idle for longer than
// allowed, or a new one.
func (p *pool) get(ctx context.Context, address string, allowed time.Duration) (*connection, error) {
	if p.tokens != nil {
		select {
		case p.tokens <- struct{}{}:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	if c := p.takeIdle(address, allowed); c != nil {
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

func (p *pool) release() {
	if p.tokens != nil {
		<-p.tokens
	}
}

// takeIdle returns the connection that was used last, or nil.
func (p *pool) takeIdle(address string, allowed time.Duration) *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for len(p.idle) > 0 {
		c := p.idle[len(p.idle)-1]
		if c.address == address && now.Before(c.idleUntil) && now.Sub(c.idleSince) > allowed {
			// The others have been idle for longer.
			return nil
		}
		p.idle = p.idle[:len(p.idle)-1]
		if c.address == address && now.Before(c.idleUntil) && c.openAndSilent() {
			c.reused = true
			return c
		}
		_ = c.conn.Close()
	}
	return nil
}

// put keeps a connection for the next request.
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

// closeIdle closes the connections that are not in use.
func (p *pool) closeIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle {
		_ = c.conn.Close()
	}
	p.idle = nil
}

// RoundTrip sends a request that any answer belongs to.
func (p *pool) RoundTrip(req *http.Request) (*http.Response, error) {
	exchange := exchange{pool: p, address: req.URL.Host, maxIdle: maxIdleTime}
	return exchange.run(req)
}
