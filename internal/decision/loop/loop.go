package loop

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tanagerline/tanagerline/internal/decision/reducer"
)

const (
	mailboxSize = 16
	// tickPeriod is how often time passes for a reducer where Period says nothing else.
	tickPeriod = 50 * time.Millisecond
)

// Loop feeds one reducer; its exported fields are set before Run.
type Loop struct {
	// Reducer is the node's state.
	Reducer *reducer.Reducer
	// Clock tells the current instant.
	Clock func() time.Time
	// Period is the time between two ticks; zero is a default.
	Period time.Duration
	// Background carries out an effect that belongs to no call or work; it must
	// not block.
	Background func(reducer.Effect)

	mu      sync.Mutex
	lastID  atomic.Uint64
	calls   map[reducer.CallID]*CallMailbox
	works   map[reducer.WorkID]*WorkMailbox
	stopped chan struct{}
	once    sync.Once
}

// CallMailbox receives the effects for one call.
type CallMailbox struct {
	id      reducer.CallID
	effects chan reducer.CallEffect
	cancel  func()
}

// ID returns the call's ID.
func (m *CallMailbox) ID() reducer.CallID { return m.id }

// Effects returns the channel that the call's effects arrive on.
func (m *CallMailbox) Effects() <-chan reducer.CallEffect { return m.effects }

// WorkMailbox receives the effects for one work.
type WorkMailbox struct {
	id      reducer.WorkID
	effects chan reducer.WorkEffect
}

// ID returns the work's ID.
func (m *WorkMailbox) ID() reducer.WorkID { return m.id }

// Effects returns the channel that the work's effects arrive on.
func (m *WorkMailbox) Effects() <-chan reducer.WorkEffect { return m.effects }

// Prepare readies the loop; it must be called once before any other method.
func (l *Loop) Prepare() {
	l.calls = map[reducer.CallID]*CallMailbox{}
	l.works = map[reducer.WorkID]*WorkMailbox{}
	l.stopped = make(chan struct{})
}

// Run lets time pass until the context ends.
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

// Stopped returns a channel that is closed when a graceful stop is complete.
func (l *Loop) Stopped() <-chan struct{} { return l.stopped }

// Do takes one event and delivers its effects.
func (l *Loop) Do(event reducer.Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, effect := range l.Reducer.Step(l.Clock(), event) {
		l.deliver(effect)
	}
}

// Inspect calls read with the reducer while no event is taken.
func (l *Loop) Inspect(read func(*reducer.Reducer)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	read(l.Reducer)
}

// OpenCall returns a mailbox for a new call; cancel ends its attempt in flight.
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

// CloseCall ends a call and forgets its mailbox.
func (l *Loop) CloseCall(m *CallMailbox) {
	l.Do(reducer.CallEnded{Call: m.id})
	l.mu.Lock()
	delete(l.calls, m.id)
	l.mu.Unlock()
}

// OpenWork returns a mailbox for a new work.
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

// CloseWork forgets a work's mailbox.
func (l *Loop) CloseWork(m *WorkMailbox) {
	l.mu.Lock()
	delete(l.works, m.id)
	l.mu.Unlock()
}

// Ask takes the event that ask makes for a new work and returns the effect that
// answers it, or nil when the context ends first.
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

// CallDeadline returns when a call expires.
func (l *Loop) CallDeadline(m *CallMailbox) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.Reducer.CallDeadline(m.id)
}

// WithDeadline returns a context that ends at an instant of the loop's clock, which a
// step of the time of day doesn't move.
func (l *Loop) WithDeadline(parent context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	return context.WithTimeout(parent, deadline.Sub(l.Clock()))
}
