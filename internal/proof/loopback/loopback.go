package loopback

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"syscall"
)

const (
	// firstPort and ports bound the given ports. They lie below those that the kernel gives to outgoing
	// connections, which could take one between its reservation and its use.
	firstPort = 11_000
	ports     = 20_000
	// maxTries limits the ports that are tried for one address.
	maxTries = 1000
	// host is the host of the given addresses. A listener at the same port of reservationHost tells the tests
	// of other packages that a port is reserved.
	host            = "127.0.0.1"
	reservationHost = "127.0.0.2"
)

// reservations holds the listeners at reservationHost, which last as long as the process.
var reservations struct {
	sync.Mutex
	listeners []net.Listener
}

// probe makes the os package test now what the kernel can do. It would do so with the first process that is started,
// by a child that is made without syscall.ForkLock.
var probe = sync.OnceFunc(func() { _, _ = os.FindProcess(os.Getpid()) })

// Reserve returns an address that is free for TCP and UDP, and that no other call returns while this process runs.
func Reserve() (string, error) {
	probe()
	for range maxTries {
		port := firstPort + rand.IntN(ports)
		reservation, err := net.Listen("tcp", fmt.Sprintf("%s:%d", reservationHost, port))
		if err != nil {
			continue
		}
		reservations.Lock()
		reservations.listeners = append(reservations.listeners, reservation)
		reservations.Unlock()
		if address := fmt.Sprintf("%s:%d", host, port); free(address) {
			return address, nil
		}
	}
	return "", errors.New("no loopback address is free for TCP and UDP")
}

// free reports whether nobody listens at address. Until a process that is started meanwhile has replaced its
// program, it holds the listeners that were open at its start, so none is started then.
func free(address string) bool {
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	defer func() { _ = listener.Close() }()
	packets, err := net.ListenPacket("udp", address)
	if err != nil {
		return false
	}
	_ = packets.Close()
	return true
}
