package peer

import (
	"encoding/json"
	"time"

	"github.com/samber/oops"

	"github.com/tanagerline/tanagerline/internal/decision/reducer"
)

func memberToWire(m reducer.Member) *MemberInfo {
	s := m.Spec()
	return &MemberInfo{
		Address: s.Address, Incarnation: s.Incarnation, StartedUnixNanoseconds: s.Started.UnixNano(),
		Version: s.Version, Region: s.Region, Zone: s.Zone, Service: s.Service, Upstream: s.Upstream,
		Slots: int32(s.Slots), Leaving: s.Leaving, Operators: s.Operators, Instance: s.Instance,
		UpstreamStartedUnixNanoseconds: timeToWire(s.UpstreamStarted), LeavingRuns: runsToWire(s.LeavingRuns),
	}
}

// timeToWire returns a time in Unix nanoseconds, zero for the zero time.
func timeToWire(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixNano()
}

func timeFromWire(nanoseconds int64) time.Time {
	if nanoseconds == 0 {
		return time.Time{}
	}
	return time.Unix(0, nanoseconds).UTC()
}

func runsToWire(runs []reducer.UpstreamRun) []*UpstreamRunInfo {
	var wire []*UpstreamRunInfo
	for _, run := range runs {
		wire = append(wire, &UpstreamRunInfo{Instance: run.Instance(), StartedUnixNanoseconds: timeToWire(run.Started())})
	}
	return wire
}

func runsFromWire(wire []*UpstreamRunInfo) []reducer.UpstreamRun {
	var runs []reducer.UpstreamRun
	for _, run := range wire {
		runs = append(runs, reducer.NewUpstreamRun(run.GetInstance(), timeFromWire(run.GetStartedUnixNanoseconds())))
	}
	return runs
}

func memberFromWire(m *MemberInfo) reducer.Member {
	return reducer.NewMember(reducer.MemberSpec{
		Address: m.GetAddress(), Incarnation: m.GetIncarnation(),
		Started: time.Unix(0, m.GetStartedUnixNanoseconds()).UTC(), Version: m.GetVersion(),
		Region: m.GetRegion(), Zone: m.GetZone(), Service: m.GetService(), Upstream: m.GetUpstream(),
		Slots: int(m.GetSlots()), Leaving: m.GetLeaving(), Operators: m.GetOperators(), Instance: m.GetInstance(),
		UpstreamStarted: timeFromWire(m.GetUpstreamStartedUnixNanoseconds()), LeavingRuns: runsFromWire(m.GetLeavingRuns()),
	})
}

func membersToWire(members []reducer.Member) []*MemberInfo {
	wire := make([]*MemberInfo, 0, len(members))
	for _, m := range members {
		wire = append(wire, memberToWire(m))
	}
	return wire
}

func membersFromWire(wire []*MemberInfo) []reducer.Member {
	members := make([]reducer.Member, 0, len(wire))
	for _, m := range wire {
		members = append(members, memberFromWire(m))
	}
	return members
}

func digestToWire(d reducer.Digest) *StateDigest {
	return &StateDigest{
		Address: d.Address, Incarnation: d.Incarnation, PlanOffset: d.PlanOffset, LogNext: d.LogNext,
		LogKnown: d.LogKnown, Members: int32(d.Members), MembersHash: d.MembersHash, Load: d.Load.String(),
		PlansReachable: d.PlanStoreReachable, UptimeMilliseconds: uint64(d.Uptime.Milliseconds()),
		QuotaHolders: d.QuotaHolders, LeavingUnknown: d.LeavingUnknown, LeavingHash: d.LeavingHash,
		StoreEra: d.StoreEra,
	}
}

func digestFromWire(d *StateDigest) reducer.Digest {
	load, err := reducer.ParseLoadReport(d.GetLoad())
	if err != nil {
		load = reducer.LoadReport{}
	}
	return reducer.Digest{
		Address: d.GetAddress(), Incarnation: d.GetIncarnation(), PlanOffset: d.GetPlanOffset(),
		LogNext: d.GetLogNext(), LogKnown: d.GetLogKnown(), Members: int(d.GetMembers()),
		MembersHash: d.GetMembersHash(), Load: load, PlanStoreReachable: d.GetPlansReachable(),
		Uptime: time.Duration(d.GetUptimeMilliseconds()) * time.Millisecond, QuotaHolders: d.GetQuotaHolders(),
		LeavingUnknown: d.GetLeavingUnknown(), LeavingHash: d.GetLeavingHash(),
		StoreEra: d.GetStoreEra(),
	}
}

func planToWire(p *reducer.Plan) (*PlanInfo, error) {
	if p == nil {
		return nil, nil
	}
	data, err := json.Marshal(p.Spec())
	if err != nil {
		return nil, oops.Wrapf(err, "encode plan %s", p.Spec().ID)
	}
	return &PlanInfo{Offset: p.Offset(), Json: data}, nil
}

func planFromWire(p *PlanInfo) (*reducer.Plan, error) {
	if p == nil {
		return nil, nil
	}
	var spec reducer.PlanSpec
	if err := json.Unmarshal(p.GetJson(), &spec); err != nil {
		return nil, oops.Wrapf(err, "decode the plan at offset %d", p.GetOffset())
	}
	plan := reducer.NewPlan(p.GetOffset(), spec)
	return &plan, nil
}

func stateToWire(s *reducer.Snapshot) ([]byte, error) {
	if s == nil {
		return nil, nil
	}
	return json.Marshal(s)
}

func stateFromWire(data []byte) (*reducer.Snapshot, error) {
	if len(data) == 0 {
		return nil, nil
	}
	var s reducer.Snapshot
	if err := json.Unmarshal(data, &s); err != nil {
		return nil, oops.Wrapf(err, "decode a peer's log state")
	}
	return &s, nil
}

// Suspects expire by what remains, because the VMs' clocks differ.
func suspectToWire(s reducer.Suspect, now time.Time) *SuspectInfo {
	return &SuspectInfo{
		Fingerprint: s.Fingerprint, Crashes: s.CrashIDs, RemainingNanoseconds: int64(s.Expires.Sub(now)),
	}
}

func suspectFromWire(s *SuspectInfo, now time.Time) reducer.Suspect {
	return reducer.Suspect{
		Fingerprint: s.GetFingerprint(), CrashIDs: s.GetCrashes(),
		Expires: now.Add(time.Duration(s.GetRemainingNanoseconds())),
	}
}

func suspectsToWire(suspects []reducer.Suspect, now time.Time) []*SuspectInfo {
	wire := make([]*SuspectInfo, 0, len(suspects))
	for _, s := range suspects {
		wire = append(wire, suspectToWire(s, now))
	}
	return wire
}

func suspectsFromWire(wire []*SuspectInfo, now time.Time) []reducer.Suspect {
	suspects := make([]reducer.Suspect, 0, len(wire))
	for _, s := range wire {
		suspects = append(suspects, suspectFromWire(s, now))
	}
	return suspects
}

// An attempt's age is sent instead of its instant, because the VMs' clocks differ.
func keysToWire(records []reducer.HandoverKey, now time.Time) []*KeyInfo {
	wire := make([]*KeyInfo, 0, len(records))
	for _, k := range records {
		wire = append(wire, &KeyInfo{
			Key: k.Key, Ran: k.Ran, Free: k.Free, Attempt: string(k.Attempt),
			GuardAddress: k.Guard.Address(), GuardIncarnation: k.Guard.Incarnation(),
			Fingerprint: k.Fingerprint, SentNanosecondsAgo: int64(now.Sub(k.Sent)),
		})
	}
	return wire
}

func keysFromWire(wire []*KeyInfo, now time.Time) []reducer.HandoverKey {
	records := make([]reducer.HandoverKey, 0, len(wire))
	for _, k := range wire {
		records = append(records, reducer.HandoverKey{
			Key: k.GetKey(), Ran: k.GetRan(), Free: k.GetFree(), Attempt: reducer.AttemptID(k.GetAttempt()),
			Guard:       reducer.NewNodeID(k.GetGuardAddress(), k.GetGuardIncarnation()),
			Fingerprint: k.GetFingerprint(), Sent: now.Add(-time.Duration(k.GetSentNanosecondsAgo())),
		})
	}
	return records
}
