package upstream

import (
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
	maxAnnouncementBytes = 4 << 10
	maxSlots             = 4096
	maxConnections       = 65536
	probeTimeout         = time.Second
)

// Announcement is the upstream's word about itself.
type Announcement struct {
	Service     string `json:"service"`
	Address     string `json:"address"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
	Draining    bool   `json:"draining"`
}

// AnnouncementError is an announcement that can't be taken.
type AnnouncementError struct {
	Field  string
	Remedy string
}

// Error names the field at fault and the remedy.
func (e AnnouncementError) Error() string {
	return fmt.Sprintf("announcement field %q: %s", e.Field, e.Remedy)
}

// ParseAnnouncement reads an announcement; it returns an AnnouncementError for a
// field at fault.
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

// Announcements answers the upstream's own requests to its node.
type Announcements struct {
	// Loop takes the announcements.
	Loop *loop.Loop
	// Guard runs attempts on the announced upstream.
	Guard *Guard
}

// Handler returns the handler of the upstream's listener.
func (a *Announcements) Handler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/-/announce", a.announce).Methods(http.MethodPost)
	return router
}

func (a *Announcements) announce(w http.ResponseWriter, req *http.Request) {
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

// Probe carries out ProbeUpstream: it asks the upstream's health endpoint, whose
// answer is taken for no more than a sign of life.
func (g *Guard) Probe(probe reducer.ProbeUpstream) {
	path := probe.HealthPath
	if path == "" {
		path = "/-/health"
	}
	status := 0
	n, err := g.health(context.Background(), probe.Upstream, path, func(resp *http.Response) { status = resp.StatusCode })
	if status == 0 {
		g.Loop.Do(reducer.ProbeEnded{})
		return
	}
	const headBytes = 300
	g.Loop.Do(reducer.ProbeEnded{Healthy: err == nil && status < 500, Bytes: n + headBytes})
}

// Find asks an upstream that has not announced itself to this process what it is. One that
// doesn't tell is an error.
func (g *Guard) Find(ctx context.Context, service, address, healthPath string) (reducer.UpstreamAnnounced, error) {
	var identity Identity
	var unnamed error
	_, err := g.health(ctx, address, healthPath, func(resp *http.Response) { identity, unnamed = g.Protocol.Identify(resp) })
	if err = errors.Join(err, unnamed); err != nil {
		return reducer.UpstreamAnnounced{}, oops.Wrapf(err, "ask upstream %s for its health", address)
	}
	return reducer.UpstreamAnnounced{Service: service, Address: address, Slots: identity.Slots, Instance: identity.Instance}, nil
}

// health asks an upstream's health endpoint, hands over the head of the answer, if one
// comes, and returns the length of its body.
func (g *Guard) health(ctx context.Context, address, path string, head func(*http.Response)) (int, error) {
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
	head(resp)
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxDrainedBytes))
	return int(n), err
}
