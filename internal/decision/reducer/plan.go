package reducer

import (
	"slices"
	"time"
)

// Length is the length class of a kind of request, by which guards assign slots.
type Length string

// The length classes.
const (
	LengthShort Length = "short"
	LengthLong  Length = "long"
)

// Kind is the plan's policy for one kind of request. Weight is its priority in a full queue,
// and Allowance the timeout of calls whose caller sets no deadline.
type Kind struct {
	Name       string        `json:"name"`
	Weight     int           `json:"weight"`
	Allowance  time.Duration `json:"allowance"`
	Length     Length        `json:"length"`
	Idempotent bool          `json:"idempotent"`
}

// RegionWeight is the relative weight of a region's upstreams for a service.
type RegionWeight struct {
	Region string `json:"region"`
	Weight int    `json:"weight"`
}

// ServicePlan is the plan's policy for one service. Leaving and Gone list upstreams by
// address: those that get no new work, and those whose VM is off.
type ServicePlan struct {
	Name    string         `json:"name"`
	Kinds   []Kind         `json:"kinds"`
	Regions []RegionWeight `json:"regions,omitempty"`
	Leaving []string       `json:"leaving,omitempty"`
	Gone    []string       `json:"gone,omitempty"`
	// HealthPath is the path of the upstreams' health check, or empty.
	HealthPath string `json:"health_path,omitempty"`
	// MaxConnections limits the connections to one upstream; zero means no limit.
	MaxConnections int `json:"max_connections,omitempty"`
	// Warmup is how long an upstream stays cold after its start.
	Warmup time.Duration `json:"warmup,omitempty"`
	// WarmupRate is the number of requests per second that a cold upstream bears; zero sets no
	// bound.
	WarmupRate float64 `json:"warmup_rate,omitempty"`
}

// Tenant is a team whose callers identify themselves by access keys.
type Tenant struct {
	Name string `json:"name"`
	// KeyDigests are the lower-case hexadecimal SHA-256 digests of the tenant's access keys.
	KeyDigests []string `json:"key_digests,omitempty"`
	// Priority replaces the priority of the route; zero is the highest.
	Priority int `json:"priority,omitempty"`
	// RatePerSecond and Burst limit the tenant's requests over all nodes together; a rate of
	// zero sets no limit.
	RatePerSecond float64 `json:"rate_per_second,omitempty"`
	Burst         float64 `json:"burst,omitempty"`
	// Regions lists the regions that may serve the tenant; empty allows all.
	Regions []string `json:"regions,omitempty"`
}

// PlanSpec is the content of a plan as operators publish it. Base is the offset of the plan
// that it replaces.
type PlanSpec struct {
	ID       string        `json:"id"`
	Base     int64         `json:"base"`
	Operator string        `json:"operator"`
	Services []ServicePlan `json:"services"`
	Routes   []Route       `json:"routes,omitempty"`
	Limits   CallerLimits  `json:"limits,omitzero"`
	// Tenants lists the teams that may use the routes that are not open; empty opens all routes.
	Tenants []Tenant `json:"tenants,omitempty"`
	// EvacuatedZones lists the availability zones whose upstreams get no new work.
	EvacuatedZones []string `json:"evacuated_zones,omitempty"`
	// KeptZones lists the availability zones whose state a former era of the store has given, against the
	// records of its present era before the offset KeptBefore.
	KeptZones  []string `json:"kept_zones,omitempty"`
	KeptBefore int64    `json:"kept_before,omitempty"`
	// StoreEra is the era of the store that the plan was read from, and StoreBase the number that was added to
	// its offset there, so that it is newer than the plans of earlier eras. Both are zero without eras.
	StoreEra  uint64 `json:"store_era,omitempty"`
	StoreBase int64  `json:"store_base,omitempty"`
	// Requests holds the requests for evacuations that the store had at the offsets from RequestsFrom up to the
	// one that the plan was read at, by offset.
	Requests     []EvacuationRequest `json:"requests,omitempty"`
	RequestsFrom int64               `json:"requests_from,omitempty"`
}

// EvacuationRequest is an operator's request to begin or to end the evacuation of an availability zone.
type EvacuationRequest struct {
	// Offset is the offset of the request's record.
	Offset int64 `json:"offset"`
	// Zone is the availability zone.
	Zone string `json:"zone"`
	// Begin is false if the evacuation is to end.
	Begin bool `json:"begin"`
}

// CallerLimits limits what a caller may send and how long it may take; zero means no limit.
type CallerLimits struct {
	BodyBytes   int64 `json:"body_bytes,omitempty"`
	HeaderBytes int   `json:"header_bytes,omitempty"`
	// HeaderTimeout bounds the time until a request's head is complete.
	HeaderTimeout time.Duration `json:"header_timeout,omitempty"`
	// IdleTimeout is how long a connection may stay open between two requests.
	IdleTimeout time.Duration `json:"idle_timeout,omitempty"`
}

// Plan is an accepted configuration at its offset in the log.
type Plan struct {
	offset int64
	spec   PlanSpec
}

// NewPlan returns the plan that was accepted at offset.
func NewPlan(offset int64, spec PlanSpec) Plan { return Plan{offset: offset, spec: spec} }

// Offset returns the plan's offset in the log, or zero for no plan.
func (p Plan) Offset() int64 { return p.offset }

// Spec returns the plan's content.
func (p Plan) Spec() PlanSpec { return p.spec }

// gone reports whether the plan lists the upstream as gone, which means that its VM is off.
func (p Plan) gone(upstream string) bool {
	for _, s := range p.spec.Services {
		if slices.Contains(s.Gone, upstream) {
			return true
		}
	}
	return false
}

// regionWeight returns the weight of a region, one by default.
func (s ServicePlan) regionWeight(region string) int {
	for _, w := range s.Regions {
		if w.Region == region {
			return w.Weight
		}
	}
	return 1
}

// excludes reports whether the plan sends no new work to an upstream.
func (s ServicePlan) excludes(upstream string) bool {
	return slices.Contains(s.Leaving, upstream) || slices.Contains(s.Gone, upstream)
}

// Rejection is the reason why a plan record in the log was not accepted.
type Rejection struct {
	Offset   int64  `json:"offset"`
	PlanID   string `json:"plan_id"`
	Operator string `json:"operator"`
	Reason   string `json:"reason"`
}
