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
	Prefix string      `json:"prefix"`
	Parts  []RoutePart `json:"parts"`
	// Idempotent tells that a request may run more than once.
	Idempotent bool `json:"idempotent,omitempty"`
	// Long tells that requests carry large bodies.
	Long bool `json:"long,omitempty"`
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration `json:"timeout"`
	// Objective is the time within which an answer is worth most; zero sets none.
	Objective time.Duration `json:"objective,omitempty"`
	// Priority ranks the route; zero is the highest rank.
	Priority int `json:"priority,omitempty"`
	// MaxAttempts bounds the upstreams that one call is sent to.
	MaxAttempts int `json:"max_attempts,omitempty"`
}

// RoutePart is the share of a route's requests that goes to one service.
type RoutePart struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"`
}

// routeTable finds the route of a request and remembers what must outlast a plan.
type routeTable struct {
	byHost map[string][]*indexedRoute
	memory map[string]*routeMemory
}

// indexedRoute is a route of the plan in force.
type indexedRoute struct {
	route  Route
	kind   indexedKind
	memory *routeMemory
}

// routeMemory is what the entry learned of a route.
type routeMemory struct {
	// credits are the parts' claims on the next request.
	credits map[string]float64
	// patience is the longest time that callers gave their requests lately.
	patience   time.Duration
	patienceAt time.Time
}

const (
	// leastPatience is the least part of the longest time that a caller gives a request
	// which it sends for the first time, and usualPatience the usual one, in percent:
	// callers differ by some.
	leastPatience = 80
	usualPatience = 92
)

// patienceMemory is how long the longest time that callers gave is remembered: it
// changes only with the callers' own settings.
const patienceMemory = 10 * time.Second

// replan takes the routes of a plan.
func (t *routeTable) replan(routes []Route) {
	known := t.memory
	t.byHost = map[string][]*indexedRoute{}
	t.memory = map[string]*routeMemory{}
	for _, route := range routes {
		memory := known[route.Name]
		if memory == nil {
			memory = &routeMemory{credits: map[string]float64{}}
		}
		t.memory[route.Name] = memory
		length := LengthShort
		if route.Long {
			length = LengthLong
		}
		host := strings.ToLower(route.Host)
		t.byHost[host] = append(t.byHost[host], &indexedRoute{
			route: route, memory: memory,
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

// find returns the route of the host with the longest prefix of the path, or nil.
func (t *routeTable) find(host, path string) *indexedRoute {
	for _, candidate := range t.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, candidate.route.Prefix) {
			return candidate
		}
	}
	return nil
}

// nextPart returns the service that the route's next request goes to. Parts take
// turns by smooth weighted round robin, so that even a few requests are shared out
// by weight.
func (i *indexedRoute) nextPart() string {
	if len(i.route.Parts) == 1 {
		return i.route.Parts[0].Service
	}
	total := 0.0
	best := ""
	for _, part := range i.route.Parts {
		total += float64(part.Weight)
		i.memory.credits[part.Service] += float64(part.Weight)
		if part.Weight > 0 && (best == "" || i.memory.credits[part.Service] > i.memory.credits[best]) {
			best = part.Service
		}
	}
	if best != "" {
		i.memory.credits[best] -= total
	}
	return best
}

// waited estimates how long the caller has waited since it first sent the request:
// a caller that returns gives its request less time than callers do at first.
func (m *routeMemory) waited(now time.Time, remaining time.Duration) time.Duration {
	if remaining >= m.patience || now.Sub(m.patienceAt) > patienceMemory {
		m.patience = remaining
		m.patienceAt = now
	}
	usual := m.patience * usualPatience / 100
	if remaining > m.patience*leastPatience/100 {
		return 0
	}
	return usual - remaining
}

// resolveRoute finds the plan's policy for a routed call.
func (r *Reducer) resolveRoute(c *call, e CallArrived) ProblemKind {
	if r.inForce.offset == 0 {
		return ProblemNoPlan
	}
	found := r.routes.find(e.Host, e.Path)
	if found == nil {
		return ProblemUnknownRoute
	}
	c.route = found
	c.kind = &found.kind
	c.service = found.nextPart()
	found.kind.burn = r.burn.series(c.service, "requests")
	timeout := r.now.Add(found.route.Timeout)
	waited := time.Duration(0)
	if c.deadline.IsZero() {
		c.deadline = timeout
	} else {
		waited = found.memory.waited(r.now, c.deadline.Sub(r.now))
		if timeout.Before(c.deadline) {
			c.deadline = timeout
		}
	}
	c.objective = c.deadline
	if found.route.Objective > 0 {
		c.objective = r.now.Add(found.route.Objective - waited)
	}
	return ""
}
