package reducer

import (
	"fmt"
	"time"
)

// NodeID identifies one process of a node by its address and its incarnation.
type NodeID struct {
	address     string
	incarnation uint64
}

// NewNodeID returns the ID of the process that listens for peers on address and chose
// incarnation at its start.
func NewNodeID(address string, incarnation uint64) NodeID {
	return NodeID{address: address, incarnation: incarnation}
}

// Address returns the host and port of the peers' listener.
func (n NodeID) Address() string { return n.address }

// Incarnation returns the number that the process chose at its start.
func (n NodeID) Incarnation() uint64 { return n.incarnation }

// IsZero reports whether the ID is unset.
func (n NodeID) IsZero() bool { return n == NodeID{} }

// String returns the ID as address/incarnation, with the incarnation in hexadecimal.
func (n NodeID) String() string { return fmt.Sprintf("%s/%016x", n.address, n.incarnation) }

// Member holds what a node announces about itself and its upstream.
type Member struct {
	spec MemberSpec
}

// MemberSpec holds the announced values of a member.
type MemberSpec struct {
	// Address is the host and port of the peers' listener.
	Address     string `json:"address"`
	Incarnation uint64 `json:"incarnation"`
	// Started is the start time of the process by its own clock.
	Started time.Time `json:"started"`
	// Version orders the announcements of one process.
	Version uint64 `json:"version"`
	Region  string `json:"region"`
	Zone    string `json:"zone"`
	Service string `json:"service,omitempty"`
	// Upstream is the address of the upstream, or empty.
	Upstream string `json:"upstream,omitempty"`
	// Slots is the number of calls that the upstream runs at a time.
	Slots int `json:"slots,omitempty"`
	// Operators is the address of the node's operator API.
	Operators string `json:"operators,omitempty"`
	// Leaving means that the member accepts no new work.
	Leaving bool `json:"leaving,omitempty"`
	// Instance identifies the upstream process, or is empty.
	Instance string `json:"instance,omitempty"`
	// UpstreamStarted is the start time of that process by its own clock; zero means unknown.
	UpstreamStarted time.Time `json:"upstream_started,omitzero"`
	// LeavingRuns are the last runs of the upstream that announced their leaving.
	LeavingRuns []UpstreamRun `json:"leaving_runs,omitempty"`
}

// NewMember returns a member with the values of spec.
func NewMember(spec MemberSpec) Member { return Member{spec: spec} }

// ID returns the ID of the member's process.
func (m Member) ID() NodeID { return NewNodeID(m.spec.Address, m.spec.Incarnation) }

// run returns the run of the member's upstream.
func (m Member) run() UpstreamRun { return NewUpstreamRun(m.spec.Instance, m.spec.UpstreamStarted) }

// Leaving reports whether the member accepts no new work.
func (m Member) Leaving() bool { return m.spec.Leaving }

// Region returns the region that the member runs in.
func (m Member) Region() string { return m.spec.Region }

// Service returns the service of the member's upstream, or an empty string.
func (m Member) Service() string { return m.spec.Service }

// Slots returns the number of calls that the member's upstream runs at a time.
func (m Member) Slots() int { return m.spec.Slots }

// Spec returns the announced values.
func (m Member) Spec() MemberSpec { return m.spec }

// Started returns the start time of the member's process by its own clock.
func (m Member) Started() time.Time { return m.spec.Started }

// Upstream returns the address of the member's upstream, or an empty string.
func (m Member) Upstream() string { return m.spec.Upstream }

// Zone returns the availability zone that the member runs in.
func (m Member) Zone() string { return m.spec.Zone }

// supersedes reports whether m is a later announcement than other for the same
// address.
func (m Member) supersedes(other Member) bool {
	if !m.spec.Started.Equal(other.spec.Started) {
		return m.spec.Started.After(other.spec.Started)
	}
	if m.spec.Incarnation != other.spec.Incarnation {
		return m.spec.Incarnation > other.spec.Incarnation
	}
	return m.spec.Version > other.spec.Version
}
