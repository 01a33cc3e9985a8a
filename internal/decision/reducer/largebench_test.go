package reducer

import (
	"testing"
	"time"
)

// BenchmarkLargeRegion measures the steps of a node among 139 others, 98 of them in its region.
func BenchmarkLargeRegion(b *testing.B) {
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	specs := largeRegionSpecs(now)
	heard := func(n *routedNode, spec MemberSpec, members []Member) {
		n.Step(n.now, LoadReportReceived{
			From: spec.Address, Members: members,
			Digest: Digest{Address: spec.Address, Incarnation: spec.Incarnation, Load: idleLoad(spec), PlanStoreReachable: true},
		})
	}
	for _, test := range []struct {
		name string
		step func(n *routedNode)
	}{
		{"tick", func(n *routedNode) { n.Step(n.now, Tick{}) }},
		{"report", func(n *routedNode) { heard(n, specs[1], nil) }},
		{"report with announcement", func(n *routedNode) { heard(n, specs[1], []Member{NewMember(specs[1])}) }},
		{"report from another region", func(n *routedNode) { heard(n, specs[len(specs)-1], nil) }},
		{"call", func(n *routedNode) { n.call("/a/x", time.Second); n.Step(n.now, CallEnded{Call: n.calls}) }},
	} {
		b.Run(test.name, func(b *testing.B) {
			n := largeRegionNode(specs[0], specs, idleLoad)
			b.ReportAllocs()
			for range b.N {
				n.advance(20 * time.Millisecond / 50)
				test.step(n)
			}
		})
	}
}
