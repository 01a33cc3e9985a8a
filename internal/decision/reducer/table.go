package reducer

import (
	"hash/fnv"
	"slices"
	"time"
)

// partitionCount is the number of partitions of a service's caller-chosen keys. Snapshots with
// another number are rejected (see newHomeTable).
const partitionCount = 32

// partition holds the owner of one part of a service's caller-chosen keys.
type partition struct {
	owner Owner
	// recordsLostAt is when the partition was claimed without its key records, or zero.
	recordsLostAt time.Time
}

// homeTable maps each partition of a service's caller-chosen keys to the process that is its
// home.
type homeTable struct {
	// version is the log offset of the last change, or zero for an empty table.
	version    int64
	partitions [partitionCount]partition
}

// partitionOf returns the partition of a caller-chosen key.
func partitionOf(key string) int {
	h := fnv.New64a()
	_, _ = h.Write([]byte(key))
	return int(h.Sum64() % partitionCount)
}

// apply applies a change if it is valid. Plan is the plan in force at the change's offset.
func (t *homeTable) apply(offset int64, change TableChange, plan Plan) {
	changed := false
	switch change.Kind {
	case ChangeFirst:
		changed = t.applyFirst(change)
	case ChangeHandover:
		changed = t.applyHandover(change)
	case ChangeClaim:
		changed = t.applyClaim(change, plan)
	}
	if changed {
		t.version = offset
	}
}

// applyFirst gives all partitions to one owner, if the table is empty, and reports whether the
// table changed.
func (t *homeTable) applyFirst(change TableChange) bool {
	if t.version != 0 {
		return false
	}
	for i := range t.partitions {
		t.partitions[i] = partition{owner: change.To}
	}
	return true
}

// applyHandover moves the listed partitions that From still owns and reports whether there were
// any.
func (t *homeTable) applyHandover(change TableChange) bool {
	changed := false
	for _, i := range change.Partitions {
		if i < 0 || i >= partitionCount || t.partitions[i].owner.ID() != change.From.ID() {
			continue
		}
		t.partitions[i].owner = change.To
		changed = true
	}
	return changed
}

// applyClaim moves the partitions of a process that is known to be gone: either a later
// process at its address makes the claim, or the plan lists its VM as gone. It reports whether
// the table changed.
func (t *homeTable) applyClaim(change TableChange, plan Plan) bool {
	replaced := change.To.Address == change.From.Address && change.To.Started.After(change.From.Started)
	changed := false
	for i := range t.partitions {
		owner := t.partitions[i].owner
		if owner.ID() != change.From.ID() {
			continue
		}
		if !replaced && !plan.gone(owner.Upstream) {
			continue
		}
		t.partitions[i] = partition{owner: change.To, recordsLostAt: change.Made}
		changed = true
	}
	return changed
}

// owned returns the partitions whose home is the given process.
func (t *homeTable) owned(id NodeID) []int {
	var shares []int
	for i, p := range t.partitions {
		if p.owner.ID() == id {
			shares = append(shares, i)
		}
	}
	return shares
}

// owners returns each owner once, in the order of its first partition.
func (t *homeTable) owners() []Owner {
	var owners []Owner
	for _, p := range t.partitions {
		if !slices.Contains(owners, p.owner) {
			owners = append(owners, p.owner)
		}
	}
	return owners
}

// snapshot returns the table as a snapshot.
func (t *homeTable) snapshot(service string) TableSnapshot {
	s := TableSnapshot{Service: service, Version: t.version, Owners: t.owners()}
	for _, p := range t.partitions {
		s.OwnerIndexes = append(s.OwnerIndexes, slices.Index(s.Owners, p.owner))
		s.ClaimedAt = append(s.ClaimedAt, p.recordsLostAt)
	}
	return s
}

// newHomeTable returns the table that a snapshot holds, or nil when the snapshot is malformed.
func newHomeTable(s TableSnapshot) *homeTable {
	if len(s.OwnerIndexes) != partitionCount || len(s.ClaimedAt) != partitionCount {
		return nil
	}
	t := &homeTable{version: s.Version}
	for i, share := range s.OwnerIndexes {
		if share < 0 || share >= len(s.Owners) {
			return nil
		}
		t.partitions[i] = partition{owner: s.Owners[share], recordsLostAt: s.ClaimedAt[i]}
	}
	return t
}
