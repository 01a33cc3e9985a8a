package upstream

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/gorilla/mux"
	"github.com/samber/oops"

	"github.com/tanagerline/tanagerline/internal/decision/loop"
	"github.com/tanagerline/tanagerline/internal/decision/reducer"
)

const (
	// maxAnnouncementBytes limits the body of an announcement.
	maxAnnouncementBytes = 4 << 10
	// maxSlots is the highest value of Announcement.Slots.
	maxSlots = 4096
	// maxConnections is the highest value of Announcement.Connections.
	maxConnections = 65536
	// probeTimeout limits a request to the health endpoint, including its answer's body.
	probeTimeout = time.Second
	// warmupQueryTimeout limits one query for the time that the upstream stays cold, so that it can
	// be repeated within the 2 s that the guard waits for it.
	warmupQueryTimeout = 500 * time.Millisecond
	// defaultHealthPath is the path of the health endpoint if the plan does not set one.
	defaultHealthPath = "/-/health"
)

// Announcement is the JSON body with which an upstream registers at its node.
type Announcement struct {
	// Service is the name of the service that the upstream provides.
	Service string `json:"service"`
	// Address is the upstream's IP address and port.
	Address string `json:"address"`
	// Slots is the number of requests that the upstream runs at a time.
	Slots int `json:"slots"`
	// Connections limits the guard's connections in use; zero means no limit.
	Connections int `json:"connections"`
	// Draining reports that the upstream accepts no new attempts.
	Draining bool `json:"draining"`
}

// AnnouncementError reports an announcement with an invalid field.
type AnnouncementError struct {
	// Field is the JSON name of the invalid field.
	Field string
	// Remedy tells how to correct the field.
	Remedy string
}

// Error returns the field's name and the remedy.
func (e AnnouncementError) Error() string {
	return fmt.Sprintf("announcement field %q: %s", e.Field, e.Remedy)
}

// ParseAnnouncement parses and validates an announcement. It returns an AnnouncementError
// for an invalid field.
func ParseAnnouncement(data []byte) (Announcement, error) {
	var a Announcement
	if err := json.Unmarshal(data, &a); err != nil {
		return Announcement{}, oops.Wrapf(err, "announcement is not a JSON object; send service, address, slots and connections")
	}
	host, _, err := net.SplitHostPort(a.Address)
	switch {
	case a.Service == "":
		return Announcement{}, AnnouncementError{Field: "service", Remedy: "name the service"}
	case err != nil || net.ParseIP(host) == nil:
		return Announcement{}, AnnouncementError{Field: "address", Remedy: "give an IP number and a port, such as 127.0.0.1:8080"}
	case a.Slots < 1 || a.Slots > maxSlots:
		return Announcement{}, AnnouncementError{Field: "slots", Remedy: fmt.Sprintf("give a number from 1 to %d", maxSlots)}
	case a.Connections < 0 || a.Connections > maxConnections:
		return Announcement{}, AnnouncementError{Field: "connections", Remedy: fmt.Sprintf("give a number from 0 to %d, where 0 sets no limit", maxConnections)}
	}
	return a, nil
}

// AnnouncementHandler serves the requests that the upstream sends to its node.
type AnnouncementHandler struct {
	// Loop receives the announcements as events.
	Loop *loop.Loop
	// Guard runs attempts on the announced upstream.
	Guard *Guard
}

// Handler returns the handler of the upstream's listener.
func (a *AnnouncementHandler) Handler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/-/announce", a.announce).Methods(http.MethodPost)
	return router
}

func (a *AnnouncementHandler) announce(w http.ResponseWriter, req *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, req.Body, maxAnnouncementBytes))
	if err != nil {
		http.Error(w, fmt.Sprintf("announcement is larger than %d bytes; send only its five fields", maxAnnouncementBytes), http.StatusRequestEntityTooLarge)
		return
	}
	announcement, err := ParseAnnouncement(data)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	a.Guard.LimitConnections(announcement.Connections)
	a.Loop.Do(reducer.UpstreamAnnounced{
		Service: announcement.Service, Address: announcement.Address,
		Slots: announcement.Slots, Draining: announcement.Draining,
	})
	w.WriteHeader(http.StatusNoContent)
}

// Probe executes ProbeUpstream by a request to the upstream's health endpoint. Any status
// below 500 counts as healthy: the answer only shows that the upstream is alive.
func (g *Guard) Probe(probe reducer.ProbeUpstream) {
	path := cmp.Or(probe.HealthPath, defaultHealthPath)
	status := 0
	n, err := g.queryHealth(context.Background(), probe.Upstream, path, func(resp *http.Response) { status = resp.StatusCode })
	if status == 0 {
		g.Loop.Do(reducer.ProbeEnded{})
		return
	}
	// headBytes estimates the size of the answer's head.
	const headBytes = 300
	g.Loop.Do(reducer.ProbeEnded{Healthy: err == nil && status < 500, Bytes: n + headBytes})
}

// Discover queries the health endpoint of an upstream that has not announced itself to this
// process and returns its identity. It fails if the protocol can't identify the upstream
// by the answer.
func (g *Guard) Discover(ctx context.Context, service, address, healthPath string) (reducer.UpstreamAnnounced, error) {
	identity, err := g.identify(ctx, address, healthPath)
	if err != nil {
		return reducer.UpstreamAnnounced{}, oops.Wrapf(err, "query the health endpoint of upstream %s", address)
	}
	return reducer.UpstreamAnnounced{
		Service: service, Address: address, Slots: identity.Slots, Instance: identity.Instance,
		WarmupRemaining: identity.WarmupRemaining,
	}, nil
}

// QueryWarmup executes reducer.QueryWarmup by a request to the health endpoint.
func (g *Guard) QueryWarmup(ctx context.Context, query reducer.QueryWarmup) {
	ctx, cancel := context.WithTimeout(ctx, warmupQueryTimeout)
	defer cancel()
	remaining := reducer.WarmupUnknown
	if identity, err := g.identify(ctx, query.Upstream, cmp.Or(query.HealthPath, defaultHealthPath)); err == nil {
		remaining = identity.WarmupRemaining
	}
	g.Loop.Do(reducer.WarmupAnswered{Query: query.Query, Remaining: remaining})
}

// identify returns the identity in the answer of an upstream's health endpoint.
func (g *Guard) identify(ctx context.Context, address, healthPath string) (Identity, error) {
	var identity Identity
	var identifyErr error
	_, err := g.queryHealth(ctx, address, healthPath, func(resp *http.Response) { identity, identifyErr = g.Protocol.Identify(resp) })
	return identity, errors.Join(err, identifyErr)
}

// queryHealth sends a request to an upstream's health endpoint. It calls onAnswer with the
// answer, if one arrives, and returns the body's length in bytes, at most maxDrainedBytes.
func (g *Guard) queryHealth(ctx context.Context, address, path string, onAnswer func(*http.Response)) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, http.NoBody)
	if err != nil {
		return 0, err
	}
	resp, err := g.pool.Load().RoundTrip(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	onAnswer(resp)
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxDrainedBytes))
	return int(n), err
}
