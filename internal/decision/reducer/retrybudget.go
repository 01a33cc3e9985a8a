package reducer

import "time"

const (
	// fixedShare and earnedShare are the parts of the allowance that entries use: entries
	// know each other late, and requests arrive a little later than they are sent.
	fixedShare  = 0.35
	earnedShare = 0.85
	// budgetSlices is how many parts of the window are counted apart.
	budgetSlices = 20
)

// retryBudgets bound the arrivals at upstreams beyond the first of each request, for
// each service by itself. All entries share one allowance without asking each other:
// in any window each spends its share of the fixed part and what its own requests of that
// window earn. It answers upstreams that shed for a while after a calm time: what was
// earned then is there at once.
type retryBudgets struct {
	services map[string]*retryWindow
	began    time.Time
}

func (b *retryBudgets) init(now time.Time) {
	b.services = map[string]*retryWindow{}
	b.began = now
}

// retryWindow counts the requests and the repeats of a window, slice by slice.
type retryWindow struct {
	requests [budgetSlices]int
	repeats  [budgetSlices]float64
	// slice is the newest slice's number since the budgets began.
	slice int64
}

// advance forgets the slices that have left the window.
func (w *retryWindow) advance(slice int64) {
	if slice-w.slice >= budgetSlices {
		*w = retryWindow{slice: slice}
		return
	}
	for w.slice < slice {
		w.slice++
		w.requests[w.slice%budgetSlices] = 0
		w.repeats[w.slice%budgetSlices] = 0
	}
}

// total returns the requests and the repeats of the window.
func (w *retryWindow) total() (requests int, repeats float64) {
	for i := range budgetSlices {
		requests += w.requests[i]
		repeats += w.repeats[i]
	}
	return requests, repeats
}

// budgetOf returns the window of a service as of now.
func (r *Reducer) budgetOf(service string) *retryWindow {
	window := r.budgets.services[service]
	if window == nil {
		window = &retryWindow{}
		r.budgets.services[service] = window
	}
	window.advance(int64(r.now.Sub(r.budgets.began) / (r.Settings.SharedRetryWindow / budgetSlices)))
	return window
}

// earnRetry credits a request for a service. Some requests come from the upstream on this
// VM; what it calls while it runs a repeat is a repeat, too.
func (r *Reducer) earnRetry(service string) {
	window := r.budgetOf(service)
	window.requests[window.slice%budgetSlices]++
	if g := &r.guard; g.runningRepeats > 0 {
		window.repeats[window.slice%budgetSlices] += float64(g.runningRepeats) / float64(g.running)
	}
}

// spendRetry takes one more arrival at an upstream from the budget and reports
// whether there was room for it.
func (r *Reducer) spendRetry(c *call) bool {
	window := r.budgetOf(c.service)
	requests, repeats := window.total()
	// A process that starts again must not spend its fixed share twice.
	age := min(1, float64(r.now.Sub(r.budgets.began))/float64(r.Settings.SharedRetryWindow))
	fixed := age * fixedShare * float64(r.Settings.SharedRetries) / float64(max(1, len(r.members.order)))
	if repeats+1 > fixed+earnedShare*r.Settings.RetryShare*float64(requests) {
		r.counts.RetriesDenied++
		return false
	}
	window.repeats[window.slice%budgetSlices]++
	r.counts.Retries++
	return true
}
