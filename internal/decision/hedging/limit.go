package hedging

// requestsSaved is the number of requests whose part of the limit can be saved: over any time, a route's
// hedges stay within the share of its requests in that time and of this many earlier ones.
const requestsSaved = 100

// Limit bounds a route's hedges to a share of its requests. The zero value allows none.
type Limit struct {
	// hedges is the number of hedges that the requests so far have earned.
	hedges float64
}

// Earn counts a request of the route, with the share of its requests that may be hedged.
func (l *Limit) Earn(share float64) {
	l.hedges = min(l.hedges+share, max(1, share*requestsSaved))
}

// Spend counts a hedge.
func (l *Limit) Spend() { l.hedges-- }

// allows reports whether another hedge is within the limit. The tolerance covers the rounding of the
// sum of many shares.
func (l *Limit) allows() bool {
	const tolerance = 1e-9
	return l.hedges >= 1-tolerance
}
