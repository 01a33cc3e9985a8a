package reducer

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/oklog/ulid/v2"
	"pgregory.net/rapid"
)

// worldKey is an idempotency key in use by a caller.
//
// dated means that the key contains the time of its creation; first is the time of the first
// send.
type worldKey struct {
	name  string
	dated bool
	first time.Time
}

// worldPlan returns a plan with one service. Leaving holds the addresses of upstreams that
// the plan excludes from new work.
func worldPlan(id string, base int64, leaving ...string) PlanSpec {
	return PlanSpec{ID: id, Base: base, Operator: "planner", Services: []ServicePlan{{
		Name: worldService, Leaving: leaving,
		Kinds: []Kind{
			{Name: "read", Weight: 1, Allowance: 3 * time.Second, Length: LengthShort, Idempotent: true},
			{Name: "sign", Weight: 2, Allowance: 5 * time.Second, Length: LengthShort},
			{Name: "upload", Weight: 1, Allowance: 20 * time.Second, Length: LengthLong, Idempotent: true},
		},
	}}}
}

// datedKey returns a ULID with the given time, and with the counter in place of randomness.
func datedKey(now time.Time, counter int) string {
	var id ulid.ULID
	_ = id.SetTime(ulid.Timestamp(now))
	id[15] = byte(counter)
	id[14] = byte(counter >> 8)
	return id.String()
}

// TestInvariantsUnderFaults interleaves calls, message deliveries, kills, freezes, stops,
// plans and log outages in random order over several nodes. After every step it checks that
// no key has run twice and that no attempt was both started and reported not run.
func TestInvariantsUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		zones := []string{"amman-1", "amman-2"}
		for i, address := range []string{"a", "b", "c"} {
			w.boot(address, zones[i%2])
		}
		w.log = append(w.log, Record{ID: "p0", Plan: ptr(worldPlan("p0", 0))})
		w.runRounds(20)
		keys := []*worldKey{}
		counter := 0
		pickNode := func(t *rapid.T) *worldNode {
			return w.nodes[rapid.SampledFrom(w.addresses()).Draw(t, "node")]
		}
		pickPending := func(t *rapid.T) int {
			if len(w.pending) == 0 {
				t.Skip("no messages are pending")
			}
			return rapid.IntRange(0, len(w.pending)-1).Draw(t, "message")
		}
		resend := func(t *rapid.T) {
			if len(keys) == 0 {
				t.Skip("no keys")
			}
			k := keys[max(0, len(keys)-1-rapid.IntRange(0, 5).Draw(t, "key"))]
			if !k.dated && w.now.Sub(k.first) >= worldWindow {
				t.Skip("callers don't send undated keys again after the window")
			}
			pickNode(t).call(keyName{service: worldService, key: k.name}, true, k.name, w.now.Add(5*time.Second), false, nil)
		}
		t.Repeat(map[string]func(*rapid.T){
			"read": func(t *rapid.T) {
				n := pickNode(t)
				n.call(keyName{service: worldService}, false, "", w.now.Add(3*time.Second), false, nil)
			},
			"upload": func(t *rapid.T) {
				n := pickNode(t)
				n.callKind("upload", keyName{service: worldService}, false, "", w.now.Add(20*time.Second), false, nil)
			},
			"sign without key": func(t *rapid.T) {
				n := pickNode(t)
				n.call(keyName{service: worldService}, true, "", w.now.Add(5*time.Second), false, nil)
			},
			"sign with new key": func(t *rapid.T) {
				counter++
				k := &worldKey{dated: rapid.Bool().Draw(t, "dated"), first: w.now}
				if k.dated {
					k.name = datedKey(w.now, counter)
				} else {
					k.name = "booking-" + uuid.NewSHA1(uuid.NameSpaceOID, []byte{byte(counter), byte(counter >> 8)}).String()
				}
				keys = append(keys, k)
				n := pickNode(t)
				n.call(keyName{service: worldService, key: k.name}, true, k.name, w.now.Add(5*time.Second), false, nil)
			},
			"sign with issued key": func(t *rapid.T) {
				n := pickNode(t)
				if !n.alive || n.frozen {
					t.Skip("the node does not answer")
				}
				k := &worldKey{dated: true, first: w.now, name: n.r.issueKey().String()}
				keys = append(keys, k)
				pickNode(t).call(keyName{service: worldService, key: k.name}, true, k.name, w.now.Add(5*time.Second), false, nil)
			},
			"resend":       resend,
			"resend again": resend,
			"deliver":      func(t *rapid.T) { w.deliver(pickPending(t)) },
			"deliver more": func(t *rapid.T) {
				for range min(20, len(w.pending)) {
					w.deliver(rapid.IntRange(0, len(w.pending)-1).Draw(t, "message"))
					if len(w.pending) == 0 {
						return
					}
				}
			},
			"lose": func(t *rapid.T) { w.lose(pickPending(t)) },
			"repeat": func(t *rapid.T) {
				d := w.pending[pickPending(t)]
				if d.again == nil {
					t.Skip("the message is never repeated")
				}
				w.send(d.again())
			},
			"end work": func(t *rapid.T) {
				n := pickNode(t)
				if !n.alive || n.frozen {
					t.Skip("the node does not answer")
				}
				for _, id := range slices.Sorted(maps.Keys(n.works)) {
					if k := n.works[id]; k != nil && k.running {
						n.endWork(id, rapid.SampledFrom([]string{"answered", "answered", "broken", "refused"}).Draw(t, "how"))
						return
					}
				}
			},
			"advance": func(t *rapid.T) {
				w.advance(time.Duration(rapid.Int64Range(1, int64(2*time.Second)).Draw(t, "time")))
			},
			"advance far": func(t *rapid.T) {
				w.advance(rapid.SampledFrom([]time.Duration{6 * time.Second, 30 * time.Second, 70 * time.Second, 3 * time.Minute}).Draw(t, "time"))
			},
			"read log": func(t *rapid.T) { w.readLog(pickNode(t), rapid.IntRange(1, 5).Draw(t, "records")) },
			"log down": func(*rapid.T) { w.logUp = false },
			"log up":   func(*rapid.T) { w.logUp = true },
			"freeze":   func(t *rapid.T) { pickNode(t).freeze() },
			"thaw":     func(t *rapid.T) { pickNode(t).thaw() },
			"kill":     func(t *rapid.T) { pickNode(t).alive = false },
			"boot": func(t *rapid.T) {
				address := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "address")
				if n := w.nodes[address]; n != nil && n.alive {
					t.Skip("the address is taken")
				}
				w.boot(address, "amman-1")
			},
			"stop": func(t *rapid.T) {
				n := pickNode(t)
				n.stop()
			},
			"drain": func(t *rapid.T) {
				n := pickNode(t)
				if !n.alive || n.frozen {
					t.Skip("the node does not answer")
				}
				n.leaveRequested = true
				n.step(UpstreamAnnounced{Service: worldService, Address: "u" + n.address, Slots: worldSlots, Draining: true})
			},
			"publish": func(t *rapid.T) {
				n := pickNode(t)
				counter++
				base := n.r.planInForce.offset
				if rapid.Bool().Draw(t, "old base") {
					base = max(0, base-1)
				}
				var leaving []string
				if rapid.IntRange(0, 3).Draw(t, "leaving") == 0 {
					leaving = append(leaving, "u"+pickNode(t).address)
				}
				evacuated := rapid.SampledFrom([][]string{nil, nil, {"amman-1"}, {"amman-2"}}).Draw(t, "evacuated")
				id := "p" + uuid.NewSHA1(uuid.NameSpaceOID, []byte{byte(counter)}).String()
				plan := worldPlan(id, base, leaving...)
				plan.EvacuatedZones = evacuated
				w.log = append(w.log, Record{ID: id, Plan: &plan})
			},
			"settle down": func(*rapid.T) { w.runRounds(3) },
			"replace": func(t *rapid.T) {
				n := pickNode(t)
				n.alive = false
				w.boot(n.address, "amman-1")
				w.runRounds(rapid.IntRange(5, 25).Draw(t, "rounds"))
			},
			"stop and replace": func(t *rapid.T) {
				n := pickNode(t)
				n.thaw()
				n.stop()
				w.runRounds(rapid.IntRange(5, 25).Draw(t, "rounds"))
				if !n.alive {
					w.boot(n.address, "amman-1")
				}
			},
			"": func(*rapid.T) { w.checkAgreement() },
		})
	})
}

func ptr(p PlanSpec) *PlanSpec { return &p }

// TestEntriesStopChoosingALeavingUpstream checks that entries send no more attempts to an
// upstream five seconds after it has begun to leave, by draining, by a stop of its node or by
// the plan, provided that the log and the exchanges work.
func TestEntriesStopChoosingALeavingUpstream(t *testing.T) {
	const seconds = 5
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		for _, address := range []string{"a", "b", "c", "d"} {
			w.boot(address, "amman-1")
		}
		w.log = append(w.log, Record{ID: "p0", Plan: ptr(worldPlan("p0", 0))})
		w.runRounds(20)
		n := w.nodes["b"]
		switch rapid.SampledFrom([]string{"drain", "stop", "sheet"}).Draw(t, "way") {
		case "drain":
			n.leaveRequested = true
			n.step(UpstreamAnnounced{Service: worldService, Address: "ub", Slots: worldSlots, Draining: true})
		case "stop":
			n.stop()
		case "sheet":
			w.log = append(w.log, Record{ID: "p1", Plan: ptr(worldPlan("p1", n.r.planInForce.offset, "ub"))})
		}
		w.runRounds(seconds * 5)
		before := w.sentTo["b"]
		for range 30 {
			for _, address := range []string{"a", "c", "d"} {
				w.nodes[address].call(keyName{service: worldService}, false, "", w.now.Add(3*time.Second), false, nil)
			}
			w.runRounds(1)
		}
		if sent := w.sentTo["b"] - before; sent > 0 {
			t.Fatalf("%d attempts were sent to the leaving upstream", sent)
		}
		if w.sentTo["a"]+w.sentTo["c"]+w.sentTo["d"] < 90 {
			t.Fatalf("too few attempts for a meaningful check: %v", w.sentTo)
		}
	})
}
