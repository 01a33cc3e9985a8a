package reducer

import "time"

// Record is one entry of the platform's log; exactly one part is set.
type Record struct {
	ID       string       `json:"id"`
	Plan     *PlanSpec    `json:"plan,omitempty"`
	Member   *MemberSpec  `json:"member,omitempty"`
	Table    *TableChange `json:"table,omitempty"`
	Snapshot *Snapshot    `json:"snapshot,omitempty"`
}

// ChangeKind names a change of a service's home table.
type ChangeKind string

// The changes of a home table.
const (
	ChangeFirst    ChangeKind = "first"
	ChangeHandover ChangeKind = "handover"
	ChangeClaim    ChangeKind = "claim"
)

// Owner names the process that is home to a partition of caller-chosen keys.
type Owner struct {
	Address     string    `json:"address"`
	Incarnation uint64    `json:"incarnation"`
	Started     time.Time `json:"started"`
	Upstream    string    `json:"upstream,omitempty"`
}

// ID returns the identity of the owner's process.
func (o Owner) ID() NodeID { return NewNodeID(o.Address, o.Incarnation) }

// TableChange is one change of a service's home table.
type TableChange struct {
	// Sequence orders the changes that one process makes.
	Sequence   uint64     `json:"sequence"`
	Service    string     `json:"service"`
	Kind       ChangeKind `json:"kind"`
	From       Owner      `json:"from,omitzero"`
	To         Owner      `json:"to"`
	Partitions []int      `json:"partitions,omitempty"`
	Made       time.Time  `json:"made"`
}

// Snapshot restates what the log's records up to and including AsOf add up to.
type Snapshot struct {
	AsOf       int64           `json:"as_of"`
	PlanOffset int64           `json:"plan_offset"`
	Plan       PlanSpec        `json:"plan"`
	Rejected   []Rejection     `json:"rejected,omitempty"`
	Tables     []TableSnapshot `json:"tables,omitempty"`
}

// TableSnapshot restates one service's home table.
type TableSnapshot struct {
	Service string      `json:"service"`
	Version int64       `json:"version"`
	Owners  []Owner     `json:"owners"`
	Shares  []int       `json:"shares"`
	Cuts    []time.Time `json:"cuts,omitempty"`
}
