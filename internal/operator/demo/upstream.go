package demo

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/oops"

	"github.com/tanagerline/tanagerline/internal/edge/upstream"
	"github.com/tanagerline/tanagerline/internal/mesh/peer"
)

const (
	demoSlots       = 6
	demoConnections = 200
	announcePeriod  = 250 * time.Millisecond
)

// runLedger counts how often each key ran, over all example upstreams.
type runLedger struct {
	mu   sync.Mutex
	runs map[string]int
}

func (l *runLedger) add(key string) {
	if key == "" {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[key]++
}

// exampleUpstream is a server of the demonstration.
type exampleUpstream struct {
	name     string
	service  string
	node     string
	address  string
	work     time.Duration
	ledger   *runLedger
	slowdown atomic.Int64
	draining atomic.Bool
	begun    atomic.Int64
	// begunAfterDrain counts requests that came after the drain was announced.
	begunAfterDrain atomic.Int64
	server          *http.Server
}

// start listens and announces the upstream to its node until ctx ends.
func (u *exampleUpstream) start(ctx context.Context) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return oops.Wrapf(err, "listen on the loopback address")
	}
	u.address = listener.Addr().String()
	u.server = &http.Server{Handler: http.HandlerFunc(u.serve), ReadHeaderTimeout: time.Minute}
	go func() { _ = u.server.Serve(listener) }()
	go func() {
		for ctx.Err() == nil {
			_ = u.announce(ctx)
			time.Sleep(announcePeriod)
		}
	}()
	return nil
}

func (u *exampleUpstream) announce(ctx context.Context) error {
	body, err := json.Marshal(upstream.Announcement{
		Service: u.service, Address: u.address, Slots: demoSlots, Connections: demoConnections,
		Draining: u.draining.Load(),
	})
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+u.node+"/-/announce", bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

// drain tells the node that the upstream takes no new work.
func (u *exampleUpstream) drain(ctx context.Context) error {
	u.draining.Store(true)
	return u.announce(ctx)
}

func (u *exampleUpstream) serve(w http.ResponseWriter, req *http.Request) {
	if req.URL.Path == "/-/health" {
		return
	}
	u.begun.Add(1)
	if u.draining.Load() {
		u.begunAfterDrain.Add(1)
	}
	u.ledger.add(req.Header.Get(peer.HeaderIdempotencyKey))
	digest := sha256.New()
	n, err := io.Copy(digest, req.Body)
	if err != nil {
		return
	}
	time.Sleep(u.work + time.Duration(u.slowdown.Load()))
	_, _ = fmt.Fprintf(w, "%s by %s: %d bytes, %x\n", req.URL.Path, u.name, n, digest.Sum(nil))
}
