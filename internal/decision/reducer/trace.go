package reducer

import "time"

// TraceKind names a step on a call's way.
type TraceKind string

// The steps on a call's way.
const (
	TraceAnswered   TraceKind = "answered"
	TraceChosen     TraceKind = "chosen"
	TraceForwarded  TraceKind = "forwarded"
	TraceLost       TraceKind = "lost"
	TraceNoUpstream TraceKind = "no-upstream"
	TraceRefused    TraceKind = "refused"
	TraceRejected   TraceKind = "rejected"
	TraceSettled    TraceKind = "settled"
)

const (
	traceEntries    = 4096
	traceCandidates = 4
)

// TraceCandidate is one upstream that a choice compared.
type TraceCandidate struct {
	Address string        `json:"address"`
	Score   time.Duration `json:"score"`
	Load    float64       `json:"load"`
}

// TraceEntry is one step on a call's way.
type TraceEntry struct {
	At         time.Time        `json:"at"`
	Call       CallID           `json:"call"`
	Attempt    AttemptID        `json:"attempt,omitempty"`
	Key        string           `json:"key,omitempty"`
	Service    string           `json:"service"`
	Kind       TraceKind        `json:"kind"`
	Target     string           `json:"target,omitempty"`
	Detail     string           `json:"detail,omitempty"`
	Candidates []TraceCandidate `json:"candidates,omitempty"`
}

// traceStep is a TraceEntry as the ring holds it, without allocations.
type traceStep struct {
	at         time.Time
	call       CallID
	attempt    AttemptID
	key        string
	service    string
	kind       TraceKind
	target     string
	detail     string
	compared   [traceCandidates]TraceCandidate
	candidates int
}

// traceRing keeps the last steps of all calls.
type traceRing struct {
	steps      []traceStep
	next       int
	compared   [traceCandidates]TraceCandidate
	candidates int
}

func (t *traceRing) init() { t.steps = make([]traceStep, 0, traceEntries) }

// begin forgets the candidates of the choice before.
func (t *traceRing) begin() { t.candidates = 0 }

// consider notes a candidate of the choice that is being made.
func (t *traceRing) consider(p *peer, score time.Duration, load float64) {
	if t.candidates == traceCandidates {
		return
	}
	t.compared[t.candidates] = TraceCandidate{Address: p.member.spec.Address, Score: score, Load: load}
	t.candidates++
}

// slot returns the ring's oldest place, to be written over.
func (t *traceRing) slot() *traceStep {
	if len(t.steps) < traceEntries {
		t.steps = append(t.steps, traceStep{})
		return &t.steps[len(t.steps)-1]
	}
	step := &t.steps[t.next]
	t.next = (t.next + 1) % traceEntries
	return step
}

func (t *traceRing) add(now time.Time, c *call, p *peer, kind TraceKind) *traceStep {
	step := t.slot()
	step.at = now
	step.call = c.id
	step.key = c.key
	step.service = c.service
	step.kind = kind
	step.target = ""
	step.detail = ""
	step.attempt = ""
	step.candidates = 0
	if c.attempt != nil {
		step.attempt = c.attempt.id
	}
	if p != nil {
		step.target = p.member.spec.Address
	}
	if kind == TraceChosen {
		step.candidates = t.candidates
		step.compared = t.compared
	}
	return step
}

func (t *traceRing) refusal(now time.Time, c *call, p *peer, reason RefusalReason) {
	t.add(now, c, p, TraceRefused).detail = string(reason)
}

func (t *traceRing) settled(now time.Time, c *call, p *peer, outcome Outcome) {
	t.add(now, c, p, TraceSettled).detail = string(outcome)
}

func (t *traceRing) forwarded(now time.Time, c *call, home NodeID) {
	t.add(now, c, nil, TraceForwarded).target = home.Address()
}

func (t *traceRing) rejected(now time.Time, c *call, outcome Outcome, problem ProblemKind) {
	t.add(now, c, nil, TraceRejected).detail = string(outcome) + ": " + string(problem)
}

// entry returns the step for a reader.
func (s *traceStep) entry() TraceEntry {
	e := TraceEntry{
		At: s.at, Call: s.call, Attempt: s.attempt, Key: s.key, Service: s.service,
		Kind: s.kind, Target: s.target, Detail: s.detail,
	}
	e.Candidates = append(e.Candidates, s.compared[:s.candidates]...)
	return e
}

// Explain returns the steps, oldest first, of the calls that a key or an attempt
// belongs to.
func (r *Reducer) Explain(name string) []TraceEntry {
	t := &r.trace
	calls := map[CallID]bool{}
	for i := range t.steps {
		if t.steps[i].key == name || string(t.steps[i].attempt) == name {
			calls[t.steps[i].call] = true
		}
	}
	var entries []TraceEntry
	for i := range t.steps {
		step := &t.steps[(t.next+i)%len(t.steps)]
		if calls[step.call] {
			entries = append(entries, step.entry())
		}
	}
	return entries
}
