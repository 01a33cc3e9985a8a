package peer

import (
	"context"
	"net"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"
)

// A request counts as never sent only if it got no connection: one that breaks at once may have carried it.
func TestRequestCountsAsSentOnceItHasAConnection(t *testing.T) {
	c := qt.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_ = conn.Close()
		}
	}()
	send := func() bool {
		ctx, connected := TraceConnection(context.Background())
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+listener.Addr().String()+"/", http.NoBody)
		c.Assert(err, qt.IsNil)
		_, err = (&http.Transport{}).RoundTrip(req)
		c.Assert(err, qt.IsNotNil)
		return connected.Load()
	}
	c.Assert(send(), qt.IsTrue)
	c.Assert(listener.Close(), qt.IsNil)
	c.Assert(send(), qt.IsFalse)
}
