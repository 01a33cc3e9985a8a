package reducer

import "time"

// Record is one entry of the platform's log. Exactly one of its pointers is set.
type Record struct {
	ID       string       `json:"id"`
	Plan     *PlanSpec    `json:"plan,omitempty"`
	Member   *MemberSpec  `json:"member,omitempty"`
	Table    *TableChange `json:"table,omitempty"`
	Snapshot *Snapshot    `json:"snapshot,omitempty"`
}

// ChangeKind is the kind of a change to a service's home table.
type ChangeKind string

// The kinds of changes to a home table.
const (
	// ChangeFirst creates the table and gives every partition to one owner.
	ChangeFirst ChangeKind = "first"
	// ChangeHandover moves partitions together with their key records.
	ChangeHandover ChangeKind = "handover"
	// ChangeClaim moves the partitions of a process that is gone, without key records.
	ChangeClaim ChangeKind = "claim"
)

// Owner identifies the process that is home to a partition of caller-chosen keys.
type Owner struct {
	Address     string `json:"address"`
	Incarnation uint64 `json:"incarnation"`
	// Started is when the process started, by its own clock.
	Started time.Time `json:"started"`
	// Upstream is the address of the process's upstream, or empty.
	Upstream string `json:"upstream,omitempty"`
}

// ID returns the identity of the owner's process.
func (o Owner) ID() NodeID { return NewNodeID(o.Address, o.Incarnation) }

// TableChange is one change to a service's home table.
type TableChange struct {
	// Sequence orders the changes made by one process.
	Sequence uint64     `json:"sequence"`
	Service  string     `json:"service"`
	Kind     ChangeKind `json:"kind"`
	// From is the previous owner; it is unset for ChangeFirst.
	From Owner `json:"from,omitzero"`
	To   Owner `json:"to"`
	// Partitions lists the partitions that a handover moves, from 0 to partitionCount-1.
	Partitions []int `json:"partitions,omitempty"`
	// Made is when the change was made, by the clock of the process that made it.
	Made time.Time `json:"made"`
}

// Snapshot holds the state that results from the log's records up to offset AsOf, inclusive.
type Snapshot struct {
	AsOf int64 `json:"as_of"`
	// PlanOffset is the log offset of Plan.
	PlanOffset int64           `json:"plan_offset"`
	Plan       PlanSpec        `json:"plan"`
	Rejected   []Rejection     `json:"rejected,omitempty"`
	Tables     []TableSnapshot `json:"tables,omitempty"`
}

// TableSnapshot holds the state of one service's home table.
type TableSnapshot struct {
	Service string `json:"service"`
	// Version is the log offset of the last change to the table.
	Version int64   `json:"version"`
	Owners  []Owner `json:"owners"`
	// OwnerIndexes holds, for each partition, the index of its owner in Owners.
	OwnerIndexes []int `json:"shares"`
	// ClaimedAt holds, for each partition, when it was claimed without its key records, or a
	// zero time.
	ClaimedAt []time.Time `json:"cuts,omitempty"`
}
