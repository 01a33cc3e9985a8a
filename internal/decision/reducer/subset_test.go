package reducer

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	largeRegionZones    = 3
	largeRegionPerZone  = 33
	largeRegionHasOther = 40
)

// largeRegionSpecs returns the nodes of a region of 99 VMs in three zones, and of another region.
// All upstreams are of one service.
func largeRegionSpecs(now time.Time) []MemberSpec {
	var specs []MemberSpec
	add := func(region, zone string) {
		i := len(specs) + 1
		specs = append(specs, MemberSpec{
			Address: fmt.Sprintf("10.%d.0.%d:7600", i/100, i%100+1), Incarnation: uint64(i), Started: now, Version: 1,
			Region: region, Zone: zone, Service: routedService, Upstream: fmt.Sprintf("10.%d.0.%d:8080", i/100, i%100+1), Slots: 5,
		})
	}
	for i := range largeRegionZones * largeRegionPerZone {
		add("r1", fmt.Sprint("z", i%largeRegionZones))
	}
	for range largeRegionHasOther {
		add("r2", "far")
	}
	return specs
}

// largeRegionNode returns a node that has heard a report from every other node: loads holds the
// load of those that are not idle.
func largeRegionNode(self MemberSpec, specs []MemberSpec, loads func(MemberSpec) LoadReport) *routedNode {
	n := newRoutedNode(true)
	n.Reducer = &Reducer{Self: self, Settings: n.Settings, Seed: self.Incarnation}
	n.step(PlanPublished{Plan: routedPlan(1, true)})
	n.step(UpstreamAnnounced{Service: self.Service, Address: self.Upstream, Slots: self.Slots, Instance: "i-1"})
	for _, spec := range specs {
		if spec.Address != self.Address {
			n.report(spec, loads(spec))
		}
	}
	return n
}

func idleLoad(MemberSpec) LoadReport { return load(0, testServiceTime) }

// TestGuardsReportToTheEntriesThatUseThem checks that guards and entries agree on who sends work to
// whom without telling each other.
func TestGuardsReportToTheEntriesThatUseThem(t *testing.T) {
	c := qt.New(t)
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	specs := largeRegionSpecs(now)
	entry := largeRegionNode(specs[0], specs, idleLoad)
	subset := entry.members.subset(entry.members.services[routedService])
	c.Assert(subset[tierZone], qt.HasLen, maxZoneSubset)
	c.Assert(subset[tierRegion], qt.HasLen, maxRegionSubset)
	c.Assert(subset[tierOtherRegion], qt.HasLen, maxOtherRegionSubset)
	for _, spec := range specs[1 : largeRegionZones*largeRegionPerZone] {
		guard := largeRegionNode(spec, specs, idleLoad)
		using, others := guard.members.reportReceivers(guard.members.peers[spec.Address])
		c.Assert(len(using)+len(others), qt.Equals, largeRegionZones*largeRegionPerZone-1)
		used := slices.ContainsFunc(slices.Concat(subset[tierZone], subset[tierRegion]), func(p *peer) bool {
			return p.member.spec.Address == spec.Address
		})
		c.Assert(slices.Contains(using, specs[0].Address), qt.Equals, used, qt.Commentf(spec.Address))
	}
}

// TestLoadOfALargeRegionIsReportedManyTimesASecond changes a guard's load on every tick. With one
// report to all 98 peers each time, the bound on reports leaves each of them less than two a
// second.
func TestLoadOfALargeRegionIsReportedManyTimesASecond(t *testing.T) {
	c := qt.New(t)
	const seconds = 10
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	specs := largeRegionSpecs(now)
	n := largeRegionNode(specs[0], specs, idleLoad)
	using, others := n.members.reportReceivers(n.members.peers[specs[0].Address])
	n.advance(2 * introductionTime)
	n.step(Tick{})
	received := map[string]int{}
	total := 0
	for i := range seconds * 50 {
		n.advance(20 * time.Millisecond)
		n.guard.admission.pace, n.guard.admission.paceAt = 100+i, n.now
		for _, p := range n.members.order {
			// Peers that can watch the plan store in place of this node.
			p.heardAt, p.plansReachable = n.now, true
		}
		for _, tell := range loadReports(n.step(Tick{})) {
			total += len(tell.Addresses)
			for _, address := range tell.Addresses {
				received[address]++
			}
		}
	}
	for _, address := range using {
		c.Assert(received[address] >= 4*seconds, qt.IsTrue, qt.Commentf("%s got %d", address, received[address]))
	}
	for _, address := range others {
		c.Assert(received[address] >= 1, qt.IsTrue, qt.Commentf("%s got %d", address, received[address]))
	}
	most := seconds * (n.Settings.ReportsPerSecond + presencePerSecond + 1)
	c.Assert(total <= most, qt.IsTrue, qt.Commentf("%d reports, at most %d", total, most))
}

// TestEntriesWithOnePictureDoNotAllChooseOneUpstream lets every entry of a large region send a call
// at the same moment, when one upstream has just reported to be idle and all others to be full.
func TestEntriesWithOnePictureDoNotAllChooseOneUpstream(t *testing.T) {
	c := qt.New(t)
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	specs := largeRegionSpecs(now)
	idle := specs[7].Address
	loads := func(spec MemberSpec) LoadReport {
		if spec.Address == idle {
			return load(0, testServiceTime)
		}
		return load(6, testServiceTime)
	}
	chosen := map[string]int{}
	for _, self := range specs[:largeRegionZones*largeRegionPerZone] {
		if self.Address == idle {
			continue
		}
		n := largeRegionNode(self, specs, loads)
		// The entry's own upstream takes no work.
		n.members.peers[self.Address].avoidUntil = n.now.Add(time.Hour)
		chosen[sent(c, n.call("/a/x", time.Second)).Target.Address()]++
	}
	c.Assert(chosen[idle] > 0, qt.IsTrue)
	for address, count := range chosen {
		c.Assert(count <= largeRegionZones*largeRegionPerZone/3, qt.IsTrue, qt.Commentf("%s was chosen by %d", address, count))
	}
}

// TestNodeThatWasNotAnnouncedReportsNothing asks for the receivers of a node that does not
// know itself yet.
func TestNodeThatWasNotAnnouncedReportsNothing(t *testing.T) {
	c := qt.New(t)
	using, others := newRoutedNode(true).members.reportReceivers(nil)
	c.Assert(using, qt.HasLen, 0)
	c.Assert(others, qt.HasLen, 0)
}
