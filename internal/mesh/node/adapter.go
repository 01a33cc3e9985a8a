package node

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/tanagerline/tanagerline/internal/decision/reducer"
	"github.com/tanagerline/tanagerline/internal/edge/caller"
	"github.com/tanagerline/tanagerline/internal/edge/upstream"
	"github.com/tanagerline/tanagerline/internal/store/stream"
)

const (
	// adapterTick is how often time passes for a node whose work takes milliseconds.
	adapterTick = 20 * time.Millisecond
	// firstRetry and lastRetry bound the time between two tries at the platform's store.
	firstRetry = 150 * time.Millisecond
	lastRetry  = time.Second
	// listingPeriod is the time between two readings of the directory: of two members
	// that start together the later one finds the other there, and introduces itself.
	listingPeriod = time.Minute
	// watchPeriod is how often a node looks whether it is to wait for plans, and
	// unwatchedPeriod how often one that is not reads them all the same.
	watchPeriod     = 200 * time.Millisecond
	unwatchedPeriod = time.Minute
	// announceWait is how long a node that starts waits for the answer to its announcement before it
	// reads the directory.
	announceWait = time.Second
	// rewriteSpread is the time over which nodes spread their writes once the store came back from a copy.
	rewriteSpread = time.Second
	// secondListing is the mean time after which a node that has started beside a store with eras reads the
	// directory again: the first reading may have been of a copy whose records were not written again yet.
	secondListing = 2 * rewriteSpread
	// listWait is how long a node that starts waits for the directory before it reads
	// plans, and introductionWait how long after that peers may take to report.
	listWait         = 600 * time.Millisecond
	introductionWait = 50 * time.Millisecond
	// leavingWait is how long an upstream that leaves waits for the acknowledgement: it takes one that
	// is older than a second for none.
	leavingWait = 700 * time.Millisecond
)

// Directory is where members find each other, and where a process leaves what the next one at its
// address has to know.
type Directory interface {
	// Announce names a member; it may be repeated.
	Announce(ctx context.Context, member reducer.MemberSpec) error
	// Members returns every member that was announced, and by member address the runs that were
	// stored as leaving.
	Members(ctx context.Context) (members []reducer.MemberSpec, leaving map[string][]reducer.UpstreamRun, err error)
	// StoreLeavingRuns stores the runs of the upstream beside the member at address that are
	// leaving; it may be repeated.
	StoreLeavingRuns(ctx context.Context, address string, runs []reducer.UpstreamRun) error
	// RewriteLeavingRuns stores the leaving runs beside a member that is gone, without a change to what it has
	// stored itself; it may be repeated.
	RewriteLeavingRuns(ctx context.Context, address string, runs []reducer.UpstreamRun) error
}

// Plans is where operators publish plans.
type Plans interface {
	// Watch hands over each plan that is newer than the last until an error or the
	// context ends it. inForce is the plan that the node has.
	Watch(ctx context.Context, inForce reducer.Plan, deliver func(reducer.Plan)) error
}

// Eras tells of the eras of a platform's store. A store that comes back from an older copy of its records, and
// so has lost some that it had acknowledged, begins another era.
type Eras interface {
	// Watch calls seen with the first era and with each later one, and problem when the store's era
	// can't be relied on.
	Watch(seen func(era uint64), problem func(text string))
	// Expect takes over an era that another node has seen.
	Expect(era uint64)
}

// Adapter speaks the protocols of a platform in place of the node's own.
type Adapter struct {
	// Callers returns the callers' protocol; clock tells the node's time.
	Callers func(clock func() time.Time) caller.Protocol
	// Upstream is the protocol for the upstream.
	Upstream upstream.Protocol
	// Announcements returns the handler of what the upstream says of itself. The handler acknowledges
	// that a run is leaving only once leavingRemembered has returned true.
	Announcements func(do func(reducer.Event), leavingRemembered func(context.Context, reducer.UpstreamRun) bool) http.Handler
	// Ready returns the handler of the platform's question for readiness.
	Ready func(ready func() bool) http.Handler
	// Directory is where members find each other.
	Directory Directory
	// Plans is where operators publish plans.
	Plans Plans
	// Eras tells of the eras of the store; nil for a store that loses nothing.
	Eras Eras
}

func (a *Adapter) upstreamProtocol() upstream.Protocol {
	if a == nil {
		return nil
	}
	return a.Upstream
}

func (a *Adapter) callerProtocol(clock func() time.Time) caller.Protocol {
	if a == nil {
		return nil
	}
	return a.Callers(clock)
}

// tickPeriod is the time between two ticks; zero is a default.
func (n *Node) tickPeriod() time.Duration {
	if n.Adapter == nil {
		return 0
	}
	return adapterTick
}

// runAdapter starts what keeps in touch with the platform's store.
func (n *Node) runAdapter(ctx context.Context) {
	if n.Adapter.Eras != nil {
		n.Adapter.Eras.Watch(
			func(era uint64) { n.loop.Do(reducer.StoreEraSeen{Era: era}) },
			func(text string) {
				n.Logger.Warn().Str("event", "store-era-unusable").Str("reason", text).Msgs()
			},
		)
	}
	listed := make(chan struct{})
	n.work.Go(func() {
		n.awaitPeers(ctx, listed)
		n.watchPlans(ctx)
	})
	n.work.Go(func() { n.findUpstream(ctx) })
	n.work.Go(func() { n.joinDirectory(ctx, sync.OnceFunc(func() { close(listed) })) })
}

// joinDirectory announces this node in the directory, reads the directory until the context ends, and
// calls listed after each time. It reads after the announcement, so that of two members that start
// together the later one finds the other. An announcement without an answer does not hold up the
// first reading, as the guard takes no work before it.
func (n *Node) joinDirectory(ctx context.Context, listed func()) {
	announced, done := context.WithCancel(ctx)
	defer done()
	n.work.Go(func() {
		defer done()
		n.announceSelf(ctx)
	})
	if stream.Sleep(announced, announceWait) == nil {
		n.listMembers(announced, listed)
	}
	n.listMembers(ctx, listed)
}

// awaitPeers waits until the members were listed and have had the time to answer, so that a node
// asks the store for plans only where no peer does. Without a list it goes on without them.
func (n *Node) awaitPeers(ctx context.Context, listed <-chan struct{}) {
	timer := time.NewTimer(listWait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-listed:
		_ = stream.Sleep(ctx, introductionWait)
	}
}

// findUpstream asks the upstream on this VM what it is as soon as a plan tells where: a
// node that starts again beside it need not wait for its next announcement. One that
// doesn't answer, or is not well, is left to announce itself.
func (n *Node) findUpstream(ctx context.Context) {
	ticker := time.NewTicker(adapterTick)
	defer ticker.Stop()
	path, announced := "", false
	for path == "" {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		n.loop.Inspect(func(r *reducer.Reducer) { path, announced = r.HealthPath(n.Settings.Service), r.UpstreamKnown() })
		if announced {
			return
		}
	}
	found, err := n.guard.Discover(ctx, n.Settings.Service, n.Settings.Upstream, path)
	if err != nil {
		n.Logger.Info().Str("event", "upstream-not-found").Err(err).Msgs()
		return
	}
	n.loop.Do(reducer.UpstreamFound{Announced: found})
}

// watchPlans puts published plans in force until the context ends.
func (n *Node) watchPlans(ctx context.Context) {
	dependency := n.dependency("plans")
	retry := firstRetry
	for ctx.Err() == nil {
		n.awaitTurn(ctx)
		var inForce reducer.Plan
		n.loop.Inspect(func(r *reducer.Reducer) { inForce = r.Plan() })
		err := n.Adapter.Plans.Watch(ctx, inForce, func(plan reducer.Plan) {
			dependency.regained()
			retry = firstRetry
			n.loop.Do(reducer.PlanPublished{Plan: plan})
		})
		n.loop.Do(reducer.PlanStoreReachable{Reached: err == nil})
		if err == nil {
			dependency.regained()
			retry = firstRetry
			continue
		}
		dependency.lost(err)
		if stream.SleepBackoff(ctx, &retry, lastRetry) != nil {
			return
		}
	}
}

// awaitTurn waits until this node is one that waits for plans, or has not read them
// for long.
func (n *Node) awaitTurn(ctx context.Context) {
	ticker := time.NewTicker(watchPeriod)
	defer ticker.Stop()
	read := time.NewTimer(unwatchedPeriod/2 + rand.N(unwatchedPeriod))
	defer read.Stop()
	for {
		watches, planless := false, false
		n.loop.Inspect(func(r *reducer.Reducer) {
			watches = r.WatchesPlanStore()
			planless = r.Plan().Offset() == 0
		})
		if watches {
			return
		}
		if planless {
			// Callers are rejected until there is a plan.
			ticker.Reset(adapterTick)
		}
		select {
		case <-ctx.Done():
			return
		case <-read.C:
			return
		case <-ticker.C:
		}
	}
}

// announceSelf names this node in the directory.
func (n *Node) announceSelf(ctx context.Context) {
	var self reducer.MemberSpec
	n.loop.Inspect(func(r *reducer.Reducer) { self = r.Self })
	n.writeDirectory(ctx, func() error { return n.Adapter.Directory.Announce(ctx, self) })
}

// storeLeavingRuns stores in the directory which runs of the upstream are leaving.
func (n *Node) storeLeavingRuns(ctx context.Context) {
	n.storingLeaving.Lock()
	defer n.storingLeaving.Unlock()
	n.writeDirectory(ctx, func() error {
		var runs []reducer.UpstreamRun
		n.loop.Inspect(func(r *reducer.Reducer) { runs = r.LeavingRuns() })
		err := n.Adapter.Directory.StoreLeavingRuns(ctx, n.entry.Self.Address(), runs)
		if err == nil {
			n.loop.Do(reducer.LeavingRunsStored{Runs: runs})
		}
		return err
	})
}

// rewriteDirectory writes what this node has written to the directory again, because the store came back from a
// copy that may not have it. The nodes spread their writes over rewriteSpread.
func (n *Node) rewriteDirectory(ctx context.Context, era uint64) {
	n.Adapter.Eras.Expect(era)
	if stream.Sleep(ctx, rand.N(rewriteSpread)) != nil {
		return
	}
	superseded, leaving := false, false
	n.loop.Inspect(func(r *reducer.Reducer) {
		superseded = r.StoreEra() > era
		leaving = len(r.LeavingRuns()) > 0
	})
	if superseded {
		// The task for the later era writes.
		return
	}
	if leaving {
		n.storeLeavingRuns(ctx)
	}
	n.announceSelf(ctx)
}

// awaitLeaving waits until the leaving of a run is remembered outside this process, so that its next
// process knows it, too. It returns false if that takes longer than leavingWait.
func (n *Node) awaitLeaving(ctx context.Context, run reducer.UpstreamRun) bool {
	ctx, cancel := context.WithTimeout(ctx, leavingWait)
	defer cancel()
	until := n.loop.Clock().Add(leavingWait)
	confirmed := n.loop.Ask(ctx, func(id reducer.WorkID) reducer.Event {
		return reducer.LeavingConfirmationRequested{Work: id, Run: run, Until: until}
	})
	if confirmed == nil {
		n.Logger.Warn().Str("event", "leaving-not-remembered").Str("instance", run.Instance()).Msgs()
	}
	return confirmed != nil
}

// writeDirectory repeats a write to the directory until it succeeds or the context ends.
func (n *Node) writeDirectory(ctx context.Context, write func() error) {
	dependency := n.dependency("directory")
	retry := firstRetry
	for ctx.Err() == nil {
		err := write()
		if err == nil {
			dependency.regained()
			return
		}
		dependency.lost(err)
		if stream.SleepBackoff(ctx, &retry, lastRetry) != nil {
			return
		}
	}
}

// listMembers reads the directory until the context ends and calls listed after each time.
func (n *Node) listMembers(ctx context.Context, listed func()) {
	dependency := n.dependency("directory")
	retry := firstRetry
	pause := secondListing
	for ctx.Err() == nil {
		specs, leaving, err := n.Adapter.Directory.Members(ctx)
		if err != nil {
			dependency.lost(err)
			if stream.SleepBackoff(ctx, &retry, lastRetry) != nil {
				return
			}
			continue
		}
		dependency.regained()
		retry = firstRetry
		members := make([]reducer.Member, 0, len(specs))
		for _, spec := range specs {
			members = append(members, reducer.NewMember(spec))
		}
		n.loop.Do(reducer.MembersListed{Members: members, LeavingRuns: leaving[n.entry.Self.Address()]})
		listed()
		if n.storeEra() == 0 {
			pause = listingPeriod
		}
		if stream.SleepJittered(ctx, pause) != nil {
			return
		}
		pause = listingPeriod
	}
}

// storeEra returns the era of the store that this node knows, or zero.
func (n *Node) storeEra() uint64 {
	era := uint64(0)
	n.loop.Inspect(func(r *reducer.Reducer) { era = r.StoreEra() })
	return era
}

// dependency notes when something that the node needs is lost and regained.
type dependency struct {
	node *Node
	name string
	down bool
}

func (n *Node) dependency(name string) *dependency { return &dependency{node: n, name: name} }

func (d *dependency) lost(err error) {
	if d.down {
		return
	}
	d.down = true
	d.node.Logger.Warn().Str("event", "dependency-lost").Str("dependency", d.name).Err(err).Msgs()
}

func (d *dependency) regained() {
	if !d.down {
		return
	}
	d.down = false
	d.node.Logger.Info().Str("event", "dependency-regained").Str("dependency", d.name).Msgs()
}
