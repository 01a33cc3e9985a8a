package demo

import (
	"context"
	"errors"
	"io"
	"net"
	"time"

	"github.com/phuslu/log"
	"github.com/samber/oops"

	"github.com/tanagerline/tanagerline/internal/decision/reducer"
	"github.com/tanagerline/tanagerline/internal/mesh/node"
	"github.com/tanagerline/tanagerline/internal/operator/settings"
	"github.com/tanagerline/tanagerline/internal/store/stream"
)

const (
	demoRegion  = "levant"
	demoPoll    = 100 * time.Millisecond
	readyWait   = 10 * time.Second
	readyPoll   = 20 * time.Millisecond
	listenersOf = 4
)

// fleet is the log, the nodes and the upstreams of the demonstration.
type fleet struct {
	log       *stream.MemoryLog
	nodes     []*fleetNode
	upstreams []*exampleUpstream
	ledger    *runLedger
}

type fleetNode struct {
	settings settings.Node
	cancel   context.CancelFunc
	done     chan error
}

// startFleet starts three nodes in two zones, each with an upstream.
func startFleet(ctx context.Context) (*fleet, error) {
	f := &fleet{log: &stream.MemoryLog{}, ledger: &runLedger{runs: map[string]int{}}}
	for _, zone := range []string{"levant-1", "levant-1", "levant-2"} {
		if err := f.startNode(ctx, zone); err != nil {
			return nil, err
		}
	}
	for i, name := range []string{"first", "second", "third"} {
		u := &exampleUpstream{
			name: name, service: "records", node: f.nodes[i].settings.Listen.Upstream,
			work: 4 * time.Millisecond, ledger: f.ledger,
		}
		if err := u.start(ctx); err != nil {
			return nil, err
		}
		f.upstreams = append(f.upstreams, u)
	}
	return f, nil
}

func (f *fleet) startNode(ctx context.Context, zone string) error {
	addresses, err := freeAddresses(listenersOf)
	if err != nil {
		return err
	}
	decisions := reducer.DefaultSettings()
	decisions.ExchangePeriod = demoPoll
	decisions.Warmup = 0
	s := settings.Node{
		Region: demoRegion, Zone: zone, LogPeriod: demoPoll, Decisions: decisions,
		Listen: settings.Listen{
			Callers: addresses[0], Peers: addresses[1], Operators: addresses[2], Upstream: addresses[3],
			PeersAnnounced: addresses[1],
		},
		Limits: settings.Limits{
			HeaderBytes: 64 << 10, HeaderTime: 5 * time.Second, IdleTime: time.Minute, BodyTime: time.Minute, MaxConnections: 1024,
		},
	}
	ctx, cancel := context.WithCancel(ctx)
	started := make(chan struct{})
	n := &node.Node{
		Settings: s, Log: f.log, Started: func() { close(started) },
		Logger: &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}},
	}
	member := &fleetNode{settings: s, cancel: cancel, done: make(chan error, 1)}
	go func() { member.done <- n.Run(ctx) }()
	select {
	case <-started:
	case err := <-member.done:
		cancel()
		return err
	}
	f.nodes = append(f.nodes, member)
	return nil
}

// stop stops every node gracefully, one after the other.
func (f *fleet) stop() error {
	var failures []error
	for _, n := range f.nodes {
		n.cancel()
		failures = append(failures, <-n.done)
	}
	return errors.Join(failures...)
}

// freeAddresses returns loopback addresses that nothing listens on.
func freeAddresses(count int) ([]string, error) {
	var addresses []string
	for range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, oops.Wrapf(err, "find a free loopback port")
		}
		addresses = append(addresses, listener.Addr().String())
		defer func() { _ = listener.Close() }()
	}
	return addresses, nil
}
