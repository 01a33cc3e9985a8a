package reducer

import "time"

// TraceKind identifies a step in the processing of a call.
type TraceKind string

// The steps in the processing of a call.
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
	// maxTraceSteps is the number of steps that the ring holds.
	maxTraceSteps = 4096
	// maxTraceCandidates is the number of candidates that are recorded for each choice.
	maxTraceCandidates = 4
)

// TraceCandidate is an upstream that was compared in the choice for an attempt.
type TraceCandidate struct {
	Address string `json:"address"`
	// Score is the time by which the upstreams were compared; lower is better.
	Score time.Duration `json:"score"`
	// Load is the estimated number of attempts at the upstream, for some policies only
	// those that compete for the same slots.
	Load float64 `json:"load"`
}

// TraceEntry is one step in the processing of a call.
type TraceEntry struct {
	At      time.Time `json:"at"`
	Call    CallID    `json:"call"`
	Attempt AttemptID `json:"attempt,omitempty"`
	Key     string    `json:"key,omitempty"`
	Service string    `json:"service"`
	Kind    TraceKind `json:"kind"`
	// Target is the address of the node that the step concerns, or empty.
	Target string `json:"target,omitempty"`
	// Detail is the refusal reason, the outcome, or the outcome and the problem.
	Detail string `json:"detail,omitempty"`
	// Candidates holds the first upstreams compared, for TraceChosen.
	Candidates []TraceCandidate `json:"candidates,omitempty"`
}

// traceStep is a TraceEntry with a fixed-size array of candidates, so that recording a
// step does not allocate.
type traceStep struct {
	at       time.Time
	call     CallID
	attempt  AttemptID
	key      string
	service  string
	kind     TraceKind
	target   string
	detail   string
	compared [maxTraceCandidates]TraceCandidate
	// candidateCount is the number of valid elements in compared.
	candidateCount int
}

// traceRing is a ring buffer of the latest steps of all calls.
type traceRing struct {
	steps []traceStep
	// next is the index of the oldest step once the ring is full, and zero before.
	next int
	// compared holds the candidates of the choice in progress.
	compared [maxTraceCandidates]TraceCandidate
	// candidateCount is the number of valid elements in compared.
	candidateCount int
}

// clearCandidates clears the candidates of the previous choice.
func (t *traceRing) clearCandidates() { t.candidateCount = 0 }

// addCandidate records a candidate of the choice in progress; those beyond maxTraceCandidates
// are dropped.
func (t *traceRing) addCandidate(p *peer, score time.Duration, load float64) {
	if t.candidateCount == maxTraceCandidates {
		return
	}
	t.compared[t.candidateCount] = TraceCandidate{Address: p.member.spec.Address, Score: score, Load: load}
	t.candidateCount++
}

// nextStep returns the step to write next: a new one, or the oldest once the ring is full.
func (t *traceRing) nextStep() *traceStep {
	if len(t.steps) < maxTraceSteps {
		t.steps = append(t.steps, traceStep{})
		return &t.steps[len(t.steps)-1]
	}
	step := &t.steps[t.next]
	t.next = (t.next + 1) % maxTraceSteps
	return step
}

// add records a step of the call and returns it. The peer may be nil.
func (t *traceRing) add(now time.Time, c *call, p *peer, kind TraceKind) *traceStep {
	step := t.nextStep()
	step.at = now
	step.call = c.id
	step.key = c.key
	step.service = c.service
	step.kind = kind
	step.target = ""
	step.detail = ""
	step.attempt = ""
	step.candidateCount = 0
	if c.attempt != nil {
		step.attempt = c.attempt.id
	}
	if p != nil {
		step.target = p.member.spec.Address
	}
	if kind == TraceChosen {
		step.candidateCount = t.candidateCount
		step.compared = t.compared
	}
	return step
}

func (t *traceRing) addRefusal(now time.Time, c *call, p *peer, reason RefusalReason) {
	t.add(now, c, p, TraceRefused).detail = string(reason)
}

func (t *traceRing) addSettled(now time.Time, c *call, p *peer, outcome Outcome) {
	t.add(now, c, p, TraceSettled).detail = string(outcome)
}

func (t *traceRing) addForwarded(now time.Time, c *call, home NodeID) {
	t.add(now, c, nil, TraceForwarded).target = home.Address()
}

func (t *traceRing) addRejected(now time.Time, c *call, outcome Outcome, problem ProblemKind) {
	t.add(now, c, nil, TraceRejected).detail = string(outcome) + ": " + string(problem)
}

// entry returns a copy of the step as a TraceEntry.
func (s *traceStep) entry() TraceEntry {
	e := TraceEntry{
		At: s.at, Call: s.call, Attempt: s.attempt, Key: s.key, Service: s.service,
		Kind: s.kind, Target: s.target, Detail: s.detail,
	}
	e.Candidates = append(e.Candidates, s.compared[:s.candidateCount]...)
	return e
}

// Explain returns the recorded steps, oldest first, of the calls with an idempotency key
// or an attempt ID equal to name.
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
