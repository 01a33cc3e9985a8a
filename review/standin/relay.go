package main

import (
	"bytes"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// packetBytes is what a packet carries of a connection, and retransmitTime the least time
	// after which Linux sends a lost one again.
	packetBytes    = 1448
	retransmitTime = 200 * time.Millisecond
)

// relay is the link to a node: it passes connections and datagrams on to the node's listener for
// its peers, and can reset connections.
type relay struct {
	target string
	// delay is the link's delay, one way.
	delay time.Duration
	// loss is the share of packets that are lost, in millionths; TCP sends a lost one again
	// after retransmitTime, and what follows it waits.
	loss atomic.Int64

	mu    sync.Mutex
	pairs map[*net.TCPConn]*net.TCPConn

	listener net.Listener
	packets  net.PacketConn
}

// link puts a relay before a machine's listener for its peers, with the delay between zones.
func (m *machine) link() (*relay, error) {
	const betweenZones = 1400 * time.Microsecond
	m.announced = "127.0.8" + m.ip[len("127.0.7"):] + m.address(portPeers)[len(m.ip):]
	var err error
	m.relay, err = newRelay(m.announced, m.address(portPeers), betweenZones)
	return m.relay, err
}

// newRelay listens on address, for TCP and UDP.
func newRelay(address, target string, delay time.Duration) (*relay, error) {
	r := &relay{target: target, delay: delay, pairs: map[*net.TCPConn]*net.TCPConn{}}
	var err error
	if r.listener, err = net.Listen("tcp", address); err != nil {
		return nil, err
	}
	if r.packets, err = net.ListenPacket("udp", address); err != nil {
		return nil, err
	}
	go r.passConnections()
	go r.passDatagrams()
	return r, nil
}

func (r *relay) passConnections() {
	for {
		accepted, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.pass(accepted.(*net.TCPConn))
	}
}

// pass copies both ways until one side ends.
func (r *relay) pass(from *net.TCPConn) {
	dialed, err := net.DialTimeout("tcp", r.target, time.Second)
	if err != nil {
		_ = from.SetLinger(0)
		_ = from.Close()
		return
	}
	to := dialed.(*net.TCPConn)
	r.mu.Lock()
	r.pairs[from] = to
	r.mu.Unlock()
	var otherZone atomic.Bool
	go r.copy(to, from, &otherZone)
	r.copy(from, to, &otherZone)
	r.mu.Lock()
	delete(r.pairs, from)
	r.mu.Unlock()
}

// copy passes bytes on, each after the link's delay. otherZone is set once the connection carries a
// request from the other zone, whose links can lose packets: the desks are in one zone, and the
// ledgers in the other.
func (r *relay) copy(to, from *net.TCPConn, otherZone *atomic.Bool) {
	type part struct {
		data []byte
		due  time.Time
	}
	parts := make(chan part, 1024)
	written := make(chan struct{})
	go func() {
		defer close(written)
		for p := range parts {
			time.Sleep(time.Until(p.due))
			if _, err := to.Write(p.data); err != nil {
				_ = from.Close()
			}
		}
	}()
	buffer := make([]byte, 32<<10)
	var due time.Time
	for {
		n, err := from.Read(buffer)
		if bytes.Contains(buffer[:n], []byte("X-Caller-Service: "+desk+"\r\n")) {
			otherZone.Store(true)
		}
		for at := 0; at < n; at += packetBytes {
			arrives := time.Now().Add(r.delay)
			if otherZone.Load() && rand.Int64N(1e6) < r.loss.Load() {
				arrives = arrives.Add(retransmitTime)
			}
			if arrives.After(due) {
				due = arrives
			}
			parts <- part{append([]byte(nil), buffer[at:min(n, at+packetBytes)]...), due}
		}
		if err != nil {
			break
		}
	}
	close(parts)
	<-written
	_ = to.Close()
	_ = from.Close()
}

func (r *relay) passDatagrams() {
	to, err := net.Dial("udp", r.target)
	if err != nil {
		return
	}
	buffer := make([]byte, 64<<10)
	for {
		n, _, err := r.packets.ReadFrom(buffer)
		if err != nil {
			return
		}
		_, _ = to.Write(buffer[:n])
	}
}

// reset resets a share of the open connections, at both ends, and returns how many.
func (r *relay) reset(share float64) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all []*net.TCPConn
	for from := range r.pairs {
		all = append(all, from)
	}
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	chosen := all[:int(share*float64(len(all)))]
	for _, from := range chosen {
		to := r.pairs[from]
		_ = from.SetLinger(0)
		_ = to.SetLinger(0)
		_ = from.Close()
		_ = to.Close()
	}
	return len(chosen)
}

func (r *relay) close() {
	_ = r.listener.Close()
	_ = r.packets.Close()
}
