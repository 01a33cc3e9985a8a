package warmup

import "time"

const (
	// room is the capacity of the bucket in requests. With the rate of one second it stays below the
	// platform's bound, rate x 1.5 + 8, with a margin for requests that don't take a token.
	room = 4
	// unstatedWarmup is how long an upstream counts as cold if neither it nor the plan says how long.
	unstatedWarmup = 10 * time.Second
)

// Limit is a token bucket that bounds the requests to one upstream while the upstream is cold. The
// zero value sets no bound.
type Limit struct {
	// rate is in requests per second; zero sets no bound.
	rate   float64
	tokens float64
	// updated is when tokens was last computed.
	updated time.Time
	// statedEnd and assumedEnd are the latest ends of the cold time that the upstream stated and
	// that were assumed for want of a statement.
	statedEnd  time.Time
	assumedEnd time.Time
}

// SetRate sets the requests per second that the upstream bears while it is cold; zero sets no bound.
// running is the number of requests that it runs.
func (l *Limit) SetRate(rate float64, running int, now time.Time) {
	bound := l.Binds(now)
	l.refill(now)
	l.rate = max(0, rate)
	l.begin(bound, running, now)
}

// State records the upstream's statement of how long it stays cold. The latest end counts, because a
// statement may arrive after a later one; a statement replaces what was assumed.
func (l *Limit) State(remaining time.Duration, running int, now time.Time) {
	bound := l.Binds(now)
	l.refill(now)
	l.assumedEnd = time.Time{}
	if end := now.Add(remaining); remaining > 0 && end.After(l.statedEnd) {
		l.statedEnd = end
	}
	l.begin(bound, running, now)
}

// Assume takes the upstream to be cold until it states otherwise, for at most usual, or for a
// fixed time if usual is zero.
func (l *Limit) Assume(usual time.Duration, running int, now time.Time) {
	bound := l.Binds(now)
	l.refill(now)
	if usual <= 0 {
		usual = unstatedWarmup
	}
	l.assumedEnd = now.Add(usual)
	l.begin(bound, running, now)
}

// Forget drops what is known of an earlier run of the upstream.
func (l *Limit) Forget() {
	l.statedEnd = time.Time{}
	l.assumedEnd = time.Time{}
}

// Bounded reports whether the bound applies while the upstream is cold.
func (l *Limit) Bounded() bool { return l.rate > 0 }

// Cold reports whether the upstream is cold.
func (l *Limit) Cold(now time.Time) bool { return now.Before(l.end()) }

// Remaining returns how long the upstream stays cold.
func (l *Limit) Remaining(now time.Time) time.Duration { return max(0, l.end().Sub(now)) }

// Binds reports whether the bound applies.
func (l *Limit) Binds(now time.Time) bool { return l.rate > 0 && l.Cold(now) }

// Wait returns how long the last of a number of further requests waits for its token, or for the end
// of the cold time if that comes first.
func (l *Limit) Wait(requests int, now time.Time) time.Duration {
	if !l.Binds(now) {
		return 0
	}
	l.refill(now)
	missing := float64(requests) - l.tokens
	if missing <= 0 {
		return 0
	}
	remaining := l.Remaining(now)
	seconds := missing / l.rate
	if seconds >= remaining.Seconds() {
		// The wait for a token may be too long for a duration.
		return remaining
	}
	// The millisecond covers the rounding of the refill.
	return min(time.Duration(seconds*float64(time.Second))+time.Millisecond, remaining)
}

// Ready reports whether a request may be sent now.
func (l *Limit) Ready(now time.Time) bool {
	if !l.Binds(now) {
		return true
	}
	l.refill(now)
	return l.tokens >= 1
}

// Take takes the token of a request that is sent now. A request that doesn't wait for its token may
// leave the bucket in debt.
func (l *Limit) Take(now time.Time) {
	if l.Binds(now) {
		l.refill(now)
		l.tokens--
	}
}

// Slots returns how many of an upstream's slots the rate can keep busy, at least one, or all of them
// if the bound does not apply.
func (l *Limit) Slots(slots int, serviceTime time.Duration, now time.Time) int {
	if !l.Binds(now) {
		return slots
	}
	return int(min(float64(slots), max(1, l.rate*serviceTime.Seconds())))
}

// end returns the end of the cold time.
func (l *Limit) end() time.Time {
	if l.assumedEnd.After(l.statedEnd) {
		return l.assumedEnd
	}
	return l.statedEnd
}

// begin fills the bucket if the bound begins to apply: the running requests count against the room.
func (l *Limit) begin(bound bool, running int, now time.Time) {
	if !bound && l.Binds(now) {
		l.tokens = float64(max(0, room-running))
		l.updated = now
	}
}

// refill adds the tokens gained since the last refill.
func (l *Limit) refill(now time.Time) {
	if now.After(l.updated) {
		l.tokens = min(room, l.tokens+l.rate*now.Sub(l.updated).Seconds())
		l.updated = now
	}
}
