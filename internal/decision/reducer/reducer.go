package reducer

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"
)

// Reducer holds the state of one node. Set its exported fields before the first Step.
// It is not safe for concurrent use.
type Reducer struct {
	// Self holds the data that the node announces about itself.
	Self MemberSpec
	// Seeds holds the addresses of the peers to exchange with while no member is known.
	Seeds []string
	// Settings holds the node's limits and intervals.
	Settings Settings
	// Seed seeds the random number generator, together with the incarnation.
	Seed uint64

	// now is the time of the current Step; it never goes back.
	now time.Time
	// startedAt is the time of the first Step.
	startedAt time.Time
	random    *rand.Rand
	effects   []Effect
	// decisions holds the decisions of the current Step, which are reported after its
	// other effects.
	decisions []Effect
	// sequence is the last number used in attempt IDs, record IDs and table changes.
	sequence uint64
	// attemptIDPrefix is the part of this process's attempt IDs before the sequence number.
	attemptIDPrefix string
	stopping        bool
	// stopDeadline is the time at which a graceful stop completes even with work left.
	stopDeadline time.Time
	// closeDeadline is the time at which the connections must be closed after a graceful stop.
	closeDeadline time.Time
	// lingerUntil is the time before which a graceful stop does not complete.
	lingerUntil time.Time
	// admitUntil is the time until which a stopping node accepts work for its upstream,
	// or zero.
	admitUntil time.Time
	// lastArrival is the time at which the last call or attempt arrived.
	lastArrival time.Time
	// quietDeadline limits the wait for a moment without arrivals at the end of a stop; it is
	// zero before that wait.
	quietDeadline time.Time
	stopped       bool
	routes        routeTable
	// routedRetryBudgets holds the retry budgets of routed calls, and retries that of all others.
	routedRetryBudgets retryBudgets
	// shortUntil holds, by service, until when its calls are not hedged for want of capacity.
	shortUntil     map[string]time.Time
	reportSchedule reportSchedule
	// plansReachable reports whether the plan store is reachable.
	plansReachable bool

	// log holds the state derived from the platform's log.
	log         logState
	planInForce Plan
	// planInForceIndex indexes the services and kinds of planInForce.
	planInForceIndex planIndex
	// tenants holds the tenants of the plan in force.
	tenants tenantTable
	quotas  quotas
	// storeEra is what is known of the era of a platform's store.
	storeEra storeEra
	// firstPlan is the plan that waits for a peer's word.
	firstPlan firstPlan
	// membersWereListed is set once a directory's members were listed.
	membersWereListed bool

	calls map[CallID]*call
	// callsAwaitingTable holds the keyed calls that wait for a home table of their service.
	callsAwaitingTable map[CallID]*call
	// keys holds the key records of the partitions whose home is this node.
	keys keyStore
	// handovers holds the handovers in progress by service.
	handovers map[string]*handover
	// answerTransfer is the transfer of stored answers during a stop, or nil before it.
	answerTransfer *answerTransfer
	// jobDueAt holds the time at which each job on the home tables is due.
	jobDueAt map[string]time.Time
	// lastOfferSequence holds the sequence number of the latest handover offer by process.
	lastOfferSequence map[NodeID]uint64
	// members holds the node's view of all members and their load.
	members membership
	// guard holds the state of the guard role: its upstream and the attempts at it.
	guard guard
	// attemptRecords holds the guard's records of attempts.
	attemptRecords attemptTable
	// retryTokens is the retry budget of unrouted calls, in retries.
	retryTokens tokenBucket
	// probes holds the schedule and the budgets of health probes.
	probes healthChecks
	// crossRegionBudget is the budget, in bytes, for traffic to other regions.
	crossRegionBudget tokenBucket
	// suspects holds the requests that may have crashed upstreams.
	suspects         suspects
	announceSchedule announceSchedule
	burn             burnTable
	trace            traceRing
	// counts holds the totals since the first Step.
	counts Counts
}

// planIndex holds a plan's services by name.
type planIndex map[string]*indexedService

// indexedService is a service of the plan with its kinds by name.
type indexedService struct {
	plan  ServicePlan
	kinds map[string]*indexedKind
}

// indexedKind is a kind of the plan with its counts of good and bad calls.
type indexedKind struct {
	kind Kind
	burn *burnSeries
}

// Step processes one event and returns the effects that the node must execute, in order.
// The returned slice is valid until the next Step. If now is before the time of an earlier
// Step, that time is used instead.
func (r *Reducer) Step(now time.Time, event Event) []Effect {
	if r.random == nil {
		r.initialize(now)
	}
	if now.After(r.now) {
		r.now = now
	}
	clear(r.effects)
	r.effects = r.effects[:0]
	switch e := event.(type) {
	case CallArrived, HedgeDue, AttemptAnswered, AttemptRefused, AttemptLost, AttemptSettled, AnswerEnded,
		CallerLeft, CallExpired, CallEnded, HomeAnswered, HomeRefused, HomeLost, KeysRequested:
		r.stepEntry(e)
	case WorkArrived, BodyReceived, WorkEnded, WorkLeft, SettleRequested, UpstreamAnnounced, UpstreamLeft, LeavingRunsStored, LeavingConfirmationRequested, UpstreamFound, UpstreamDied, UpstreamReplaced, ProbeEnded, WarmupAnswered:
		r.stepGuard(e)
	case QuotaAnswered, QuotaRequestFailed, QuotaRequested:
		r.stepQuota(e)
	case PlanPublished, PlanStoreReachable, StoreEraSeen, MembersListed:
		r.stepStore(e)
	default:
		r.stepMember(e)
	}
	r.effects = append(r.effects, r.decisions...)
	clear(r.decisions)
	r.decisions = r.decisions[:0]
	return r.effects
}

// initialize initializes the state at the first Step.
func (r *Reducer) initialize(now time.Time) {
	r.startedAt = now
	r.now = now
	r.random = rand.New(rand.NewPCG(r.Seed, r.Self.Incarnation))
	r.attemptIDPrefix = strconv.FormatUint(r.Self.Incarnation, 16) + "."
	r.calls = map[CallID]*call{}
	r.callsAwaitingTable = map[CallID]*call{}
	r.keys.init()
	r.handovers = map[string]*handover{}
	r.jobDueAt = map[string]time.Time{}
	r.lastOfferSequence = map[NodeID]uint64{}
	r.members.init(NewMember(r.Self))
	r.guard.init()
	if r.Settings.Retention > 0 {
		// Without a directory, upstreams have no instance ID.
		r.guard.leavingMemory.known = true
	}
	r.attemptRecords.init()
	r.retryTokens = newTokenBucket(r.Settings.RetryBurst, 0, now)
	r.crossRegionBudget = newTokenBucket(float64(r.Settings.CrossRegionBudget), float64(r.Settings.CrossRegionBudget), now)
	r.probes.init(r.Settings, now)
	r.suspects.init()
	r.burn.init()
	r.routedRetryBudgets.init(now)
	r.shortUntil = map[string]time.Time{}
	r.announceSchedule.due = now
	r.members.exchangeDue = now
}

func (r *Reducer) stepEntry(event Event) {
	switch e := event.(type) {
	case CallArrived:
		r.callArrived(e)
	case HedgeDue:
		r.hedgeDue(e)
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
	case BodyReceived:
		r.bodyReceived(e)
	case WorkEnded:
		r.workEnded(e)
	case WorkLeft:
		r.workLeft(e)
	case SettleRequested:
		r.settleRequested(e)
	case UpstreamAnnounced:
		r.upstreamAnnounced(e)
	case UpstreamLeft:
		r.upstreamLeft(e)
	case LeavingRunsStored:
		r.leavingRunsStored(e)
	case LeavingConfirmationRequested:
		r.leavingConfirmationRequested(e)
	case UpstreamFound:
		r.upstreamFound(e)
	case UpstreamDied:
		r.upstreamDied()
	case UpstreamReplaced:
		r.upstreamReplaced(e)
	case ProbeEnded:
		r.probeEnded(e)
	case WarmupAnswered:
		r.warmupAnswered(e)
	}
}

func (r *Reducer) stepQuota(event Event) {
	switch e := event.(type) {
	case QuotaAnswered:
		r.quotaAnswered(e)
	case QuotaRequestFailed:
		r.quotaRequestFailed(e)
	case QuotaRequested:
		r.quotaRequested(e)
	}
}

// stepStore processes what a platform's store tells.
func (r *Reducer) stepStore(event Event) {
	switch e := event.(type) {
	case PlanPublished:
		r.planPublished(e.Plan)
	case PlanStoreReachable:
		r.updatePlanStoreReachable(e)
	case StoreEraSeen:
		r.noteStoreEra(e.Era)
	case MembersListed:
		r.membersListed(e)
	}
}

func (r *Reducer) stepMember(event Event) {
	switch e := event.(type) {
	case RecordRead:
		r.recordRead(e)
	case LogOpened:
		r.log.begin(e.Earliest)
	case RecordAppended:
		r.announceSchedule.appendEnded(e.ID)
	case AppendFailed:
		// The append is no longer pending, so a later one can replace it.
		r.announceSchedule.appendEnded(e.ID)
	case LoadReportReceived:
		r.loadReportReceived(e)
	case ExchangeReceived:
		r.exchangeReceived(e)
	case ExchangeRequested:
		r.exchangeRequested(e)
	case PeerSilent:
		r.members.peerDidNotAnswer(e.Address, r.now)
	case HandoverOffered:
		r.handoverOffered(e)
	case HandoverAnswered:
		r.handoverAnswered(e)
	case AnswersOffered:
		r.answersOffered(e)
	case AnswerOfferEnded:
		r.answerOfferEnded(e)
	case SuspectReceived:
		r.suspectHeard(e.Suspect)
	case SettingsChanged:
		r.Settings = e.Settings
	case StopRequested:
		r.stopRequested()
	case Tick:
		r.tick()
	}
}

// tick expires state and starts the work that is due by time.
func (r *Reducer) tick() {
	r.members.refresh(r.now, r.Settings)
	r.expireQueue()
	r.keys.expire(r.now)
	r.attemptRecords.expire(r.now)
	r.suspects.expire(r.now)
	r.probe()
	r.announce()
	r.exchangeIfDue()
	r.askLeavingHolders()
	r.openIfTold()
	r.takeFirstPlanIfDue()
	r.rewriteLeavingRunsOfGone()
	r.maintainHomeTables()
	r.queryWarmup()
	r.noteColdness()
	r.startWork()
	r.quotaTick()
	r.report()
	if r.stopping {
		r.stopAdmission()
		r.checkStopped()
	}
}

func (r *Reducer) emit(e Effect) { r.effects = append(r.effects, e) }

func (r *Reducer) selfID() NodeID { return NewNodeID(r.Self.Address, r.Self.Incarnation) }

// nextAttemptID returns a new attempt ID.
func (r *Reducer) nextAttemptID() AttemptID {
	r.sequence++
	return AttemptID(r.attemptIDPrefix + strconv.FormatUint(r.sequence, 16))
}

// nextSequence returns a number that this process has not used before.
func (r *Reducer) nextSequence() uint64 {
	r.sequence++
	return r.sequence
}

// recordID returns a unique ID for a log record.
func (r *Reducer) recordID(purpose string) string {
	r.sequence++
	return fmt.Sprintf("%s-%016x-%x", purpose, r.Self.Incarnation, r.sequence)
}

// adoptPlan puts a plan in force unless the current one has the same or a later offset.
func (r *Reducer) adoptPlan(plan Plan) {
	if plan.offset <= r.planInForce.offset {
		return
	}
	r.planInForce = plan
	r.noteDecision(Decision{Kind: DecisionPlanActivated, Plan: plan.offset, Reason: plan.spec.ID, Load: float64(len(plan.spec.Routes))})
	r.planInForceIndex = planIndex{}
	for _, s := range plan.spec.Services {
		indexed := &indexedService{plan: s, kinds: map[string]*indexedKind{}}
		for _, k := range s.Kinds {
			indexed.kinds[k.Name] = &indexedKind{kind: k, burn: r.burn.series(s.Name, k.Name)}
		}
		r.planInForceIndex[s.Name] = indexed
	}
	r.routes.setRoutes(plan.spec.Routes)
	r.tenants = newTenantTable(plan.spec.Tenants)
	r.reportSoon()
	r.members.evacuatedZones = plan.spec.EvacuatedZones
	r.members.rebuildServices(r.planInForceIndex)
	// This sends on calls, so it follows what decides where they may go.
	r.quotaPlanChanged()
	r.applyWarmupRate()
	r.updateEvacuation()
	r.refuseQueueWhenClosed()
}

// recordRead applies one record of the log to the state.
func (r *Reducer) recordRead(e RecordRead) {
	if e.Record.Member != nil {
		r.memberAnnounced(NewMember(*e.Record.Member))
	}
	r.log.readRecord(e.Offset, e.Record)
	r.logAdvanced()
}

// logAdvanced applies the plan and the home tables after the state of the log has changed.
func (r *Reducer) logAdvanced() {
	if r.log.known {
		r.adoptPlan(r.log.plan)
	}
	r.tablesChanged()
}
