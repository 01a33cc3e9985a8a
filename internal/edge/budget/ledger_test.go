package budget

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

const megabyte = 1 << 20

var start = time.Date(2026, 12, 6, 0, 0, 0, 0, time.UTC)

// newHolder adds a holder that sends a body and has drawn bytes for it.
func newHolder(t *testing.T, l *ledger, class Class, address string, bytes int64) *holder {
	h := &holder{class: class, address: address, readers: 1}
	l.holders[h] = true
	if bytes > 0 {
		verdict, _ := l.draw(h, forBody, bytes, start)
		qt.Assert(t, verdict, qt.Equals, granted)
	}
	return h
}

// Guards against ending a slow but steady upload while others hold memory and send nothing.
func TestHolderWithoutProgressEndsFirst(t *testing.T) {
	l := newLedger(16 * megabyte)
	now := start.Add(time.Minute)
	var steady, small *holder
	for i := range 10 {
		newHolder(t, l, Callers, fmt.Sprint("client ", i), megabyte-10<<10)
	}
	steady = newHolder(t, l, Callers, "steady", 60<<10)
	small = newHolder(t, l, Callers, "small", 0)
	steady.add(1<<10, now)
	verdict, other := l.draw(small, forBody, 64<<10, now)
	qt.Assert(t, verdict, qt.Equals, end)
	qt.Assert(t, other, qt.Not(qt.Equals), steady)
	qt.Assert(t, other.held, qt.Equals, int64(megabyte-10<<10))
}

// Guards against ending many small holders where one large one stands still, too.
func TestLargestOfThoseWithoutProgressEndsFirst(t *testing.T) {
	l := newLedger(16 * megabyte)
	large := newHolder(t, l, Callers, "large", 3*megabyte)
	for i := range 14 {
		newHolder(t, l, Callers, fmt.Sprint("small ", i), megabyte/2)
	}
	drawer := newHolder(t, l, Callers, "drawer", 0)
	verdict, other := l.draw(drawer, forBody, megabyte/2, start.Add(time.Minute))
	qt.Assert(t, verdict, qt.Equals, end)
	qt.Assert(t, other, qt.Equals, large)
}

// Guards against a request that is ended while it runs, whose outcome would be unknown: the one that
// asks for more is refused instead.
func TestRunningRequestIsNotEnded(t *testing.T) {
	l := newLedger(16 * megabyte)
	for i := range 10 {
		newHolder(t, l, Callers, fmt.Sprint("client ", i), megabyte).readers = 0
	}
	drawer := newHolder(t, l, Callers, "drawer", 0)
	verdict, _ := l.draw(drawer, forBody, megabyte, start)
	qt.Assert(t, verdict, qt.Equals, refused)
	qt.Assert(t, drawer.ended, qt.IsTrue)
}

// Guards against callers' bodies that leave nothing for callers' heads and for peers.
func TestBodiesLeaveRoomForHeadsAndPeers(t *testing.T) {
	l := newLedger(16 * megabyte)
	for i := range 10 {
		newHolder(t, l, Callers, fmt.Sprint("client ", i), megabyte).readers = 0
	}
	head := &holder{class: Callers, address: "another", inHead: true}
	l.holders[head] = true
	verdict, _ := l.draw(head, forHead, megabyte, start)
	qt.Assert(t, verdict, qt.Equals, granted)
	newHolder(t, l, Peers, "peer", 4*megabyte)
}

// Guards against one address, or one connection, that takes all of the budget.
func TestSharesOfAddressesAndConnections(t *testing.T) {
	l := newLedger(16 * megabyte)
	for range 8 {
		newHolder(t, l, Callers, "one", megabyte)
	}
	more := newHolder(t, l, Callers, "one", 0)
	verdict, other := l.draw(more, forBody, megabyte/2, start)
	qt.Assert(t, verdict, qt.Equals, end)
	qt.Assert(t, other.address, qt.Equals, "one")
	newHolder(t, l, Callers, "two", megabyte)
	greedy := newHolder(t, l, Peers, "three", 4*megabyte)
	verdict, _ = l.draw(greedy, forBody, 1, start)
	qt.Assert(t, verdict, qt.Equals, refused)
}

// Guards against memory that is given away before its holder has let go of it.
func TestDrawWaitsUntilEndedHoldersRelease(t *testing.T) {
	l := newLedger(16 * megabyte)
	for range 8 {
		newHolder(t, l, Callers, "one", megabyte)
	}
	drawer := newHolder(t, l, Callers, "one", 0)
	_, other := l.draw(drawer, forBody, megabyte/2, start)
	verdict, _ := l.draw(drawer, forBody, megabyte/2, start)
	qt.Assert(t, verdict, qt.Equals, wait)
	l.book(other, forBody, -other.held)
	verdict, _ = l.draw(drawer, forBody, megabyte/2, start)
	qt.Assert(t, verdict, qt.Equals, granted)
}

// Guards against sums that differ from what the holders hold, which would leak the budget or exceed it.
func TestLedgerAgreesWithItsHolders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := newLedger(1000)
		var holders []*holder
		now := start
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			if len(holders) == 0 || rapid.IntRange(0, 3).Draw(t, "new") == 0 {
				h := &holder{
					class: Class(rapid.IntRange(0, 2).Draw(t, "class")), address: fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "address")),
					readers: rapid.IntRange(0, 1).Draw(t, "readers"),
				}
				l.holders[h] = true
				holders = append(holders, h)
			}
			h := rapid.SampledFrom(holders).Draw(t, "holder")
			n := int64(rapid.IntRange(1, 200).Draw(t, "bytes"))
			use := purpose(rapid.IntRange(0, 1).Draw(t, "use"))
			switch rapid.IntRange(0, 3).Draw(t, "action") {
			case 0:
				l.book(h, forBody, -h.bodies)
				l.book(h, forHead, -h.held)
			case 1:
				h.add(n, now)
			default:
				l.draw(h, use, n, now)
			}
			checkSums(t, l)
		}
	})
}

func checkSums(t *rapid.T, l *ledger) {
	want := map[group]sum{}
	for h := range l.holders {
		for use, n := range map[purpose]int64{forHead: h.held - h.bodies, forBody: h.bodies} {
			for _, g := range groupsOf(h, use) {
				s := want[g]
				s.all += n
				if !h.ended {
					s.staying += n
				}
				want[g] = s
			}
		}
	}
	for g, s := range want {
		if l.sums[g] != s {
			t.Fatalf("the sum of %v is %v, its holders hold %v", g, l.sums[g], s)
		}
		if float64(s.all) > g.bound()*float64(l.capacity) {
			t.Fatalf("%v holds %d", g, s.all)
		}
	}
}
