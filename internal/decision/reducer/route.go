package reducer

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Route is the plan's policy for the requests of one host and path prefix.
type Route struct {
	Name string `json:"name"`
	Host string `json:"host"`
	// Prefix begins and ends with a slash.
	Prefix   string         `json:"prefix"`
	Services []RouteService `json:"parts"`
	// Idempotent permits a request to run more than once.
	Idempotent bool `json:"idempotent,omitempty"`
	// Long marks requests with large bodies; they are of the length class LengthLong.
	Long bool `json:"long,omitempty"`
	// Timeout bounds the time until a caller gets an answer or a rejection.
	Timeout time.Duration `json:"timeout"`
	// Objective is the time after which an answer loses most of its value; zero sets none.
	Objective time.Duration `json:"objective,omitempty"`
	// Priority is the route's priority; zero is the highest.
	Priority int `json:"priority,omitempty"`
	// MaxAttempts bounds the attempts of one call that may reach an upstream; values below
	// one count as one.
	MaxAttempts int `json:"max_attempts,omitempty"`
	// Open lets callers use the route without an access key.
	Open bool `json:"open,omitempty"`
	// Regions lists the regions that may serve the route; empty allows all.
	Regions []string `json:"regions,omitempty"`
}

// RouteService is a service and its weight among a route's services.
type RouteService struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"`
}

// routeTable holds the routes of the plan in force, by host, and per-route state that is
// kept when a new plan takes effect.
type routeTable struct {
	byHost map[string][]*indexedRoute
	states map[string]*routeState
}

// indexedRoute is a route of the plan in force, with its derived kind and its state.
type indexedRoute struct {
	route Route
	kind  indexedKind
	state *routeState
}

// routeState holds the entry's state for a route across plans.
type routeState struct {
	// partCredits holds the current weight of each part for smooth weighted round robin.
	partCredits map[string]float64
	// longestTimeout is the longest timeout that callers set recently, seen at
	// longestTimeoutAt.
	longestTimeout   time.Duration
	longestTimeoutAt time.Time
	hedging          routeHedging
}

const (
	// minFirstTimeoutPercent and typicalFirstTimeoutPercent are the least and the typical
	// timeout of a request that is sent for the first time, in percent of the longest timeout:
	// callers differ somewhat in the timeout they set.
	minFirstTimeoutPercent     = 80
	typicalFirstTimeoutPercent = 92
)

// longestTimeoutLifetime is how long the longest timeout is kept: it changes only with the
// callers' settings.
const longestTimeoutLifetime = 10 * time.Second

// setRoutes replaces the routes by those of a new plan and keeps the state of routes with the
// same name.
func (t *routeTable) setRoutes(routes []Route) {
	known := t.states
	t.byHost = map[string][]*indexedRoute{}
	t.states = map[string]*routeState{}
	for _, route := range routes {
		state := known[route.Name]
		if state == nil {
			state = &routeState{partCredits: map[string]float64{}}
		}
		t.states[route.Name] = state
		length := LengthShort
		if route.Long {
			length = LengthLong
		}
		host := strings.ToLower(route.Host)
		t.byHost[host] = append(t.byHost[host], &indexedRoute{
			route: route, state: state,
			kind: indexedKind{kind: Kind{
				Name: route.Name, Weight: 1, Allowance: route.Timeout, Length: length, Idempotent: route.Idempotent,
			}},
		})
	}
	for _, list := range t.byHost {
		slices.SortStableFunc(list, func(a, b *indexedRoute) int {
			return cmp.Compare(len(b.route.Prefix), len(a.route.Prefix))
		})
	}
}

// find returns the route of the host whose prefix is the longest match for the path, or nil.
func (t *routeTable) find(host, path string) *indexedRoute {
	for _, candidate := range t.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, candidate.route.Prefix) {
			return candidate
		}
	}
	return nil
}

// RouteIdempotent reports whether the plan in force has a route for the path on the host that lets
// a request run more than once.
func (r *Reducer) RouteIdempotent(host, path string) bool {
	found := r.routes.find(host, path)
	return found != nil && found.route.Idempotent
}

// nextService returns the service for the route's next request, or an empty string if all
// weights are zero. Smooth weighted round robin distributes even a few requests by weight.
func (i *indexedRoute) nextService() string {
	if len(i.route.Services) == 1 {
		return i.route.Services[0].Service
	}
	total := 0.0
	best := ""
	for _, part := range i.route.Services {
		total += float64(part.Weight)
		i.state.partCredits[part.Service] += float64(part.Weight)
		if part.Weight > 0 && (best == "" || i.state.partCredits[part.Service] > i.state.partCredits[best]) {
			best = part.Service
		}
	}
	if best != "" {
		i.state.partCredits[best] -= total
	}
	return best
}

// timeSinceFirstSend estimates how long ago the caller first sent the request, from the time remaining
// until its deadline: a resend has less time left than a first request.
func (m *routeState) timeSinceFirstSend(now time.Time, remaining time.Duration) time.Duration {
	if remaining >= m.longestTimeout || now.Sub(m.longestTimeoutAt) > longestTimeoutLifetime {
		m.longestTimeout = remaining
		m.longestTimeoutAt = now
	}
	usual := m.longestTimeout * typicalFirstTimeoutPercent / 100
	if remaining > m.longestTimeout*minFirstTimeoutPercent/100 {
		return 0
	}
	return usual - remaining
}

// resolveRoute sets a routed call's service, kind and deadline from the plan in force and returns the
// problem, or an empty string.
func (r *Reducer) resolveRoute(c *call, e CallArrived) ProblemKind {
	if r.planInForce.offset == 0 {
		return ProblemNoPlan
	}
	found := r.routes.find(e.Host, e.Path)
	if found == nil {
		return ProblemUnknownRoute
	}
	c.route = found
	c.kind = &found.kind
	c.service = found.nextService()
	found.kind.burn = r.burn.series(c.service, "requests")
	timeout := r.now.Add(found.route.Timeout)
	if c.deadline.IsZero() || timeout.Before(c.deadline) {
		c.deadline = timeout
	}
	return ""
}

// resolveObjective sets a routed call's objective, which counts from when the caller first sent the request.
// The call must be authorized: its deadline counts for the estimates of the route's other calls. Where there
// are tenants, that of a call without one doesn't count, because anybody may set any deadline.
func (r *Reducer) resolveObjective(c *call, e CallArrived) {
	timeSinceFirstSend := time.Duration(0)
	if !e.Deadline.IsZero() && !c.anonymous() {
		timeSinceFirstSend = c.route.state.timeSinceFirstSend(r.now, e.Deadline.Sub(r.now))
	}
	c.objective = c.deadline
	if c.route.route.Objective > 0 {
		c.objective = r.now.Add(c.route.route.Objective - timeSinceFirstSend)
	}
}
