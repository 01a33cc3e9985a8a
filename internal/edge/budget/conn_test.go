package budget

import (
	"bytes"
	"net"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against a part of a head that stays booked for ever because the connection was closed while it was
// drawn.
func TestHeadOfClosedConnectionIsReleased(t *testing.T) {
	b := New(16 * megabyte)
	c, _ := newConn(b, Limits{}, nil)
	qt.Assert(t, c.Close(), qt.IsNil)
	err := c.received(bytes.Repeat([]byte{'a'}, 2*freeHeadBytes))
	qt.Check(t, err, qt.ErrorIs, net.ErrClosed)
	qt.Check(t, b.UsedBytes(), qt.Equals, int64(0))
}
