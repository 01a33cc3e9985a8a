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
}

// CallerLimits limits what a caller may send, in bytes; zero means no limit.
type CallerLimits struct {
	BodyBytes int64 `json:"body_bytes,omitempty"`
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
