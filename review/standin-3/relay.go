package main

import (
	"net"
	"sync"
	"time"
)

// link is a relay in front of an address that delays what passes, as a link between two regions does.
type link struct {
	address, target string
	// delay is the one-way delay.
	delay time.Duration

	mu sync.Mutex
	// usedAt is when bytes last came from the machine.
	usedAt time.Time
}

// quietFor returns how long the machine has sent nothing.
func (l *link) quietFor() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Since(l.usedAt)
}

func (l *link) used() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.usedAt = time.Now()
}

func (l *link) run() error {
	listener, err := net.Listen("tcp", l.address)
	if err != nil {
		return err
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go l.serve(conn)
		}
	}()
	return nil
}

type chunk struct {
	data []byte
	at   time.Time
}

// serve relays one connection. The handshake takes a round trip: a sender that ends within it has sent nothing.
func (l *link) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	established := time.Now().Add(2 * l.delay)
	from := make(chan chunk, 1024)
	go read(conn, from, l.used)
	var early []chunk
	timer := time.After(time.Until(established))
	for waiting := true; waiting; {
		select {
		case c, ok := <-from:
			if !ok {
				return
			}
			c.at = established
			early = append(early, c)
		case <-timer:
			waiting = false
		}
	}
	target, err := net.Dial("tcp", l.target)
	if err != nil {
		return
	}
	defer func() { _ = target.Close() }()
	to := make(chan chunk, 1024)
	go read(target, to, func() {})
	go func() {
		l.write(conn, to)
		_ = conn.Close()
	}()
	for _, c := range early {
		time.Sleep(time.Until(c.at.Add(l.delay)))
		if _, err := target.Write(c.data); err != nil {
			return
		}
	}
	l.write(target, from)
}

// read sends what arrives on a connection to out, and closes it at the end.
func read(conn net.Conn, out chan<- chunk, arrived func()) {
	defer close(out)
	for {
		data := make([]byte, 32<<10)
		n, err := conn.Read(data)
		if n > 0 {
			arrived()
			out <- chunk{data: data[:n], at: time.Now()}
		}
		if err != nil {
			return
		}
	}
}

func (l *link) write(conn net.Conn, in <-chan chunk) {
	for c := range in {
		time.Sleep(time.Until(c.at.Add(l.delay)))
		if _, err := conn.Write(c.data); err != nil {
			return
		}
	}
	time.Sleep(l.delay)
}
