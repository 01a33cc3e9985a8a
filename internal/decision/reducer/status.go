package reducer

import (
	"slices"
	"time"
)

// Counts holds a node's totals since its start.
type Counts struct {
	// Calls counts the calls that arrived at the entry, including forwarded ones.
	Calls uint64 `json:"calls"`
	// Good counts calls with a complete answer in time that was not a server error.
	Good uint64 `json:"good"`
	Bad  uint64 `json:"bad"`
	// CallersLeft counts calls whose caller left before a good answer; they are not in Bad.
	CallersLeft uint64 `json:"callers_left"`
	// Attempts counts the attempts that the entry sent.
	Attempts uint64 `json:"attempts"`
	Retries  uint64 `json:"retries"`
	// RetriesDenied counts retries that a retry budget prevented.
	RetriesDenied uint64 `json:"retries_denied"`
	// Forwarded counts calls that this node forwarded to the home of their key.
	Forwarded uint64 `json:"forwarded"`
	// NotHome counts forwarded calls for keys whose home is another node.
	NotHome uint64 `json:"not_home"`
	Replays uint64 `json:"replays"`
	// Started counts the attempts that the guard started.
	Started uint64 `json:"started"`
	// Refused counts the attempts that the guard refused.
	Refused uint64 `json:"refused"`
	Probes  uint64 `json:"probes"`
	// ProbesDenied counts health probes that a probe budget prevented.
	ProbesDenied     uint64 `json:"probes_denied"`
	UpstreamDeaths   uint64 `json:"upstream_deaths"`
	CrossRegionBytes uint64 `json:"cross_region_bytes"`
	// QuotaRequests counts the requests for tokens to holders, and QuotaTokensGranted the tokens
	// that this node granted as a holder.
	QuotaRequests      uint64 `json:"quota_requests"`
	QuotaTokensGranted uint64 `json:"quota_tokens_granted"`
}

// MemberStatus holds a node's view of one member.
type MemberStatus struct {
	MemberSpec
	// Outstanding is the number of this node's attempts in flight to the member.
	Outstanding int `json:"outstanding"`
	// Load is the estimated number of attempts at the member's upstream.
	Load float64 `json:"load"`
	// ServiceTime is the average service time of short work.
	ServiceTime time.Duration `json:"service_time"`
	// Usable reports whether new attempts may be sent to the member.
	Usable bool `json:"usable"`
	// Ejected reports whether the member is excluded for slowness or failures.
	Ejected bool `json:"ejected"`
}

// Status holds a node's state and its view of the fleet for operators.
type Status struct {
	Self       MemberSpec `json:"self"`
	Stopping   bool       `json:"stopping"`
	PlanOffset int64      `json:"plan_offset"`
	PlanID     string     `json:"plan_id"`
	// LogNext is the next log offset to read, or zero before the first read.
	LogNext int64 `json:"log_next"`
	// LogKnown reports whether the node knows the state of the log up to LogNext.
	LogKnown bool `json:"log_known"`
	// Running is the number of attempts that run on the upstream.
	Running int `json:"running"`
	// Queued is the number of attempts that wait at the guard.
	Queued int `json:"queued"`
	// Keys is the number of idempotency keys that the node remembers.
	Keys     int             `json:"keys"`
	Members  []MemberStatus  `json:"members"`
	Tables   []TableSnapshot `json:"tables,omitempty"`
	Rejected []Rejection     `json:"rejected,omitempty"`
	Counts   Counts          `json:"counts"`
}

// Plan returns the plan in force.
func (r *Reducer) Plan() Plan { return r.planInForce }

// Counts returns the node's totals.
func (r *Reducer) Counts() Counts { return r.counts }

// LogNext returns the next log offset to read, or zero before the first read.
func (r *Reducer) LogNext() int64 { return r.log.next }

// Ready reports whether the node can route calls: it has a plan and is not stopping.
func (r *Reducer) Ready() bool { return r.planInForce.offset > 0 && !r.stopping }

// BriefStatus returns the node's status without members and home tables.
func (r *Reducer) BriefStatus() Status {
	return Status{
		Self: r.Self, Stopping: r.stopping, PlanOffset: r.planInForce.offset, PlanID: r.planInForce.spec.ID,
		LogNext: r.log.next, LogKnown: r.log.known, Running: r.guard.running, Queued: r.guard.queued(),
		Keys: len(r.keys.records), Rejected: slices.Clone(r.log.rejected), Counts: r.counts,
	}
}

// Status returns the node's status with all members and home tables.
func (r *Reducer) Status() Status {
	s := r.BriefStatus()
	for _, m := range r.allMembers() {
		p := r.members.peers[m.ID().Address()]
		s.Members = append(s.Members, MemberStatus{
			MemberSpec: m.Spec(), Outstanding: p.outstanding(), Load: p.load(r.now),
			ServiceTime: p.serviceTime, Usable: p.usable(r.now), Ejected: r.now.Before(p.ejectedUntil),
		})
	}
	if snapshot, ok := r.log.snapshot(); ok {
		s.Tables = snapshot.Tables
	}
	return s
}
