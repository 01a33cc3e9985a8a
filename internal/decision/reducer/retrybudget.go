package reducer

import "time"

const (
	// fixedBudgetShare and earnedBudgetShare are the fractions of the fixed and of the earned budget that
	// an entry spends. The margin covers entries that have not yet learned of each other, and
	// requests that arrive a little later than they are sent.
	fixedBudgetShare  = 0.35
	earnedBudgetShare = 0.85
	// retryWindowSlices is the number of slices of the sliding window.
	retryWindowSlices = 20
)

// retryBudgets bounds, for each service, the arrivals at upstreams beyond the first of each
// request. All entries share one budget without coordination: in any window, an entry may
// spend its share of the fixed part and what its own requests in that window have earned. The
// budget covers a window because an upstream may start to shed load after a calm period: the
// retries earned before are then available at once.
type retryBudgets struct {
	services map[string]*retryWindow
	started  time.Time
}

func (b *retryBudgets) init(now time.Time) {
	b.services = map[string]*retryWindow{}
	b.started = now
}

// retryWindow counts the requests and the repeats of a sliding window in slices. A repeat is
// an arrival at an upstream beyond the first of a request.
type retryWindow struct {
	requests [retryWindowSlices]int
	repeats  [retryWindowSlices]float64
	// newestSlice is the number of the newest slice, counted from the start of the budgets.
	newestSlice int64
}

// advance clears the slices that have left the window and makes slice the newest.
func (w *retryWindow) advance(newestSlice int64) {
	if newestSlice-w.newestSlice >= retryWindowSlices {
		*w = retryWindow{newestSlice: newestSlice}
		return
	}
	for w.newestSlice < newestSlice {
		w.newestSlice++
		w.requests[w.newestSlice%retryWindowSlices] = 0
		w.repeats[w.newestSlice%retryWindowSlices] = 0
	}
}

// total returns the sums of the requests and the repeats in the window.
func (w *retryWindow) total() (requests int, repeats float64) {
	for i := range retryWindowSlices {
		requests += w.requests[i]
		repeats += w.repeats[i]
	}
	return requests, repeats
}

// retryWindowOf returns the window of a service, advanced to the current time.
func (r *Reducer) retryWindowOf(service string) *retryWindow {
	window := r.routedRetryBudgets.services[service]
	if window == nil {
		window = &retryWindow{}
		r.routedRetryBudgets.services[service] = window
	}
	window.advance(int64(r.now.Sub(r.routedRetryBudgets.started) / (r.Settings.SharedRetryWindow / retryWindowSlices)))
	return window
}

// earnRoutedRetry counts a request for a service. Requests may come from the upstream on this VM,
// and those it makes while running a repeat are repeats too. Which of its runs made the
// request is unknown, so the fraction of running work that is a repeat is counted.
func (r *Reducer) earnRoutedRetry(service string) {
	window := r.retryWindowOf(service)
	window.requests[window.newestSlice%retryWindowSlices]++
	if g := &r.guard; g.runningRepeats > 0 {
		window.repeats[window.newestSlice%retryWindowSlices] += float64(g.runningRepeats) / float64(g.running)
	}
}

// spendRoutedRetry takes one more arrival at an upstream from the budget of the call's service and
// reports whether the budget allowed it.
func (r *Reducer) spendRoutedRetry(c *call) bool {
	if spent, allowed := r.retryBudget(c); spent+1 > allowed {
		r.counts.RetriesDenied++
		return false
	}
	r.countRepeat(c)
	r.counts.Retries++
	return true
}

// retryBudget returns the arrivals beyond the first of each request that the entry has caused in the
// window at the call's service, and those that it may cause.
func (r *Reducer) retryBudget(c *call) (spent, allowed float64) {
	requests, repeats := r.retryWindowOf(c.service).total()
	// The fixed share grows over the first window, so that a restarted process does not spend
	// it twice.
	age := min(1, float64(r.now.Sub(r.routedRetryBudgets.started))/float64(r.Settings.SharedRetryWindow))
	fixed := age * fixedBudgetShare * float64(r.Settings.SharedRetries) / float64(max(1, len(r.members.order)))
	return repeats, fixed + earnedBudgetShare*r.Settings.RetryShare*float64(requests)
}

// countRepeat counts an arrival beyond the first of a request at the call's service.
func (r *Reducer) countRepeat(c *call) {
	window := r.retryWindowOf(c.service)
	window.repeats[window.newestSlice%retryWindowSlices]++
}
