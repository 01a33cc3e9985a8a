package node

import (
	"net"
	"net/http"
	"sync"
)

// unusedConnections are the connections on which no request has come yet. A server that
// shuts down would wait for them as if they were in use.
type unusedConnections struct {
	mu    sync.Mutex
	conns map[net.Conn]bool
}

// note follows a server's connections.
func (u *unusedConnections) note(conn net.Conn, state http.ConnState) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if state != http.StateNew {
		delete(u.conns, conn)
		return
	}
	if u.conns == nil {
		u.conns = map[net.Conn]bool{}
	}
	u.conns[conn] = true
}

// closeAll closes them.
func (u *unusedConnections) closeAll() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for conn := range u.conns {
		_ = conn.Close()
	}
}
