package budget

import "time"

// Class is the kind of client on the other end of a connection.
type Class int

// The classes of clients.
const (
	// Callers send requests to the services.
	Callers Class = iota
	// Peers are the other nodes, and whoever reaches their listener.
	Peers
	// Others are the upstream, operators and the platform.
	Others
)

// purpose is what bytes are held for.
type purpose int

const (
	forHead purpose = iota
	forBody
	// forAnswer counts in the groups of forBody.
	forAnswer
)

const (
	// callersShare and callerBodiesShare are the shares of the budget that callers can hold
	// altogether and for bodies. The rest is for the heads of callers while bodies take
	// all they can, and for peers.
	callersShare      = 0.75
	callerBodiesShare = 0.625
	// addressShare is the share of the budget that bodies from one address can hold, and
	// connectionShare that of one connection.
	addressShare    = 0.5
	connectionShare = 0.25
	// readAheadShare is the share of each group's bound up to which heads are read before earlier requests were
	// answered: holders whose requests run can't be ended.
	readAheadShare = 0.5
	// freshBytes are added to the progress of each client, so that among those without any the one that
	// holds most has the least for its bytes.
	freshBytes = 1
)

// holder is a client's connection in the ledger.
type holder struct {
	// conn is not used by the ledger.
	conn    *Conn
	class   Class
	address string
	// held is the number of bytes that it holds, bodies those of them that are for bodies and answers, and
	// answers those for answers alone.
	held, bodies, answers int64
	// readers is the number of its bodies that are being read, and inHead is set while it sends a
	// head; otherwise, and without answers, its requests are running and it is not ended.
	readers int
	inHead  bool
	// ended is set once the holder was told to end. Its bytes are counted until they are released.
	ended bool
	progress
}

// endable reports whether the client of h still sends a head or a body, so that none of its requests that
// hold bytes has run, or holds answers, so that its connection can only be closed.
func (h *holder) endable() bool { return !h.ended && (h.inHead || h.readers > 0 || h.answers > 0) }

// rank returns the progress of h for each byte that it holds or would hold with n more.
func (h *holder) rank(n int64, now time.Time) float64 {
	return float64(h.recent(now)+freshBytes) / float64(max(1, h.held+n))
}

// answer is the ledger's answer to a draw.
type answer int

const (
	// granted: the bytes are booked.
	granted answer = iota
	// refused: the drawer itself must end.
	refused
	// wait: bytes of ended holders will be released.
	wait
	// end: the named holder must end first.
	end
)

// groupKind is the kind of a group of holders with a common bound.
type groupKind int

const (
	// everyone holds no more than the budget.
	everyone groupKind = iota
	// allCallers are the callers with all that they hold, and callerBodies with their bodies.
	allCallers
	callerBodies
	// addressBodies are the bodies of one class and address.
	addressBodies
)

// group names a group of holders with a common bound.
type group struct {
	kind    groupKind
	class   Class
	address string
}

// bound returns the share of the budget that the group can hold.
func (g group) bound() float64 {
	switch g.kind {
	case allCallers:
		return callersShare
	case callerBodies:
		return callerBodiesShare
	case addressBodies:
		return addressShare
	default:
		return 1
	}
}

// contains reports whether bytes of h count in the group.
func (g group) contains(h *holder) bool {
	switch g.kind {
	case allCallers:
		return h.class == Callers && h.held > 0
	case callerBodies:
		return h.class == Callers && h.bodies > 0
	case addressBodies:
		return h.class == g.class && h.address == g.address && h.bodies > 0
	default:
		return h.held > 0
	}
}

// groupsOf returns the groups in which bytes of h count, the narrowest first.
func groupsOf(h *holder, use purpose) []group {
	list := make([]group, 0, 4)
	if use != forHead {
		list = append(list, group{kind: addressBodies, class: h.class, address: h.address})
	}
	if use != forHead && h.class == Callers {
		list = append(list, group{kind: callerBodies})
	}
	if h.class == Callers {
		list = append(list, group{kind: allCallers})
	}
	return append(list, group{kind: everyone})
}

// sum is what a group holds in bytes: all of it, and without those that were told to end.
type sum struct{ all, staying int64 }

// ledger books the bytes of all holders. It has no clock, no lock and no connections.
type ledger struct {
	// capacity is the budget in bytes; zero sets no bound.
	capacity int64
	holders  map[*holder]bool
	sums     map[group]sum
}

func newLedger(capacity int64) *ledger {
	return &ledger{capacity: capacity, holders: map[*holder]bool{}, sums: map[group]sum{}}
}

// draw books n bytes for h, or says what must happen first. The second result is set for the answer end.
func (l *ledger) draw(h *holder, use purpose, n int64, now time.Time) (answer, *holder) {
	if h.ended {
		return refused, nil
	}
	groups := groupsOf(h, use)
	if l.capacity > 0 {
		// Answers of any length are served where the groups have room for them.
		if use != forAnswer && float64(h.held-h.answers+n) > connectionShare*float64(l.capacity) {
			l.end(h)
			return refused, nil
		}
		for _, g := range groups {
			if verdict, other := l.fit(g, h, n, now); verdict != granted {
				return verdict, other
			}
		}
	}
	l.book(h, use, n)
	return granted, nil
}

// readAhead books n bytes for a head if all groups are far from their bounds, and reports whether it did.
func (l *ledger) readAhead(h *holder, n int64) bool {
	if h.ended {
		return false
	}
	if l.capacity > 0 {
		capacity := float64(l.capacity)
		if float64(h.held-h.answers+n) > readAheadShare*connectionShare*capacity {
			return false
		}
		for _, g := range groupsOf(h, forHead) {
			if float64(l.sums[g].all+n) > readAheadShare*g.bound()*capacity {
				return false
			}
		}
	}
	l.book(h, forHead, n)
	return true
}

// fit reports whether n more bytes of h are within the bound of g. If they are not, it ends the holder
// with the least progress for its bytes, among those of the group that can be ended.
func (l *ledger) fit(g group, h *holder, n int64, now time.Time) (answer, *holder) {
	bound := int64(g.bound() * float64(l.capacity))
	s := l.sums[g]
	switch {
	case s.all+n <= bound:
		return granted, nil
	case s.staying+n <= bound:
		return wait, nil
	}
	worst, least := h, h.rank(n, now)
	for o := range l.holders {
		if o == h || !o.endable() || !g.contains(o) {
			continue
		}
		if rank := o.rank(0, now); rank < least {
			worst, least = o, rank
		}
	}
	l.end(worst)
	if worst == h {
		return refused, nil
	}
	return end, worst
}

// end marks h as told to end.
func (l *ledger) end(h *holder) {
	if h.ended {
		return
	}
	l.addStaying(h, -1)
	h.ended = true
}

// addStaying adds what h holds, times sign, to the staying bytes of its groups.
func (l *ledger) addStaying(h *holder, sign int64) {
	for use, n := range map[purpose]int64{forHead: h.held - h.bodies, forBody: h.bodies} {
		for _, g := range groupsOf(h, use) {
			s := l.sums[g]
			s.staying += sign * n
			l.sums[g] = s
		}
	}
}

// book adds n bytes, which may be negative, to what h holds.
func (l *ledger) book(h *holder, use purpose, n int64) {
	h.held += n
	if use != forHead {
		h.bodies += n
	}
	if use == forAnswer {
		h.answers += n
	}
	for _, g := range groupsOf(h, use) {
		s := l.sums[g]
		s.all += n
		if !h.ended {
			s.staying += n
		}
		if s == (sum{}) {
			delete(l.sums, g)
			continue
		}
		l.sums[g] = s
	}
}

// used returns the bytes that all holders hold.
func (l *ledger) used() int64 { return l.sums[group{kind: everyone}].all }
