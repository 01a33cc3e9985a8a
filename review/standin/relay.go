package main

import (
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// relay is the link to a node: it passes connections and datagrams on to the node's listener for
// its peers, and can reset connections.
type relay struct {
	target string
	// delay is the link's delay, one way.
	delay time.Duration

	mu    sync.Mutex
	pairs map[*net.TCPConn]*net.TCPConn

	listener net.Listener
	packets  net.PacketConn
}

// link puts a relay before a machine's listener for its peers, with the delay between zones.
func (m *machine) link() (*relay, error) {
	const betweenZones = 1400 * time.Microsecond
	m.announced = "127.0.8" + m.ip[len("127.0.7"):] + m.address(portPeers)[len(m.ip):]
	return newRelay(m.announced, m.address(portPeers), betweenZones)
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
	go r.copy(to, from)
	r.copy(from, to)
	r.mu.Lock()
	delete(r.pairs, from)
	r.mu.Unlock()
}

// copy passes bytes on, each after the link's delay.
func (r *relay) copy(to, from *net.TCPConn) {
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
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			parts <- part{append([]byte(nil), buffer[:n]...), time.Now().Add(r.delay)}
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
