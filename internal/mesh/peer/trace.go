package peer

import (
	"context"
	"net/http/httptrace"
	"sync/atomic"
)

// TraceConnection returns a context for one request and a flag that tells whether
// the request got a connection: without one, nothing of it was sent.
func TraceConnection(ctx context.Context) (context.Context, *atomic.Bool) {
	connected := &atomic.Bool{}
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	return httptrace.WithClientTrace(ctx, trace), connected
}
