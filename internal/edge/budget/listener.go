package budget

import (
	"net"
	"sync"
	"time"
)

const (
	// sweepPeriod is how often heads and idle connections are compared with their time limits.
	sweepPeriod = 250 * time.Millisecond
	// headGrace is how long a head may take while connections are short, and idleGrace how
	// long a connection may be idle then. A head of legal size is a few packets.
	headGrace = 500 * time.Millisecond
	idleGrace = 2 * time.Second
	// nearHeadGrace is headGrace for clients of the class Others, which are on the same machine or send small
	// requests now and then. Their listeners have few connections, and a heartbeat waits behind
	// all that connected before it.
	nearHeadGrace = 100 * time.Millisecond
	// victimPeriod is how often a new connection that waits for room looks for one to close.
	victimPeriod = 50 * time.Millisecond
)

// Limits are limits on a client's connection; those that are zero don't apply.
type Limits struct {
	// HeadTime bounds the time until a head is complete, and IdleTime that between two requests.
	HeadTime, IdleTime time.Duration
	// HeadBytes bounds the length of a head. A longer one is answered in plain text, so the listener
	// must not be below TLS.
	HeadBytes int64
}

// Listener accepts clients' connections. Its exported fields are set before Accept.
type Listener struct {
	net.Listener
	// Budget is drawn on by the connections.
	Budget *Budget
	// Class is the kind of the clients.
	Class Class
	// MaxConnections bounds the open connections; one more waits.
	MaxConnections int
	// CloseStandstill closes a connection that stands still when another one waits.
	CloseStandstill bool
	// Limits returns the present limits on connections; nil sets none.
	Limits func() Limits

	mu    sync.Mutex
	conns map[*Conn]bool
	// changed is closed and replaced whenever a connection was closed.
	changed chan struct{}
	done    chan struct{}
	once    sync.Once
}

// Start readies the listener; it must be called once before Accept.
func (l *Listener) Start() {
	l.conns = map[*Conn]bool{}
	l.changed = make(chan struct{})
	l.done = make(chan struct{})
	if l.Limits != nil {
		go l.sweepForever()
	}
}

// Accept returns the next connection once there is room for it.
func (l *Listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := l.add(conn)
	for !l.hasRoom() {
		l.mu.Lock()
		changed := l.changed
		l.mu.Unlock()
		if l.closeVictim(c) {
			continue
		}
		timer := time.NewTimer(victimPeriod)
		select {
		case <-changed:
		case <-timer.C:
		case <-l.done:
			timer.Stop()
			_ = c.Close()
			return nil, net.ErrClosed
		}
		timer.Stop()
	}
	return c, nil
}

// Close closes the listener; its connections stay.
func (l *Listener) Close() error {
	l.once.Do(func() { close(l.done) })
	return l.Listener.Close()
}

func (l *Listener) add(conn net.Conn) *Conn {
	c := &Conn{Conn: conn, budget: l.Budget, listener: l, since: l.Budget.Clock()}
	c.holder = holder{conn: c, class: l.Class, address: hostOf(conn.RemoteAddr())}
	l.Budget.mu.Lock()
	l.Budget.ledger.holders[&c.holder] = true
	l.Budget.mu.Unlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = true
	return c
}

func (l *Listener) remove(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *Listener) hasRoom() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns) <= l.MaxConnections
}

// snapshot returns the open connections.
func (l *Listener) snapshot() []*Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := make([]*Conn, 0, len(l.conns))
	for c := range l.conns {
		list = append(list, c)
	}
	return list
}

// closeVictim closes the connection that makes way for another one, if there is one.
func (l *Listener) closeVictim(newcomer *Conn) bool {
	if !l.CloseStandstill {
		return false
	}
	victim := l.victim(newcomer)
	if victim == nil {
		return false
	}
	victim.closeFor(CauseConnections)
	return true
}

// victim returns the connection that makes way for another one, or nil if each makes progress.
func (l *Listener) victim(newcomer *Conn) *Conn {
	list := l.snapshot()
	l.Budget.mu.Lock()
	defer l.Budget.mu.Unlock()
	now := l.Budget.Clock()
	var worst *Conn
	var most standstill
	for _, c := range list {
		if c == newcomer {
			continue
		}
		if s := c.standstill(now); s.worse(most) {
			worst, most = c, s
		}
	}
	return worst
}

// standstill is how a connection stands still; the zero value is one that doesn't.
type standstill struct {
	kind standstillKind
	time time.Duration
}

type standstillKind int

// The kinds of standstill, the worst last.
const (
	makesProgress standstillKind = iota
	isIdle
	sendsNothing
	sendsHeadSlowly
	sendsBodySlowly
)

// worse reports whether a connection should be closed before another one.
func (s standstill) worse(than standstill) bool {
	return s.kind > than.kind || (s.kind == than.kind && s.time > than.time)
}

// standstill returns how the connection stands still. The budget's lock must be held.
func (c *Conn) standstill(now time.Time) standstill {
	passed := now.Sub(c.since)
	grace := headGrace
	if c.holder.class == Others {
		grace = nearHeadGrace
	}
	switch {
	case c.phase == phaseHead && passed > grace:
		return standstill{sendsHeadSlowly, passed}
	case c.phase == phaseNew && passed > grace:
		return standstill{sendsNothing, passed}
	case c.phase == phaseIdle && passed > idleGrace:
		return standstill{isIdle, passed}
	case c.drains() && passed > progressWindow:
		return standstill{sendsBodySlowly, passed}
	case c.phase == phaseRunning && c.holder.readers > 0 && passed > progressWindow && c.holder.recent(now) < LeastRate:
		return standstill{sendsBodySlowly, passed}
	default:
		return standstill{}
	}
}

// sweepForever closes connections that exceed the time limits until the listener is closed.
func (l *Listener) sweepForever() {
	ticker := time.NewTicker(sweepPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-l.done:
			return
		case <-ticker.C:
			l.sweep()
		}
	}
}

// headLimit returns the limit on the length of a head; it is only looked up for a positive length.
func (l *Listener) headLimit(length int64) int64 {
	if length <= 0 || l.Limits == nil {
		return 0
	}
	return l.Limits().HeadBytes
}

func (l *Listener) sweep() {
	limits := l.Limits()
	for _, c := range l.snapshot() {
		l.Budget.mu.Lock()
		sending := c.phase == phaseHead || c.phase == phaseNew || c.drains()
		idle, passed := c.phase == phaseIdle, l.Budget.Clock().Sub(c.since)
		hijacked := c.hijacked
		l.Budget.mu.Unlock()
		switch {
		case hijacked:
			// Whoever took the connection over limits these times, and answers earlier requests first.
		case sending && limits.HeadTime > 0 && passed > limits.HeadTime:
			c.closeFor(CauseSlowHead)
		case idle && limits.IdleTime > 0 && passed > limits.IdleTime:
			c.closeFor(CauseIdle)
		}
	}
}

// hostOf returns the IP address of a client.
func hostOf(address net.Addr) string {
	if address == nil {
		return ""
	}
	host, _, err := net.SplitHostPort(address.String())
	if err != nil {
		return address.String()
	}
	return host
}
