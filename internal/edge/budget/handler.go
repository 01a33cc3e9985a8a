package budget

import (
	"context"
	"net"
	"net/http"
	"time"
)

type contextKey struct{}

// ConnContext adds a client's connection to the context of its requests; it is meant for http.Server.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	if c := unwrap(conn); c != nil {
		return context.WithValue(ctx, contextKey{}, c)
	}
	return ctx
}

// unwrap returns the client's connection below TLS, or nil.
func unwrap(conn net.Conn) *Conn {
	if wrapper, ok := conn.(interface{ NetConn() net.Conn }); ok {
		conn = wrapper.NetConn()
	}
	c, _ := conn.(*Conn)
	return c
}

// connOf returns the connection of the client whose request has the context, or nil.
func connOf(ctx context.Context) *Conn {
	c, _ := ctx.Value(contextKey{}).(*Conn)
	return c
}

// Handler returns a handler that marks the client's connection as running while next handles a request.
func Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if c := connOf(req.Context()); c != nil {
			c.begin()
			defer c.end()
		}
		next.ServeHTTP(w, req)
	})
}

// WholeBodies returns a handler for next, which collects bodies in memory: they are drawn from the budget
// and must arrive at LeastRate over the window.
func WholeBodies(next http.Handler, window time.Duration) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		c := connOf(req.Context())
		if c == nil || req.Body == nil || req.Body == http.NoBody {
			next.ServeHTTP(w, req)
			return
		}
		account := Open(req.Context())
		defer account.Release()
		body := newDrawingBody(req.Body, account, &Pace{
			Window: window, SetDeadline: http.NewResponseController(w).SetReadDeadline,
		})
		defer body.end()
		drawing := req.WithContext(req.Context())
		drawing.Body = body
		next.ServeHTTP(w, drawing)
		if account.ended() {
			// The rest of the body is not read, so that the server closes the connection.
			c.interrupt()
		}
	})
}
