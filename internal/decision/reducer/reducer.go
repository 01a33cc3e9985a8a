package reducer

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"
)

// Reducer is the state of one node; its exported fields are set before the
// first Step.
type Reducer struct {
	// Self is what the node announces about itself.
	Self MemberSpec
	// Seeds are peers' addresses to ask while no member is known.
	Seeds []string
	// Settings are the node's limits and intervals.
	Settings Settings
	// Seed drives every random choice.
	Seed uint64

	now       time.Time
	begun     time.Time
	random    *rand.Rand
	effects   []Effect
	notes     []Effect
	sequence  uint64
	prefix    string
	stopping  bool
	stopBy    time.Time
	lingering time.Time
	// openUntil is when a stopping node takes no more work for its upstream.
	openUntil time.Time
	// lastArrival is when the last call or attempt arrived.
	lastArrival time.Time
	quietBy     time.Time
	stopped     bool
	routes      routeTable
	budgets     retryBudgets
	reporting   reporting
	// plansReachable tells that the place where plans are published answers.
	plansReachable bool

	log     logState
	inForce Plan
	index   planIndex

	calls      map[CallID]*call
	tableWaits map[CallID]*call
	keys       keyMemory
	moves      map[string]*handover
	parting    *parting
	jobs       map[string]time.Time
	// offersSeen holds the latest offer of each process that hands shares over.
	offersSeen  map[NodeID]uint64
	members     membership
	guard       guard
	memory      attemptMemory
	retries     tokenBucket
	probes      probing
	crossRegion tokenBucket
	suspects    suspects
	announcing  announcing
	burn        burnTable
	trace       traceRing
	counts      Counts
}

// planIndex finds a service's policy without a walk over the plan.
type planIndex map[string]*indexedService

type indexedService struct {
	plan  ServicePlan
	kinds map[string]*indexedKind
}

type indexedKind struct {
	kind Kind
	burn *burnSeries
}

// Step takes one event and returns what the node must do. The returned slice is
// valid until the next Step.
func (r *Reducer) Step(now time.Time, event Event) []Effect {
	if r.random == nil {
		r.begin(now)
	}
	if now.After(r.now) {
		r.now = now
	}
	clear(r.effects)
	r.effects = r.effects[:0]
	switch e := event.(type) {
	case CallArrived, AttemptAnswered, AttemptRefused, AttemptLost, AttemptSettled, AnswerEnded,
		CallerLeft, CallExpired, CallEnded, HomeAnswered, HomeRefused, HomeLost, KeysRequested:
		r.stepEntry(e)
	case WorkArrived, BodyTaken, WorkEnded, WorkLeft, SettleAsked, UpstreamAnnounced, UpstreamFound, UpstreamDied, UpstreamReplaced, ProbeEnded:
		r.stepGuard(e)
	default:
		r.stepMember(e)
	}
	r.effects = append(r.effects, r.notes...)
	clear(r.notes)
	r.notes = r.notes[:0]
	return r.effects
}

func (r *Reducer) begin(now time.Time) {
	r.begun = now
	r.now = now
	r.random = rand.New(rand.NewPCG(r.Seed, r.Self.Incarnation))
	r.prefix = strconv.FormatUint(r.Self.Incarnation, 16) + "."
	r.calls = map[CallID]*call{}
	r.tableWaits = map[CallID]*call{}
	r.keys.init()
	r.moves = map[string]*handover{}
	r.jobs = map[string]time.Time{}
	r.offersSeen = map[NodeID]uint64{}
	r.members.init(NewMember(r.Self))
	r.guard.init()
	r.memory.init()
	r.retries = newTokenBucket(r.Settings.RetryBurst, 0, now)
	r.crossRegion = newTokenBucket(float64(r.Settings.CrossRegionBudget), float64(r.Settings.CrossRegionBudget), now)
	r.probes.init(r.Settings, now)
	r.suspects.init()
	r.burn.init()
	r.budgets.init(now)
	r.trace.init()
	r.announcing.due = now
	r.members.exchangeDue = now
}

func (r *Reducer) stepEntry(event Event) {
	switch e := event.(type) {
	case CallArrived:
		r.callArrived(e)
	case AttemptAnswered:
		r.attemptAnswered(e)
	case AttemptRefused:
		r.attemptRefused(e)
	case AttemptLost:
		r.attemptLost(e)
	case AttemptSettled:
		r.attemptSettled(e)
	case AnswerEnded:
		r.answerEnded(e)
	case CallerLeft:
		r.callerLeft(e)
	case CallExpired:
		r.callExpired(e)
	case CallEnded:
		r.callEnded(e)
	case HomeRefused:
		r.homeRefused(e)
	case HomeAnswered:
		r.homeAnswered(e)
	case HomeLost:
		r.homeLost(e)
	case KeysRequested:
		r.keysRequested(e)
	}
}

func (r *Reducer) stepGuard(event Event) {
	switch e := event.(type) {
	case WorkArrived:
		r.workArrived(e)
	case BodyTaken:
		r.bodyTaken(e)
	case WorkEnded:
		r.workEnded(e)
	case WorkLeft:
		r.workLeft(e)
	case SettleAsked:
		r.settleAsked(e)
	case UpstreamAnnounced:
		r.upstreamAnnounced(e)
	case UpstreamFound:
		r.upstreamFound(e)
	case UpstreamDied:
		r.upstreamDied()
	case UpstreamReplaced:
		r.upstreamReplaced(e)
	case ProbeEnded:
		r.probeEnded(e)
	}
}

func (r *Reducer) stepMember(event Event) {
	switch e := event.(type) {
	case RecordRead:
		r.recordRead(e)
	case LogOpened:
		r.log.begin(e.Earliest)
	case RecordAppended:
		r.announcing.confirm(e.ID)
	case AppendFailed:
		r.announcing.confirm(e.ID)
	case PlanPublished:
		r.adopt(e.Plan)
	case PlansReached:
		r.plansReached(e)
	case MembersListed:
		r.membersListed(e)
	case LoadHeard:
		r.loadHeard(e)
	case PeerHeard:
		r.peerHeard(e)
	case PeerAsked:
		r.peerAsked(e)
	case PeerSilent:
		r.members.silent(e.Address, r.now)
	case HandoverOffered:
		r.handoverOffered(e)
	case HandoverAnswered:
		r.handoverAnswered(e)
	case AnswersOffered:
		r.answersOffered(e)
	case AnswersTaken:
		r.answersTaken(e)
	case SuspectHeard:
		r.suspectHeard(e.Suspect)
	case SettingsChanged:
		r.Settings = e.Settings
	case StopRequested:
		r.stopRequested()
	case Tick:
		r.tick()
	}
}

// tick does what is due with the passing of time.
func (r *Reducer) tick() {
	r.members.refresh(r.now, r.Settings)
	r.expireQueue()
	r.keys.expire(r.now)
	r.memory.expire(r.now)
	r.suspects.expire(r.now)
	r.probe()
	r.announce()
	r.exchange()
	r.keepHomes()
	r.startWork()
	r.report()
	if r.stopping {
		r.closeUpstream()
		r.checkStopped()
	}
}

func (r *Reducer) emit(e Effect) { r.effects = append(r.effects, e) }

func (r *Reducer) selfID() NodeID { return NewNodeID(r.Self.Address, r.Self.Incarnation) }

func (r *Reducer) nextAttempt() AttemptID {
	r.sequence++
	return AttemptID(r.prefix + strconv.FormatUint(r.sequence, 16))
}

func (r *Reducer) nextSequence() uint64 {
	r.sequence++
	return r.sequence
}

// recordID returns an ID that no other record has.
func (r *Reducer) recordID(purpose string) string {
	r.sequence++
	return fmt.Sprintf("%s-%016x-%x", purpose, r.Self.Incarnation, r.sequence)
}

// adopt puts a plan in force; a node only ever moves to a later one.
func (r *Reducer) adopt(plan Plan) {
	if plan.offset <= r.inForce.offset {
		return
	}
	r.inForce = plan
	r.note(Decided{Kind: DecidedPlan, Plan: plan.offset, Reason: plan.spec.ID, Load: float64(len(plan.spec.Routes))})
	r.index = planIndex{}
	for _, s := range plan.spec.Services {
		indexed := &indexedService{plan: s, kinds: map[string]*indexedKind{}}
		for _, k := range s.Kinds {
			indexed.kinds[k.Name] = &indexedKind{kind: k, burn: r.burn.series(s.Name, k.Name)}
		}
		r.index[s.Name] = indexed
	}
	r.routes.replan(plan.spec.Routes)
	r.spread()
	r.members.replan(r.index)
	r.refuseQueueWhenLeaving()
}

// recordRead folds one record of the log.
func (r *Reducer) recordRead(e RecordRead) {
	if e.Record.Member != nil {
		r.heardMember(NewMember(*e.Record.Member))
	}
	r.log.fold(e.Offset, e.Record)
	r.logAdvanced()
}

// logAdvanced acts on a changed fold of the log.
func (r *Reducer) logAdvanced() {
	if r.log.known {
		r.adopt(r.log.plan)
	}
	r.tablesChanged()
}
