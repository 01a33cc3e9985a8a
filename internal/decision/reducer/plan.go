package reducer

import (
	"slices"
	"time"
)

// Length tells short kinds of request from long ones.
type Length string

// The two length classes.
const (
	LengthShort Length = "short"
	LengthLong  Length = "long"
)

// Kind is the plan's policy for one kind of request.
type Kind struct {
	Name       string        `json:"name"`
	Weight     int           `json:"weight"`
	Allowance  time.Duration `json:"allowance"`
	Length     Length        `json:"length"`
	Idempotent bool          `json:"idempotent"`
}

// RegionWeight is the share of a service's work that a region should carry.
type RegionWeight struct {
	Region string `json:"region"`
	Weight int    `json:"weight"`
}

// ServicePlan is the plan's policy for one service.
type ServicePlan struct {
	Name    string         `json:"name"`
	Kinds   []Kind         `json:"kinds"`
	Regions []RegionWeight `json:"regions,omitempty"`
	Leaving []string       `json:"leaving,omitempty"`
	Gone    []string       `json:"gone,omitempty"`
	// HealthPath is where the service's upstreams tell of their health, or empty.
	HealthPath string `json:"health_path,omitempty"`
	// MaxConnections bounds the connections to one upstream; zero sets no bound.
	MaxConnections int `json:"max_connections,omitempty"`
}

// PlanSpec is the content of a plan as operators publish it.
type PlanSpec struct {
	ID       string        `json:"id"`
	Base     int64         `json:"base"`
	Operator string        `json:"operator"`
	Services []ServicePlan `json:"services"`
	Routes   []Route       `json:"routes,omitempty"`
	Limits   CallerLimits  `json:"limits,omitzero"`
}

// CallerLimits bound what a caller may send; a zero value sets no bound.
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

// gone reports whether the plan says that the VM of an upstream is off.
func (p Plan) gone(upstream string) bool {
	for _, s := range p.spec.Services {
		if slices.Contains(s.Gone, upstream) {
			return true
		}
	}
	return false
}

// regionWeight returns the weight of a region; regions without a row weigh one.
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

// Rejection says why a plan record was not accepted.
type Rejection struct {
	Offset   int64  `json:"offset"`
	PlanID   string `json:"plan_id"`
	Operator string `json:"operator"`
	Reason   string `json:"reason"`
}
