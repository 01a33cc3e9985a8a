package peer

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// silentTime is how long sent bytes may stay unacknowledged: two losses in a row between
// regions, and less than most callers' patience.
const silentTime = 600 * time.Millisecond

// peerKeepAlive finds connections that died without a word while nothing was sent.
var peerKeepAlive = net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: 500 * time.Millisecond, Count: 2}

// socketControl sets options of a socket before it is connected.
type socketControl func(network, address string, raw syscall.RawConn) error

// limitSilence lets a socket's connections fail when sent bytes stay unacknowledged, or
// when the receiver takes no more of them.
func limitSilence(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silentTime.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}
