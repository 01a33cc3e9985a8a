package pipeline

import (
	"context"
	"log"
	"net"
	"net/http"
	"sync"

	"github.com/tanagerline/tanagerline/internal/edge/budget"
)

// defaultMaxBytes is the default of Pipelines.MaxBytes: eight heads and short answers fit in it.
const defaultMaxBytes = 256 << 10

// Pipelines is the handler of a listener whose clients may pipeline requests. Its exported fields
// must be set before its first use.
type Pipelines struct {
	// Handler answers each request. An answer is written to the client once it is complete.
	Handler http.Handler
	// MayRunAhead reports whether a request without a body may run while earlier ones on its
	// connection are not answered yet, that is, whether it may be repeated.
	MayRunAhead func(req *http.Request) bool
	// Stopping reports whether the node is stopping: connections take no further requests then.
	Stopping func() bool
	// MaxRequests is the limit on unanswered requests per connection.
	MaxRequests int
	// MaxBytes is the limit on the bytes of heads and waiting answers per connection from which
	// on no further request is started; zero selects 256 KiB.
	MaxBytes int64
	// Limits returns the present limits on connections. Each head is read within those that were in force
	// when it was first waited for.
	Limits func() Limits
	// Client returns the client whose request has the context; nil sets no bound on memory.
	Client func(ctx context.Context) Client
	// ErrorLog logs panics of Handler.
	ErrorLog *log.Logger
	// TakenOver is called with the client's address when its connection is taken over from
	// net/http; it may be nil.
	TakenOver func(client string)

	mu      sync.Mutex
	stopped bool
	open    map[*connection]bool
}

// connKey is the context key of a request's connection.
type connKey struct{}

// Listener returns a listener for the http.Server that Pipelines is the handler of.
func (p *Pipelines) Listener(l net.Listener) net.Listener { return &listener{Listener: l} }

// ConnContext is the ConnContext of the http.Server that Pipelines is the handler of.
func (p *Pipelines) ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// ServeHTTP answers a request that net/http has read, and takes its connection over when the
// client pipelines.
func (p *Pipelines) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	conn, ok := req.Context().Value(connKey{}).(*watchedConn)
	if !ok {
		p.Handler.ServeHTTP(w, req)
		return
	}
	if !withoutBody(req) || req.Close {
		conn.skipBody(req.ContentLength)
		defer conn.bodyEnded()
		p.Handler.ServeHTTP(w, req)
		return
	}
	ctx, cancel := context.WithCancel(req.Context())
	defer cancel()
	// The takeover may look at the request while the handler changes its headers.
	s := &switchWriter{ResponseWriter: w, req: req.Clone(ctx), cancel: cancel}
	takeOver := func() { p.takeOver(s, conn) }
	if conn.watch(func() { go takeOver() }) {
		takeOver()
	}
	completed := false
	defer func() {
		conn.unwatch()
		s.finish(completed)
	}()
	p.Handler.ServeHTTP(s, req.WithContext(ctx))
	completed = true
}

// takeOver takes a connection from net/http while its handler runs, if its request may run beside
// others and nothing of its answer was written.
func (p *Pipelines) takeOver(s *switchWriter, conn *watchedConn) {
	if p.Stopping() || !p.MayRunAhead(s.req) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.started || s.finished || s.answer != nil || p.isStopped() {
		return
	}
	client := p.client(s.req.Context())
	if !client.DrawReadAhead(connectionBytes) {
		// The client's requests run one after the other, as without a takeover.
		return
	}
	header := s.ResponseWriter.Header()
	_, buffered, err := http.NewResponseController(s.ResponseWriter).Hijack()
	if err != nil {
		// net/http has given the connection up, too.
		client.ReleaseAll()
		_ = conn.Close()
		return
	}
	readAhead, _ := buffered.Peek(buffered.Reader.Buffered())
	c := newConnection(p, conn, s.req, client, readAhead)
	s.answer = c.begin(s.req, s.cancel)
	s.answer.header, s.answer.writeBy = header, s.writeBy
	p.track(c)
	if p.TakenOver != nil {
		p.TakenOver(s.req.RemoteAddr)
	}
	go c.run()
}

func (p *Pipelines) client(ctx context.Context) Client {
	if p.Client == nil {
		return &budget.TakenOver{}
	}
	return p.Client(ctx)
}

func (p *Pipelines) isStopped() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stopped
}

func (p *Pipelines) track(c *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open == nil {
		p.open = map[*connection]bool{}
	}
	p.open[c] = true
	if p.stopped {
		c.in.stop()
	}
}

func (p *Pipelines) forget(c *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.open, c)
}

// Shutdown ends the connections that were taken over: they answer the requests that they have
// read. It closes those that are left when ctx ends, and returns the context's error then.
func (p *Pipelines) Shutdown(ctx context.Context) error {
	p.mu.Lock()
	p.stopped = true
	var open []*connection
	for c := range p.open {
		c.in.stop()
		open = append(open, c)
	}
	p.mu.Unlock()
	for _, c := range open {
		select {
		case <-c.finished:
		case <-ctx.Done():
			c.abort()
		}
	}
	return ctx.Err()
}

// ClosesOnStop reports whether w belongs to a connection that was taken over. Such a connection
// closes by itself when the node stops: after the last answer, which need not be that of w.
func ClosesOnStop(w http.ResponseWriter) bool {
	_, ok := w.(*answer)
	return ok
}

// ExpectContent tells the answer to a pipelined request the length of its content, so that the memory for
// it is drawn before the first byte is written. It reports false for answers that net/http writes, whose memory
// the handler draws.
func ExpectContent(w http.ResponseWriter, length int64) bool {
	a, _ := w.(*answer)
	if s, ok := w.(*switchWriter); ok {
		s.mu.Lock()
		defer s.mu.Unlock()
		a = s.answer
	}
	if a == nil {
		return false
	}
	a.expected = length
	return true
}

// withoutBody reports whether a request has a method and a head by which it may run beside others.
func withoutBody(req *http.Request) bool {
	return (req.Method == http.MethodGet || req.Method == http.MethodHead) && req.ProtoAtLeast(1, 1) &&
		req.ContentLength == 0 && len(req.TransferEncoding) == 0 &&
		req.Header.Get("Upgrade") == "" && req.Header.Get("Expect") == ""
}
