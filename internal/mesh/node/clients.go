package node

import (
	"cmp"
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/samber/oops"

	"github.com/tanagerline/tanagerline/internal/decision/reducer"
	"github.com/tanagerline/tanagerline/internal/edge/budget"
	"github.com/tanagerline/tanagerline/internal/edge/pipeline"
)

const (
	// runtimeMemoryShare is the share of the process's memory that the Go runtime keeps to; the
	// rest is for the program's text and the kernel's part.
	runtimeMemoryShare = 0.7
	// clientMemoryShare is the share of the process's memory that clients' requests can hold. The
	// collector lets garbage of about the same size wait, and the node has memory of its own.
	clientMemoryShare = 0.25
	// callersConnectionShare, peersConnectionShare and othersConnectionShare are the shares of the descriptors
	// that connections to the callers' listener, the peers' and each other one can use. What is
	// left is for connections to peers, to the upstream and to the store.
	callersConnectionShare = 0.375
	peersConnectionShare   = 0.3
	othersConnectionShare  = 1.0 / 32
	leastOthersConnections = 8
	// timeoutMargin is added to the plan's time limits: what a client sends just within them is still on
	// its way then, and the client counts from when it got the answer before.
	timeoutMargin = time.Second
	// clientLinesPerSecond and clientLineBurst bound the log lines about refused clients.
	clientLinesPerSecond = 20
	clientLineBurst      = 100
)

// clients limits what clients can use of the process, and tells operators whom it refused.
type clients struct {
	node   *Node
	budget *budget.Budget

	mu sync.Mutex
	// lines is the number of lines that may be written at once, earnedAt when it was last counted.
	lines    float64
	earnedAt time.Time
	dropped  int
}

// newClients sets the runtime's memory limit and returns the limits on clients.
func newClients(n *Node) *clients {
	memory := float64(n.Settings.Limits.MemoryBytes)
	if memory > 0 {
		debug.SetMemoryLimit(int64(runtimeMemoryShare * memory))
	}
	c := &clients{node: n, budget: budget.New(int64(clientMemoryShare * memory)), lines: clientLineBurst, earnedAt: time.Now()}
	c.budget.Notify = c.tell
	return c
}

// keptBodyBytes returns the length of the longest body that is kept for another attempt: one that a client
// can hold. A longer one is streamed.
func (c *clients) keptBodyBytes() int64 {
	kept := c.node.Settings.Limits.BodyBytes
	if c.budget.Bounded() {
		kept = min(kept, c.budget.LongestBody())
	}
	return kept
}

// tell counts a refused client and writes a line, within a bound.
func (c *clients) tell(event budget.Event) {
	metrics.GetOrRegisterCounter("clients.refused."+string(event.Cause), c.node.decided.registry).Inc(1)
	if event.Cause == budget.CauseIdle {
		return
	}
	dropped, ok := c.mayWrite(time.Now())
	if !ok {
		return
	}
	line := c.node.Logger.Warn().Str("event", "client-refused").Str("cause", string(event.Cause)).
		Str("client", event.Address).Int64("held", event.HeldBytes)
	if dropped > 0 {
		line = line.Int("lines_dropped", dropped)
	}
	line.Msgs()
}

// mayWrite spends one line. It returns the number of lines that were dropped since the last one.
func (c *clients) mayWrite(now time.Time) (dropped int, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lines = min(clientLineBurst, c.lines+clientLinesPerSecond*now.Sub(c.earnedAt).Seconds())
	c.earnedAt = now
	if c.lines < 1 {
		c.dropped++
		return 0, false
	}
	c.lines--
	dropped, c.dropped = c.dropped, 0
	return dropped, true
}

// maxConnections returns the bound on the connections of one listener.
func (c *clients) maxConnections(class budget.Class) int {
	limits := c.node.Settings.Limits
	if limits.Descriptors == 0 {
		return limits.MaxConnections
	}
	descriptors := float64(limits.Descriptors)
	switch class {
	case budget.Callers:
		return min(limits.MaxConnections, int(callersConnectionShare*descriptors))
	case budget.Peers:
		return min(limits.MaxConnections, int(peersConnectionShare*descriptors))
	default:
		return min(limits.MaxConnections, max(leastOthersConnections, int(othersConnectionShare*descriptors)))
	}
}

// callerLimits returns the limits on callers' connections by the plan, or by the settings where the plan
// sets no limit.
func (c *clients) callerLimits() budget.Limits {
	var limits reducer.CallerLimits
	c.node.loop.Inspect(func(r *reducer.Reducer) { limits = r.Plan().Spec().Limits })
	own := c.node.Settings.Limits
	return budget.Limits{
		HeadTime:  cmp.Or(limits.HeaderTimeout, own.HeaderTime) + timeoutMargin,
		IdleTime:  cmp.Or(limits.IdleTimeout, own.IdleTime) + timeoutMargin,
		HeadBytes: int64(limits.HeaderBytes),
	}
}

// pipelineLimits returns the limits on callers' connections with pipelined requests. Without a takeover, a head is
// limited by the settings and by the plan, too.
func (c *clients) pipelineLimits() pipeline.Limits {
	limits := c.callerLimits()
	headerBytes := c.node.Settings.Limits.HeaderBytes
	if limits.HeadBytes > 0 {
		headerBytes = min(headerBytes, int(limits.HeadBytes))
	}
	return pipeline.Limits{HeaderBytes: headerBytes, HeaderTime: limits.HeadTime, IdleTime: limits.IdleTime}
}

// wholeBodies limits the bodies that a handler collects in memory, if the memory is bounded.
func (c *clients) wholeBodies(next http.Handler) http.Handler {
	if !c.budget.Bounded() {
		return next
	}
	return budget.WholeBodies(next, c.node.Settings.Limits.BodyTime)
}

// serve opens a listener for clients of a class.
func (n *Node) serve(address string, class budget.Class, handler http.Handler, tlsConfig *tls.Config) error {
	inner, err := net.Listen("tcp", address)
	if err != nil {
		return oops.Wrapf(err, "listen on %s; free the address or change it in [listen]", address)
	}
	limited := &budget.Listener{
		Listener: inner, Budget: n.clients.budget, Class: class, MaxConnections: n.clients.maxConnections(class),
		CloseStandstill: n.Settings.Limits.Descriptors > 0,
	}
	server := &http.Server{
		Handler: budget.Handler(handler), ReadHeaderTimeout: n.Settings.Limits.HeaderTime,
		IdleTimeout: n.Settings.Limits.IdleTime, MaxHeaderBytes: n.Settings.Limits.HeaderBytes,
		ErrorLog: n.Logger.Std("", 0), ConnState: n.noteState, ConnContext: budget.ConnContext,
	}
	pipelines, pipelined := handler.(*pipeline.Pipelines)
	if class == budget.Callers {
		// The listener compares connections with the plan's limits, which may change.
		limited.Limits = n.clients.callerLimits
		server.ReadHeaderTimeout, server.IdleTimeout = 0, 0
	}
	limited.Start()
	var listener net.Listener = limited
	if tlsConfig != nil {
		listener = tls.NewListener(listener, tlsConfig)
	}
	if pipelined {
		listener = pipelines.Listener(listener)
		server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
			return pipelines.ConnContext(budget.ConnContext(ctx, conn), conn)
		}
	}
	n.servers = append(n.servers, server)
	n.work.Go(func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			n.failures <- oops.Wrapf(err, "serve %s", address)
		}
	})
	return nil
}

// noteState follows the state of the servers' connections.
func (n *Node) noteState(conn net.Conn, state http.ConnState) {
	n.unused.note(conn, state)
	budget.NoteState(conn, state)
}

// watchBudget keeps the gauge of the bytes that clients hold until the context ends.
func (c *clients) watchBudget(ctx context.Context) {
	gauge := metrics.GetOrRegisterGauge("clients.bytes", c.node.decided.registry)
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			gauge.Update(c.budget.UsedBytes())
		}
	}
}
