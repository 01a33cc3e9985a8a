package loop

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tanagerline/tanagerline/internal/decision/reducer"
)

const (
	// mailboxSize is the number of undelivered effects that a mailbox buffers. A full
	// mailbox blocks the loop.
	mailboxSize = 16
	// tickPeriod is the default of Loop.Period.
	tickPeriod = 50 * time.Millisecond
)

// Loop serialises the events of one reducer and dispatches its effects. The exported
// fields must be set before Run.
type Loop struct {
	// Reducer holds the node's state and makes its decisions.
	Reducer *reducer.Reducer
	// Clock returns the current time.
	Clock func() time.Time
	// Period is the interval between ticks; zero means 50 ms.
	Period time.Duration
	// Background handles the effects that belong to no call or work. It must not
	// block, because the loop's lock is held while it runs.
	Background func(reducer.Effect)

	mu      sync.Mutex
	lastID  atomic.Uint64
	calls   map[reducer.CallID]*CallMailbox
	works   map[reducer.WorkID]*WorkMailbox
	stopped chan struct{}
	once    sync.Once
}

// CallMailbox queues the effects for the handler of one call.
type CallMailbox struct {
	id      reducer.CallID
	effects chan reducer.CallEffect
	cancel  func()
}

// ID returns the call's ID.
func (m *CallMailbox) ID() reducer.CallID { return m.id }

// Effects returns the channel that delivers the call's effects.
func (m *CallMailbox) Effects() <-chan reducer.CallEffect { return m.effects }

// WorkMailbox queues the effects for the handler of one attempt or peer request.
type WorkMailbox struct {
	id      reducer.WorkID
	effects chan reducer.WorkEffect
}

// ID returns the work's ID.
func (m *WorkMailbox) ID() reducer.WorkID { return m.id }

// Effects returns the channel that delivers the work's effects.
func (m *WorkMailbox) Effects() <-chan reducer.WorkEffect { return m.effects }

// Prepare initialises the loop. It must be called once, before any other method.
func (l *Loop) Prepare() {
	l.calls = map[reducer.CallID]*CallMailbox{}
	l.works = map[reducer.WorkID]*WorkMailbox{}
	l.stopped = make(chan struct{})
}

// Run sends a tick to the reducer every Period until the context is done.
func (l *Loop) Run(ctx context.Context) {
	period := l.Period
	if period <= 0 {
		period = tickPeriod
	}
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			l.Do(reducer.Tick{})
		}
	}
}

// Stopped returns a channel that is closed when the graceful stop has completed.
func (l *Loop) Stopped() <-chan struct{} { return l.stopped }

// Do applies one event to the reducer and dispatches its effects.
func (l *Loop) Do(event reducer.Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, effect := range l.Reducer.Step(l.Clock(), event) {
		l.deliver(effect)
	}
}

// Inspect calls read with the reducer while holding the lock that serialises events.
func (l *Loop) Inspect(read func(*reducer.Reducer)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	read(l.Reducer)
}

// OpenCall registers a new call and returns its mailbox. The loop calls cancel, with its
// lock held, to abort the call's attempt in flight.
func (l *Loop) OpenCall(cancel func()) *CallMailbox {
	m := &CallMailbox{
		id: reducer.CallID(l.lastID.Add(1)), cancel: cancel,
		effects: make(chan reducer.CallEffect, mailboxSize),
	}
	l.mu.Lock()
	l.calls[m.id] = m
	l.mu.Unlock()
	return m
}

// CloseCall reports the end of a call to the reducer and removes its mailbox.
func (l *Loop) CloseCall(m *CallMailbox) {
	l.Do(reducer.CallEnded{Call: m.id})
	l.mu.Lock()
	delete(l.calls, m.id)
	l.mu.Unlock()
}

// OpenWork registers a new work and returns its mailbox.
func (l *Loop) OpenWork() *WorkMailbox {
	m := &WorkMailbox{
		id:      reducer.WorkID(l.lastID.Add(1)),
		effects: make(chan reducer.WorkEffect, mailboxSize),
	}
	l.mu.Lock()
	l.works[m.id] = m
	l.mu.Unlock()
	return m
}

// CloseWork removes a work's mailbox.
func (l *Loop) CloseWork(m *WorkMailbox) {
	l.mu.Lock()
	delete(l.works, m.id)
	l.mu.Unlock()
}

// Ask opens a work, applies the event that ask returns for it and waits for the effect
// that replies to it. It returns nil if the context is done first.
func (l *Loop) Ask(ctx context.Context, ask func(reducer.WorkID) reducer.Event) reducer.WorkEffect {
	m := l.OpenWork()
	defer l.CloseWork(m)
	l.Do(ask(m.id))
	select {
	case effect := <-m.effects:
		return effect
	case <-ctx.Done():
		return nil
	}
}

func (l *Loop) deliver(effect reducer.Effect) {
	switch e := effect.(type) {
	case reducer.CancelCall:
		if m := l.calls[e.Call]; m != nil {
			m.cancel()
		}
	case reducer.CallEffect:
		if m := l.calls[e.ForCall()]; m != nil {
			m.effects <- e
		}
	case reducer.WorkEffect:
		if m := l.works[e.ForWork()]; m != nil {
			m.effects <- e
		}
	case reducer.Stopped:
		l.once.Do(func() { close(l.stopped) })
	default:
		l.Background(effect)
	}
}

// CallDeadline returns the time, by the loop's clock, at which the call expires.
func (l *Loop) CallDeadline(m *CallMailbox) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.Reducer.CallDeadline(m.id)
}

// WithDeadline returns a context that expires at a time of the loop's clock. The context
// gets a timeout, so that steps of the wall clock don't move its end.
func (l *Loop) WithDeadline(parent context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	return context.WithTimeout(parent, deadline.Sub(l.Clock()))
}
