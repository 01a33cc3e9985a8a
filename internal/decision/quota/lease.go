package quota

import (
	"math"
	"time"
)

const (
	// demandMemory is the time constant of the demand's moving average.
	demandMemory = 2 * time.Second
	// expectedTime is the time for which calls are expected when tokens are asked for on demand. It
	// is below DemandLifetime by a round trip between regions.
	expectedTime = 150 * time.Millisecond
	// stockTime is the time for which tokens for later calls are asked for: several round trips
	// between regions. minAheadDemand is the calls per second below which half of them would expire.
	stockTime      = 250 * time.Millisecond
	minAheadDemand = 0.7
	// minAskInterval and maxAskInterval bound the time before an entry asks again that got less
	// than it asked for. A node of 0.16 cores answers a few hundred requests per second.
	minAskInterval  = 50 * time.Millisecond
	maxAskInterval  = time.Second
	askIntervalStep = 1.5
	// maxCaution bounds caution. It grows by cautionStep with a grant before which tokens expired, and
	// otherwise shrinks by the factor cautionDecay.
	maxCaution   = 0.8
	cautionStep  = 0.2
	cautionDecay = 0.9
	// aheadInterval bounds how often tokens are asked for ahead, and scarceInterval how often after
	// the holder had too few of them.
	aheadInterval  = 50 * time.Millisecond
	scarceInterval = 400 * time.Millisecond
	// goodGrant is the number of tokens that makes an entry ask sooner.
	goodGrant = 4
	// maxAsk bounds the tokens of one request.
	maxAsk = 10_000
)

// Lease holds the tokens of one tenant at an entry, and decides what to ask the holder for.
type Lease struct {
	lots []lot
	// calls is the moving average of the calls per second at updated.
	calls   float64
	updated time.Time
	// askAt is when the holder may be asked again after it granted less than was asked for.
	askAt    time.Time
	interval time.Duration
	// caution is the part of the expected calls for which no tokens are asked for, because callers
	// whose calls are admitted send fewer than those that are refused. expired counts the tokens that
	// expired since the last grant.
	caution float64
	expired int
	// aheadAt is when tokens for later calls may be asked for again.
	aheadAt time.Time
}

// lot is a number of tokens that expire at the same time.
type lot struct {
	tokens  int
	expires time.Time
}

// Want is the number of tokens that an entry asks for.
type Want struct {
	// Demand is for calls that wait or are expected at once, and Ahead for later ones.
	Demand int
	Ahead  int
	// Held is the number of tokens that it has.
	Held int
}

// IsZero reports whether nothing is wanted.
func (w Want) IsZero() bool { return w.Demand == 0 && w.Ahead == 0 }

// Arrived counts a call.
func (l *Lease) Arrived(now time.Time) {
	l.calls = l.demand(now) + 1/demandMemory.Seconds()
	l.updated = now
}

// demand returns the calls per second.
func (l *Lease) demand(now time.Time) float64 {
	return l.calls * math.Exp(-now.Sub(l.updated).Seconds()/demandMemory.Seconds())
}

// Idle reports whether there are too few calls to ask for tokens while none waits.
func (l *Lease) Idle(now time.Time) bool { return l.demand(now) < minAheadDemand }

// Take takes a token if there is one.
func (l *Lease) Take(now time.Time) bool {
	l.expire(now)
	if len(l.lots) == 0 {
		return false
	}
	l.lots[0].tokens--
	return true
}

// Held returns the number of tokens.
func (l *Lease) Held(now time.Time) int {
	l.expire(now)
	sum := 0
	for _, lot := range l.lots {
		sum += lot.tokens
	}
	return sum
}

func (l *Lease) expire(now time.Time) {
	kept := l.lots[:0]
	for _, lot := range l.lots {
		switch {
		case lot.tokens <= 0:
		case now.Before(lot.expires):
			kept = append(kept, lot)
		default:
			l.expired += lot.tokens
		}
	}
	l.lots = kept
}

// MayAsk reports whether the holder may be asked now.
func (l *Lease) MayAsk(now time.Time) bool { return !now.Before(l.askAt) }

// AskAt returns when the holder may be asked next.
func (l *Lease) AskAt() time.Time { return l.askAt }

// Want returns what to ask for while the given number of calls waits. It is zero if none waits and
// the stock suffices.
func (l *Lease) Want(now time.Time, waiting int) Want {
	if !l.MayAsk(now) {
		return Want{}
	}
	demand := l.demand(now)
	held := l.Held(now)
	target := 0
	if demand >= minAheadDemand && !now.Before(l.aheadAt) {
		target = int(math.Ceil(demand * stockTime.Seconds()))
	}
	if waiting == 0 && held >= target-target/2 {
		return Want{}
	}
	w := Want{Demand: waiting, Held: held}
	if waiting > 0 && held == 0 {
		w.Demand += int(demand * expectedTime.Seconds() * (1 - l.caution))
	}
	w.Demand = min(w.Demand, maxAsk)
	w.Ahead = min(max(0, target-held-(w.Demand-waiting)), maxAsk)
	return w
}

// Granted adds the tokens granted for a want that was sent at a time. The waiting calls of then that
// no longer wait gave up, and their tokens are dropped: the bounds don't provide for saving them.
// The spread, from 0 to 1, is random.
func (l *Lease) Granted(now, sent time.Time, want Want, granted, gaveUp int, limit Limit, bounds Bounds, spread float64) {
	l.expire(now)
	if l.expired > 0 {
		l.caution = min(maxCaution, l.caution+cautionStep)
	} else {
		l.caution *= cautionDecay
	}
	l.expired = 0
	onDemand := min(granted, want.Demand)
	l.add(max(0, onDemand-gaveUp), sent.Add(DemandLifetime))
	l.add(granted-onDemand, sent.Add(AheadLifetime))
	pause := aheadInterval
	if granted < want.Demand+want.Ahead {
		pause = scarceInterval
	}
	l.aheadAt = now.Add(spreadOver(pause, spread))
	if granted >= want.Demand {
		l.interval = 0
		return
	}
	l.backOff(now, granted, limit, bounds, spread)
}

func (l *Lease) add(tokens int, expires time.Time) {
	if tokens <= 0 {
		return
	}
	// The lot that expires first is spent first.
	at := len(l.lots)
	for at > 0 && l.lots[at-1].expires.After(expires) {
		at--
	}
	l.lots = append(l.lots, lot{})
	copy(l.lots[at+1:], l.lots[at:])
	l.lots[at] = lot{tokens: tokens, expires: expires}
}

// backOff sets when to ask again, so that all entries together ask about as often as there are
// tokens, however many calls the tenant sends.
func (l *Lease) backOff(now time.Time, granted int, limit Limit, bounds Bounds, spread float64) {
	least := minAskInterval
	if limit.Rate > 0 {
		half := time.Duration(bounds.capacity(limit) / limit.Rate / 2 * float64(time.Second))
		least = min(max(least, half), expectedTime)
	}
	switch {
	case l.interval == 0:
		l.interval = least
	case granted >= goodGrant:
		l.interval /= 2
	case granted <= 1:
		l.interval = time.Duration(askIntervalStep * float64(l.interval))
	}
	l.interval = min(max(l.interval, least), maxAskInterval)
	l.askAt = now.Add(spreadOver(l.interval, spread))
}

// spreadOver returns three quarters to five quarters of a duration.
func spreadOver(d time.Duration, spread float64) time.Duration {
	return time.Duration((0.75 + 0.5*spread) * float64(d))
}

// Drop discards the tokens.
func (l *Lease) Drop() { l.lots = nil }
