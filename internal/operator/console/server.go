package console

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"

	"github.com/gorilla/mux"
	"github.com/rcrowley/go-metrics"
	"github.com/twitchtv/twirp"

	"github.com/tanagerline/tanagerline/internal/decision/loop"
	"github.com/tanagerline/tanagerline/internal/decision/reducer"
)

// Server answers operators; its exported fields are set before Handler.
type Server struct {
	// Loop holds what the node knows.
	Loop *loop.Loop
	// ControlBytes tells the bytes of the control requests that the node made.
	ControlBytes func() int64

	// Registry holds what the node counts beside its totals; nil is an empty one.
	Registry metrics.Registry

	// metricsMu guards the totals while they are renewed and written.
	metricsMu sync.Mutex
}

// Handler returns the handler of the operators' listener.
func (s *Server) Handler() http.Handler {
	if s.Registry == nil {
		s.Registry = metrics.NewRegistry()
	}
	metrics.RegisterRuntimeMemStats(s.Registry)
	twirpServer := NewConsoleServer(s)
	router := mux.NewRouter()
	router.HandleFunc("/-/healthz", s.health).Methods(http.MethodGet)
	router.HandleFunc("/-/readyz", s.ready).Methods(http.MethodGet)
	router.HandleFunc("/-/metrics", s.metrics).Methods(http.MethodGet)
	router.PathPrefix(twirpServer.PathPrefix()).Handler(twirpServer)
	return router
}

// Burn tells the service-level burn of the calls that entered at the node.
func (s *Server) Burn(context.Context, *BurnRequest) (*BurnResponse, error) {
	var rows []reducer.BurnRow
	s.Loop.Inspect(func(r *reducer.Reducer) { rows = r.Burn() })
	resp := &BurnResponse{}
	for _, row := range rows {
		series := &BurnSeries{Service: row.Service, Kind: row.Kind}
		for _, w := range row.Windows {
			series.Windows = append(series.Windows, &BurnWindow{
				WindowSeconds: int64(w.Window.Seconds()), Good: w.Good, Bad: w.Bad, Burn: w.Burn,
			})
		}
		resp.Series = append(resp.Series, series)
	}
	return resp, nil
}

// Explain tells the steps of the calls that a key or an attempt belongs to.
func (s *Server) Explain(_ context.Context, req *ExplainRequest) (*ExplainResponse, error) {
	if req.GetName() == "" {
		return nil, twirp.RequiredArgumentError("name")
	}
	var entries []reducer.TraceEntry
	s.Loop.Inspect(func(r *reducer.Reducer) { entries = r.Explain(req.GetName()) })
	resp := &ExplainResponse{}
	for _, e := range entries {
		step := &Step{
			AtUnixNanoseconds: e.At.UnixNano(), Call: uint64(e.Call), Attempt: string(e.Attempt), Key: e.Key,
			Service: e.Service, Kind: string(e.Kind), Target: e.Target, Detail: e.Detail,
		}
		for _, c := range e.Candidates {
			step.Candidates = append(step.Candidates, &Candidate{
				Address: c.Address, ScoreNanoseconds: int64(c.Score), Load: c.Load,
			})
		}
		resp.Steps = append(resp.Steps, step)
	}
	return resp, nil
}

// Status tells what the node knows of its members and its plan.
func (s *Server) Status(_ context.Context, req *StatusRequest) (*StatusResponse, error) {
	var status reducer.Status
	s.Loop.Inspect(func(r *reducer.Reducer) {
		if req.GetBrief() {
			status = r.BriefStatus()
			return
		}
		status = r.Status()
	})
	if req.GetBrief() {
		return &StatusResponse{
			PlanOffset: status.PlanOffset, PlanId: status.PlanID, Region: status.Self.Region,
			Zone: status.Self.Zone, Stopping: status.Stopping,
		}, nil
	}
	data, err := json.Marshal(status)
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	return &StatusResponse{
		PlanOffset: status.PlanOffset, PlanId: status.PlanID, Region: status.Self.Region,
		Zone: status.Self.Zone, Stopping: status.Stopping, Json: data,
	}, nil
}

func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusNoContent)
}

// ready tells whether the node can route calls.
func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	ready := false
	s.Loop.Inspect(func(r *reducer.Reducer) { ready = r.Ready() })
	if !ready {
		http.Error(w, "no plan is in force here, or the node is stopping; see the status command", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// metrics writes the node's totals and the process's memory as JSON.
func (s *Server) metrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	s.renew(func(registry metrics.Registry) { metrics.WriteJSONOnce(registry, w) })
}

// WriteMetrics answers a request with the same figures as lines of text.
func (s *Server) WriteMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	s.renew(func(registry metrics.Registry) { metrics.WriteOnce(registry, w) })
}

// renew brings the figures up to date and writes them.
func (s *Server) renew(write func(metrics.Registry)) {
	var status reducer.Status
	s.Loop.Inspect(func(r *reducer.Reducer) { status = r.Status() })
	s.metricsMu.Lock()
	defer s.metricsMu.Unlock()
	fill(s.Registry, status)
	metrics.GetOrRegisterGauge("control.bytes", s.Registry).Update(s.ControlBytes())
	metrics.CaptureRuntimeMemStatsOnce(s.Registry)
	write(s.Registry)
}

// fill renews the node's totals and gauges.
func fill(registry metrics.Registry, status reducer.Status) {
	counts := status.Counts
	counters := []struct {
		name  string
		value uint64
	}{
		{"calls", counts.Calls},
		{"calls.good", counts.Good},
		{"calls.bad", counts.Bad},
		{"calls.left", counts.CallersLeft},
		{"attempts", counts.Attempts},
		{"retries", counts.Retries},
		{"retries.denied", counts.RetriesDenied},
		{"forwarded", counts.Forwarded},
		{"forwarded.not-home", counts.NotHome},
		{"replays", counts.Replays},
		{"work.started", counts.Started},
		{"work.refused", counts.Refused},
		{"probes", counts.Probes},
		{"probes.denied", counts.ProbesDenied},
		{"upstream.deaths", counts.UpstreamDeaths},
		{"cross-region.bytes", counts.CrossRegionBytes},
	}
	for _, c := range counters {
		counter := metrics.GetOrRegisterCounter(c.name, registry)
		counter.Clear()
		counter.Inc(int64(c.value))
	}
	gauges := []struct {
		name  string
		value int64
	}{
		{"work.running", int64(status.Running)},
		{"work.queued", int64(status.Queued)},
		{"keys", int64(status.Keys)},
		{"members", int64(len(status.Members))},
		{"plan.offset", status.PlanOffset},
		{"log.next", status.LogNext},
	}
	for _, g := range gauges {
		metrics.GetOrRegisterGauge(g.name, registry).Update(g.value)
	}
}
