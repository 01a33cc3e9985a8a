package node

import (
	"context"
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/tanagerline/tanagerline/internal/edge/budget"
	"github.com/tanagerline/tanagerline/internal/edge/pipeline"
)

// callersHandler returns the handler of the callers' listener. Pipelined requests run at the same
// time only if the protocol has whole answers: others are streamed, which only the first of a
// connection could be.
func (n *Node) callersHandler() http.Handler {
	limits := n.Settings.Limits
	if limits.PipelinedRequests < 2 || !n.entry.Protocol.BuffersAnswers() {
		return n.entry.Handler()
	}
	n.pipelines = &pipeline.Pipelines{
		Handler: n.entry.Handler(), MayRunAhead: n.entry.MayRunAhead, Stopping: n.stopping.Load,
		MaxRequests: limits.PipelinedRequests, MaxBytes: limits.PipelinedBytes,
		Limits:   n.clients.pipelineLimits,
		Client:   func(ctx context.Context) pipeline.Client { return budget.TakeOver(ctx) },
		ErrorLog: n.Logger.Std("", 0), TakenOver: n.noteTakeover,
	}
	return n.pipelines
}

// noteTakeover counts a connection whose client pipelines requests, and logs one in a second.
func (n *Node) noteTakeover(client string) {
	counter := metrics.GetOrRegisterCounter("connections.pipelined", n.decided.registry)
	counter.Inc(1)
	now := time.Now().Unix()
	if n.takeoverLogged.Swap(now) == now {
		return
	}
	n.Logger.Info().Str("event", "connection-pipelined").Str("client", client).Int64("connections", counter.Count()).Msgs()
}

// endPipelines ends the connections with pipelined requests, which the shutdown of a server leaves
// out. The channel is closed when they have ended, at the latest when ctx ends.
func (n *Node) endPipelines(ctx context.Context) <-chan struct{} {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		if n.pipelines != nil {
			_ = n.pipelines.Shutdown(ctx)
		}
	}()
	return ended
}
