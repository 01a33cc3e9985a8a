package quota

import "time"

// Limit is a tenant's quota, or a holder's part of it.
type Limit struct {
	// Rate is in requests per second.
	Rate float64
	// Burst is the number of requests beyond the rate that may run at once.
	Burst float64
}

// Scaled returns a fraction of the limit.
func (l Limit) Scaled(fraction float64) Limit {
	return Limit{Rate: l.Rate * fraction, Burst: l.Burst * fraction}
}

// Bounds states how far the requests of a tenant in any window may exceed its limit.
type Bounds struct {
	// Window is the length of the window; zero switches quotas off.
	Window time.Duration
	// Overage is the allowed excess as a share of the limit, and Slack that in requests.
	Overage float64
	Slack   float64
}

// The lifetimes of tokens. They count from the entry's request, so that no clocks are compared.
const (
	// DemandLifetime is that of a token for a call that waits or is expected at once, and
	// AheadLifetime that of a token for a later call.
	DemandLifetime = 200 * time.Millisecond
	AheadLifetime  = time.Second
)

const (
	// aheadShare and aheadSlackShare are the shares of the allowed excess that unused tokens for
	// later calls may take. Tokens on demand take up to DemandLifetime x rate, 0.4 of the excess
	// with an overage of 0.1 in 5 s.
	aheadShare      = 0.6
	aheadSlackShare = 0.25
	// minCapacityTime and minCapacitySlackShare give the room of a bucket whose burst is smaller
	// than what accrues between two requests of an entry, a second.
	minCapacityTime       = 2 * time.Second
	minCapacitySlackShare = 0.5
)

// Most returns the number of requests that may run in a window.
func (b Bounds) Most(l Limit) float64 {
	return (l.Rate*b.Window.Seconds()+l.Burst)*(1+b.Overage) + b.Slack
}

// capacity returns the room of a holder's bucket.
func (b Bounds) capacity(l Limit) float64 {
	return max(l.Burst, min(l.Rate*minCapacityTime.Seconds(), b.Slack*minCapacitySlackShare), 1)
}

// ahead returns the number of tokens for later calls that all entries may hold together. They are the
// most that entries can save up before a window and spend in it.
func (b Bounds) ahead(l Limit) float64 {
	return aheadShare*b.Overage*b.Window.Seconds()*l.Rate + aheadSlackShare*b.Slack
}
