package peer

import (
	"context"
	"net"
	"sync/atomic"
)

// ByteCounter counts the bytes of the connections that it dials.
type ByteCounter struct {
	bytes atomic.Int64
}

// Bytes returns how many bytes were sent and received.
func (b *ByteCounter) Bytes() int64 { return b.bytes.Load() }

// Dial connects and counts what the connection carries.
func (b *ByteCounter) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := &net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: conn, counter: b}, nil
}

type countedConn struct {
	net.Conn
	counter *ByteCounter
}

// Read reads and counts.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counter.bytes.Add(int64(n))
	return n, err
}

// Write writes and counts.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counter.bytes.Add(int64(n))
	return n, err
}
