package reducer

// retryBudgets bound the arrivals at upstreams beyond the first of each request, for
// each service by itself. All entries share one allowance without asking each other:
// each spends its share of the fixed part, and what its own requests earn.
type retryBudgets struct{ services map[string]*tokenBucket }

// fixedShare and earnedShare are the parts of the allowance that entries use: a full
// bucket and its refill fall into one window, and entries know each other late.
const (
	fixedShare  = 0.35
	earnedShare = 0.6
)

func (b *retryBudgets) init() { b.services = map[string]*tokenBucket{} }

// budgetOf returns the bucket of a service, which is empty at first: a process that
// starts again must not spend its share twice.
func (r *Reducer) budgetOf(service string) *tokenBucket {
	bucket := r.budgets.services[service]
	if bucket == nil {
		fresh := newTokenBucket(0, 0, r.now)
		bucket = &fresh
		r.budgets.services[service] = bucket
	}
	share := fixedShare * float64(r.Settings.SharedRetries) / float64(max(1, len(r.members.order)))
	bucket.burst = max(1, share)
	bucket.rate = share / r.Settings.SharedRetryWindow.Seconds()
	return bucket
}

// earnRetry credits a request for a service.
func (r *Reducer) earnRetry(service string) {
	r.budgetOf(service).earn(earnedShare * r.Settings.RetryShare)
}

// spendRetry takes one more arrival at an upstream from the budget and reports
// whether there was room for it.
func (r *Reducer) spendRetry(c *call) bool {
	bucket := r.budgetOf(c.service)
	bucket.refill(r.now)
	if !bucket.spend(1) {
		r.counts.RetriesDenied++
		return false
	}
	r.counts.Retries++
	return true
}
