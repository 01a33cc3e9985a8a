package node

import (
	"context"
	"crypto/tls"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"github.com/tanagerline/tanagerline/internal/decision/loop"
	"github.com/tanagerline/tanagerline/internal/decision/reducer"
	"github.com/tanagerline/tanagerline/internal/edge/budget"
	"github.com/tanagerline/tanagerline/internal/edge/caller"
	"github.com/tanagerline/tanagerline/internal/edge/pipeline"
	"github.com/tanagerline/tanagerline/internal/edge/upstream"
	"github.com/tanagerline/tanagerline/internal/mesh/peer"
	"github.com/tanagerline/tanagerline/internal/operator/console"
	"github.com/tanagerline/tanagerline/internal/operator/settings"
	"github.com/tanagerline/tanagerline/internal/store/stream"
)

const (
	// closeAllowance bounds the closing of connections on which nothing is in flight. Requests may
	// have arrived in part, and the last bytes of answers may still be on their way.
	closeAllowance = 3 * time.Second
	// closePollInterval is the interval at which the closing looks for calls in flight.
	closePollInterval = 10 * time.Millisecond
)

// Node is one process beside an upstream; its exported fields are set before Run.
type Node struct {
	// Settings are the node's checked settings.
	Settings settings.Node
	// Log is the platform's log; by default it is the one that the settings name.
	Log stream.Log
	// Adapter speaks the users' platform's own protocols; nil speaks the node's own.
	Adapter *Adapter
	// SettingsFile is read again when it changes; empty reads none.
	SettingsFile string
	// SettingsOverrides replace what the settings file says, each as section.key=value.
	SettingsOverrides []string
	// Reload asks for the settings file to be read at once; it may be nil.
	Reload <-chan os.Signal
	// Logger takes one line for each event.
	Logger *log.Logger
	// Started is told when all listeners are open; it may be nil.
	Started func()

	loop     *loop.Loop
	client   *peer.Client
	guard    *upstream.Guard
	entry    *caller.Entry
	appender *stream.Appender
	reports  *peer.Reports
	decided  *decisions
	clients  *clients
	// storingLeaving is held while leaving runs are stored, so that no earlier set replaces a later one.
	storingLeaving sync.Mutex

	stopping atomic.Bool
	telling  atomic.Int64
	control  peer.ByteCounter
	servers  []*http.Server
	// pipelines is nil if pipelined requests run one after the other.
	pipelines *pipeline.Pipelines
	// takeoverLogged is the second, in Unix time, of the last line about pipelined requests.
	takeoverLogged atomic.Int64
	unused         unusedConnections
	failures       chan error
	work           sync.WaitGroup
}

// Run serves until ctx ends, then stops gracefully: it takes no new work, hands
// over its keys and finishes what is in flight.
func (n *Node) Run(ctx context.Context) error {
	if err := n.assemble(); err != nil {
		return err
	}
	background, cancel := context.WithCancel(context.Background())
	defer n.work.Wait()
	defer cancel()
	n.loop.Background = func(effect reducer.Effect) { n.carryOut(background, effect) }
	if err := n.listen(); err != nil {
		n.close()
		return err
	}
	n.background(background)
	n.Logger.Info().Str("event", "started").Str("peers", n.Settings.Listen.Peers).
		Str("callers", n.Settings.Listen.Callers).Uint64("incarnation", n.entry.Self.Incarnation()).Msgs()
	if n.Started != nil {
		n.Started()
	}
	select {
	case err := <-n.failures:
		n.close()
		return err
	case <-ctx.Done():
	}
	n.Logger.Info().Str("event", "stopping").Msgs()
	n.stopping.Store(true)
	n.loop.Do(reducer.StopRequested{})
	<-n.loop.Stopped()
	n.close()
	n.Logger.Info().Str("event", "stopped").Msgs()
	return nil
}

// assemble makes the node's parts.
func (n *Node) assemble() error {
	incarnation := rand.Uint64()
	n.failures = make(chan error, 8)
	n.decided = newDecisions(n.Logger)
	n.clients = newClients(n)
	n.loop = &loop.Loop{
		Clock:  loop.NewSteadyClock().Now,
		Period: n.tickPeriod(),
		Reducer: &reducer.Reducer{
			Self: reducer.MemberSpec{
				Address: n.Settings.Listen.PeersAnnounced, Incarnation: incarnation, Started: time.Now().UTC(),
				Region: n.Settings.Region, Zone: n.Settings.Zone, Operators: n.Settings.Listen.Operators,
			},
			Seeds: n.Settings.Seeds, Settings: n.Settings.Decisions, Seed: rand.Uint64(),
		},
	}
	n.loop.Prepare()
	clientTLS, err := clientTLS(n.Settings.TLS)
	if err != nil {
		return err
	}
	n.client = &peer.Client{
		Loop: n.loop, TLS: clientTLS, Counter: &n.control,
		Self: reducer.NewNodeID(n.Settings.Listen.PeersAnnounced, incarnation),
	}
	n.client.Prepare()
	n.guard = &upstream.Guard{Loop: n.loop, PendingCrashNotices: n.telling.Load, Protocol: n.Adapter.upstreamProtocol()}
	n.guard.Prepare()
	n.entry = &caller.Entry{
		Loop: n.loop, Mesh: n.client, Guard: n.guard, Stopping: n.stopping.Load,
		BodyReadTimeout: n.Settings.Limits.BodyTime, Protocol: n.Adapter.callerProtocol(n.loop.Clock), MaxBufferedBytes: n.clients.keptBodyBytes(),
		PaceBodies: n.clients.budget.Bounded(),
		Self:       reducer.NewNodeID(n.Settings.Listen.PeersAnnounced, incarnation),
	}
	n.entry.Prepare()
	n.reports = &peer.Reports{Loop: n.loop, Address: n.Settings.Listen.Peers, Logger: n.Logger}
	if n.Log == nil {
		n.Log = stream.NewClient(n.Settings.LogURL, n.control.Dial)
	}
	n.appender = &stream.Appender{Log: n.Log}
	return nil
}

// background starts what runs beside the listeners.
func (n *Node) background(ctx context.Context) {
	n.work.Go(func() { n.loop.Run(ctx) })
	n.work.Go(func() { n.watchSettings(ctx) })
	n.work.Go(func() { n.clients.watchBudget(ctx) })
	if n.Settings.Decisions.ReportNear > 0 {
		n.work.Go(func() { n.reports.Run(ctx) })
	}
	if n.Adapter != nil {
		n.runAdapter(ctx)
		return
	}
	reader := &stream.Reader{
		Log: n.Log, Loop: n.loop, PollInterval: n.Settings.LogPeriod,
		OnError: func(err error) {
			n.Logger.Warn().Str("event", "log-read-failed").Err(err).Msgs()
		},
	}
	n.work.Go(func() { reader.Run(ctx) })
}

// carryOut starts an effect that belongs to no call.
func (n *Node) carryOut(ctx context.Context, effect reducer.Effect) {
	switch e := effect.(type) {
	case reducer.Decision:
		n.decided.tell(e)
	case reducer.SendLoadReport:
		n.reports.Tell(e)
	case reducer.SendExchange:
		go n.client.Exchange(e)
	case reducer.OfferHandover:
		n.Logger.Info().Str("event", "handover-offered").Str("service", e.Change.Service).
			Str("to", e.Change.To.Address).Int("shares", len(e.Change.Partitions)).Msgs()
		go n.client.Handover(e)
	case reducer.RequestQuota:
		go n.client.RequestQuota(e)
	case reducer.SendSuspect:
		n.telling.Add(1)
		go n.warn("suspect-not-told", func() error {
			defer n.telling.Add(-1)
			return n.client.SendSuspect(e)
		})
	case reducer.OfferAnswers:
		go n.warn("answers-not-moved", func() error { return n.client.OfferAnswers(e) })
	case reducer.ProbeUpstream:
		go n.guard.Probe(e)
	case reducer.QueryWarmup:
		go n.guard.QueryWarmup(ctx, e)
	case reducer.StoreLeavingRuns:
		if n.Adapter != nil {
			go n.storeLeavingRuns(ctx)
		}
	case reducer.RewriteDirectory:
		if n.Adapter != nil && n.Adapter.Eras != nil {
			go n.rewriteDirectory(ctx, e.Era)
		}
	case reducer.RewriteLeavingRuns:
		if n.Adapter != nil {
			go n.writeDirectory(ctx, func() error { return n.Adapter.Directory.RewriteLeavingRuns(ctx, e.Address, e.Runs) })
		}
	case reducer.AppendRecord:
		go n.append(ctx, e)
	}
}

// warn logs the error of a task that nobody waits for.
func (n *Node) warn(event string, task func() error) {
	if err := task(); err != nil {
		n.Logger.Warn().Str("event", event).Err(err).Msgs()
	}
}

// append adds a record to the platform's log, however long that takes.
func (n *Node) append(ctx context.Context, e reducer.AppendRecord) {
	var from int64
	n.loop.Inspect(func(r *reducer.Reducer) { from = r.LogNext() })
	offset, err := n.appender.Append(ctx, e.Record, from)
	if err != nil {
		n.Logger.Warn().Str("event", "append-failed").Str("record", e.Record.ID).Err(err).Msgs()
		n.loop.Do(reducer.AppendFailed{ID: e.Record.ID})
		return
	}
	n.Logger.Info().Str("event", "appended").Str("record", e.Record.ID).Int64("offset", offset).Msgs()
	n.loop.Do(reducer.RecordAppended{ID: e.Record.ID, Offset: offset})
}

// listen opens the four listeners.
func (n *Node) listen() error {
	serverTLS, err := serverTLS(n.Settings.TLS)
	if err != nil {
		return err
	}
	if n.Settings.Decisions.ReportNear > 0 {
		if err := n.reports.Listen(); err != nil {
			return err
		}
	}
	peers := &peer.Listener{Loop: n.loop, Guard: n.guard, Home: n.entry.ServeForwarded, LimitControl: n.clients.wholeBodies}
	operators := &console.Server{Loop: n.loop, ControlBytes: n.control.Bytes, Registry: n.decided.registry}
	listeners := []struct {
		address string
		class   budget.Class
		handler http.Handler
		tls     *tls.Config
	}{
		{n.Settings.Listen.Callers, budget.Callers, n.callersHandler(), nil},
		{n.Settings.Listen.Peers, budget.Peers, peers.Handler(), serverTLS},
		{n.Settings.Listen.Operators, budget.Others, n.clients.wholeBodies(operators.Handler()), serverTLS},
		{n.Settings.Listen.Upstream, budget.Others, n.clients.wholeBodies(n.announcements()), nil},
		{n.Settings.Listen.Ready, budget.Others, n.clients.wholeBodies(n.readiness(operators)), nil},
		{n.Settings.Listen.Metrics, budget.Others, n.clients.wholeBodies(http.HandlerFunc(operators.WriteMetrics)), nil},
	}
	for _, l := range listeners {
		if l.address == "" {
			continue
		}
		if err := n.serve(l.address, l.class, l.handler, l.tls); err != nil {
			return err
		}
	}
	return nil
}

// announcements returns the handler of the upstream's listener.
func (n *Node) announcements() http.Handler {
	if n.Adapter != nil {
		return n.Adapter.Announcements(n.loop.Do, n.awaitLeaving)
	}
	own := &upstream.AnnouncementHandler{Loop: n.loop, Guard: n.guard}
	return own.Handler()
}

// readiness returns the handler of the platform's question for readiness.
func (n *Node) readiness(operators *console.Server) http.Handler {
	if n.Adapter != nil {
		return n.Adapter.Ready(n.ready)
	}
	return operators.Handler()
}

// ready reports whether callers may be sent to this node.
func (n *Node) ready() bool {
	known := false
	n.loop.Inspect(func(r *reducer.Reducer) { known = r.Ready() })
	return known && !n.stopping.Load()
}

// close ends the listeners and their connections.
func (n *Node) close() {
	ctx, cancel := n.closing()
	defer cancel()
	n.unused.closeAll()
	ended := n.endPipelines(ctx)
	for _, server := range n.servers {
		if err := server.Shutdown(ctx); err != nil {
			_ = server.Close()
		}
	}
	<-ended
}

// closing returns the context in which connections may end by themselves. It ends after closeAllowance
// unless calls are in flight, which may have arrived in the last moment, and at the latest when the
// stop has to be over.
func (n *Node) closing() (context.Context, context.CancelFunc) {
	idleEnd := n.loop.Clock().Add(closeAllowance)
	var deadline time.Time
	n.loop.Inspect(func(r *reducer.Reducer) { deadline = r.CloseDeadline() })
	if deadline.IsZero() {
		deadline = idleEnd
	}
	ctx, cancel := n.loop.WithDeadline(context.Background(), deadline)
	go func() {
		defer cancel()
		if stream.Sleep(ctx, idleEnd.Sub(n.loop.Clock())) != nil {
			return
		}
		for inFlight := true; inFlight; {
			n.loop.Inspect(func(r *reducer.Reducer) { inFlight = r.InFlight() })
			if stream.Sleep(ctx, closePollInterval) != nil {
				return
			}
		}
	}()
	return ctx, cancel
}
