package reducer

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"pgregory.net/rapid"
)

const (
	worldService = "roster"
	worldWindow  = time.Minute
	worldSkew    = 2 * time.Second
	worldSlots   = 3
	// worldSettleTimeout is an entry's timeout for a guard's reply to a settle request.
	worldSettleTimeout = 500 * time.Millisecond
	// worldReserve is the fraction of slots reserved for short work.
	worldReserve = 1.0 / 3
)

// world connects several reducers by an in-memory fake of the network, the log and the
// upstreams, which loses, duplicates, delays and reorders messages. It checks the
// invariants after every step.
type world struct {
	t           *rapid.T
	now         time.Time
	nodes       map[string]*worldNode
	incarnation uint64
	log         []Record
	logUp       bool
	pending     []*delivery
	// starts holds the address of the node that started each attempt.
	starts map[AttemptID]string
	// startedNotRun holds the started attempts that did not run, as the upstream refused the
	// connection.
	startedNotRun map[AttemptID]bool
	// refused holds the attempts that were reported not run.
	refused map[AttemptID]bool
	// runs counts the runs of each key.
	runs map[keyName]int
	// outcomes counts the calls by outcome.
	outcomes map[Outcome]int
	// sentTo counts the attempts that were sent to each address.
	sentTo map[string]int
}

// worldNode is one simulated process.
type worldNode struct {
	w       *world
	r       *Reducer
	address string
	alive   bool
	frozen  bool
	// frozenAt is the time of the last freeze.
	frozenAt time.Time
	ids      uint64
	works    map[WorkID]*worldWork
	calls    map[CallID]*worldCall
	replies  map[WorkID]func(Effect)
	// skew is the offset of the process's clock from the world's.
	skew time.Duration
	// inbox holds the events that arrived while the process was frozen.
	inbox []Event
	// leaveRequested reports whether the process was requested to stop, or its upstream to drain.
	leaveRequested bool
}

// worldWork is an attempt at a guard.
type worldWork struct {
	attempt AttemptID
	name    keyName
	keyed   bool
	replay  bool
	running bool
	length  Length
	reply   func(Event)
	entry   *worldNode
	call    CallID
}

// worldCall is a call at an entry.
type worldCall struct {
	id       CallID
	name     keyName
	keyed    bool
	deadline time.Time
	attempts []AttemptID
	// busy reports whether the call's handler waits for an operation outside the reducer.
	busy bool
	// token identifies the operation that the handler waits for.
	token int
	// finish is called at the end of a forwarded call, otherwise it is nil.
	finish func(outcome Outcome, notHome bool)
}

// delivery is a message in flight.
type delivery struct {
	to string
	// expires is the latest time at which the message's connection is open.
	expires time.Time
	// do processes the message at the receiver.
	do func(n *worldNode)
	// lost is called if the message is lost or the receiver is gone; sent is false if the
	// receiver did not exist, so that no connection was established.
	lost func(sent bool)
	// again returns the message once more, as a transport sends it that repeats requests by itself; it
	// is nil for messages that are never repeated.
	again func() *delivery
	// log means that the message goes to the log, which loses none; do gets a nil node.
	log bool
}

func newWorld(t *rapid.T) *world {
	return &world{
		t: t, now: time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC), nodes: map[string]*worldNode{}, logUp: true,
		starts: map[AttemptID]string{}, startedNotRun: map[AttemptID]bool{}, refused: map[AttemptID]bool{},
		runs: map[keyName]int{}, outcomes: map[Outcome]int{}, sentTo: map[string]int{},
	}
}

func worldSettings() Settings {
	s := DefaultSettings()
	s.KeyWindow = worldWindow
	s.ClockSkew = worldSkew
	s.ShortReserve = worldReserve
	s.QueuePerSlot = 1
	s.Warmup = 0
	s.Retention = 5 * time.Minute
	s.ExchangePeriod = time.Second
	s.StopAllowance = 30 * time.Second
	s.Quarantine = time.Minute
	s.RetryBurst = 1000
	return s
}

// boot starts a process at an address and announces an upstream to it.
func (w *world) boot(address, zone string) *worldNode {
	w.incarnation++
	n := &worldNode{
		w: w, address: address, alive: true, works: map[WorkID]*worldWork{},
		calls: map[CallID]*worldCall{}, replies: map[WorkID]func(Effect){},
	}
	n.skew = time.Duration(rapid.Int64Range(-int64(worldSkew/2), int64(worldSkew/2)).Draw(w.t, "skew"))
	n.r = &Reducer{
		Settings: worldSettings(), Seed: w.incarnation,
		Self: MemberSpec{
			Address: address, Incarnation: w.incarnation, Started: w.now.Add(n.skew).Add(time.Duration(w.incarnation)),
			Region: "amman", Zone: zone, Operators: address,
		},
	}
	w.nodes[address] = n
	n.step(Tick{})
	n.step(UpstreamAnnounced{Service: worldService, Address: "u" + address, Slots: worldSlots})
	return n
}

func (n *worldNode) id() uint64 {
	n.ids++
	return n.ids
}

// step passes one event to the node's reducer and executes the effects, unless the process
// is frozen.
func (n *worldNode) step(e Event) {
	if !n.alive {
		return
	}
	if n.frozen {
		n.inbox = append(n.inbox, e)
		return
	}
	before := n.r.planInForce.offset
	effects := slices.Clone(n.r.Step(n.w.now.Add(n.skew), e))
	if n.r.planInForce.offset < before {
		n.w.t.Fatalf("%s replaced the plan at offset %d by the older one at %d", n.address, before, n.r.planInForce.offset)
	}
	n.checkBounds()
	for _, effect := range effects {
		n.execute(effect)
	}
}

// checkBounds checks that the guard keeps to its slots and the node to its budgets.
func (n *worldNode) checkBounds() {
	g := &n.r.guard
	if g.running > g.slots && g.running > 1 {
		n.w.t.Fatalf("%s runs %d on %d slots", n.address, g.running, g.slots)
	}
	if g.runningLong > max(1, g.slots-1) {
		n.w.t.Fatalf("%s runs %d long attempts on %d slots", n.address, g.runningLong, g.slots)
	}
	if n.r.retryTokens.tokens < 0 || n.r.probes.work.tokens < 0 {
		n.w.t.Fatalf("%s spent more than its budget", n.address)
	}
}

// stop requests a graceful stop of the process, unless it is frozen.
func (n *worldNode) stop() {
	if n.alive && !n.frozen {
		n.leaveRequested = true
		n.step(StopRequested{})
	}
}

// freeze suspends the process, like a paused VM.
func (n *worldNode) freeze() {
	if !n.frozen {
		n.frozen = true
		n.frozenAt = n.w.now
	}
}

// thaw resumes a frozen process. It first processes the queued events; messages whose
// connections were open at the freeze remain deliverable for another second.
func (n *worldNode) thaw() {
	if !n.frozen {
		return
	}
	n.frozen = false
	for i := 0; i < len(n.w.pending); i++ {
		if d := n.w.pending[i]; !d.log && d.to == n.address && d.expires.After(n.frozenAt) {
			d.expires = n.w.now.Add(time.Second)
		}
	}
	inbox := n.inbox
	n.inbox = nil
	for _, e := range inbox {
		n.step(e)
	}
}

func (w *world) send(d *delivery) {
	d.expires = w.now.Add(worldWindow)
	w.pending = append(w.pending, d)
}

func (w *world) addresses() []string { return slices.Sorted(maps.Keys(w.nodes)) }

// deliver delivers the pending message with the given index, unless its receiver is frozen.
func (w *world) deliver(i int) {
	d := w.pending[i]
	if d.log {
		w.pending = slices.Delete(w.pending, i, i+1)
		d.do(nil)
		return
	}
	n := w.nodes[d.to]
	if n != nil && n.alive && n.frozen {
		return
	}
	w.pending = slices.Delete(w.pending, i, i+1)
	if n == nil || !n.alive {
		d.lost(false)
		return
	}
	if w.now.After(d.expires) {
		d.lost(true)
		return
	}
	d.do(n)
}

// lose drops the pending message with the given index, unless it goes to the log.
func (w *world) lose(i int) {
	d := w.pending[i]
	if d.log {
		return
	}
	w.pending = slices.Delete(w.pending, i, i+1)
	d.lost(true)
}

// runRounds delivers all pending messages in order, lets all nodes read the log and
// advances the clock by 200 ms, as often as rounds says.
func (w *world) runRounds(rounds int) {
	for range rounds {
		for range len(w.pending) {
			if len(w.pending) == 0 {
				break
			}
			w.deliver(0)
		}
		for _, address := range w.addresses() {
			w.readLog(w.nodes[address], 100)
		}
		w.advance(200 * time.Millisecond)
	}
}

// readLog lets the node read up to most records of the log.
func (w *world) readLog(n *worldNode, most int) {
	if !w.logUp || !n.alive || n.frozen {
		return
	}
	n.step(LogOpened{Earliest: 1})
	next := max(1, n.r.LogNext())
	for ; next <= int64(len(w.log)) && most > 0; next++ {
		n.step(RecordRead{Offset: next, Record: w.log[next-1]})
		most--
	}
}

// advance moves the clock forward, ticks every running node and ends the calls whose
// deadline has passed.
func (w *world) advance(d time.Duration) {
	w.now = w.now.Add(d)
	for _, address := range w.addresses() {
		n := w.nodes[address]
		if !n.alive || n.frozen {
			continue
		}
		n.step(Tick{})
		for _, id := range slices.Sorted(maps.Keys(n.calls)) {
			c := n.calls[id]
			if c == nil || w.now.Before(c.deadline) {
				continue
			}
			if c.busy {
				n.giveUp(c)
			} else {
				n.step(CallExpired{Call: id})
			}
		}
		w.endAbandoned(n)
	}
}

// endAbandoned ends the node's attempts whose entry process is gone.
func (w *world) endAbandoned(n *worldNode) {
	for _, id := range slices.Sorted(maps.Keys(n.works)) {
		k := n.works[id]
		if k != nil && k.entry != w.nodes[k.entry.address] {
			n.workLeft(id)
		}
	}
}

// checkAgreement checks that nodes that have read the log up to the same offset have derived
// the same state from it.
func (w *world) checkAgreement() {
	type fold struct {
		address string
		text    string
	}
	seen := map[int64]fold{}
	for _, address := range w.addresses() {
		l := &w.nodes[address].r.log
		if !l.known {
			continue
		}
		s, _ := l.snapshot()
		s.Rejected = nil
		text := fmt.Sprintf("%+v", s)
		if other, ok := seen[l.next]; ok && other.text != text {
			w.t.Fatalf("%s and %s differ at offset %d:\n%s\n%s", address, other.address, l.next, text, other.text)
		}
		seen[l.next] = fold{address: address, text: text}
	}
}
