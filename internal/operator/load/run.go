package load

import (
	"bytes"
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/tanagerline/tanagerline/internal/decision/reducer"
	"github.com/tanagerline/tanagerline/internal/mesh/peer"
)

const (
	highestMicroseconds = int64(10 * time.Minute / time.Microsecond)
	histogramDigits     = 3
	maxOutstanding      = 20_000
	// resendAfter is the mean time from a call to its resend.
	resendAfter = 50 * time.Millisecond
	// patience is how much longer than the allowance a caller waits for an answer.
	patience = 2 * time.Second
)

// KindResult counts what came of the calls of one kind. Latencies run from when
// a call was due, so a late start counts.
type KindResult struct {
	Kind     string `json:"kind"`
	Calls    int    `json:"calls"`
	Answered int    `json:"answered"`
	OnTime   int    `json:"on_time"`
	NotRun   int    `json:"not_run"`
	Unknown  int    `json:"unknown"`
	Broken   int    `json:"broken"`
	Failed   int    `json:"failed"`
	Resends  int    `json:"resends"`
	// Differing counts resends whose answer was not the first one's.
	Differing int `json:"differing"`
	// Crest and Calm count the calls that were due in crests and well after them.
	Crest   PhaseResult   `json:"crest"`
	Calm    PhaseResult   `json:"calm"`
	P50     time.Duration `json:"p50"`
	P99     time.Duration `json:"p99"`
	P999    time.Duration `json:"p999"`
	Highest time.Duration `json:"highest"`

	histogram *hdrhistogram.Histogram
}

// PhaseResult counts the calls that were due in one phase of a swing.
type PhaseResult struct {
	Calls  int `json:"calls"`
	OnTime int `json:"on_time"`
}

// Result is what came of an experiment.
type Result struct {
	Duration time.Duration `json:"duration"`
	Seed     uint64        `json:"seed"`
	Kinds    []*KindResult `json:"kinds"`
	// Skipped counts calls that were not begun because too many were outstanding.
	Skipped int `json:"skipped"`
}

// Progress is told now and then while an experiment runs.
type Progress struct {
	Elapsed     time.Duration
	Begun       int
	Outstanding int
}

// runner is one run of an experiment.
type runner struct {
	experiment  *Experiment
	client      *http.Client
	random      *rand.Rand
	result      *Result
	mu          sync.Mutex
	outstanding int
	begun       int
	group       sync.WaitGroup
}

// Run offers the load and waits for its answers; progress may be nil.
func (e *Experiment) Run(ctx context.Context, progress func(Progress)) (*Result, error) {
	if err := e.Check(); err != nil {
		return nil, err
	}
	r := &runner{
		experiment: e, client: newClient(), random: rand.New(rand.NewPCG(e.Seed, e.Seed)),
		result: &Result{Duration: e.Duration, Seed: e.Seed},
	}
	for _, k := range e.Kinds {
		r.result.Kinds = append(r.result.Kinds, &KindResult{
			Kind: k.Label(), histogram: hdrhistogram.New(1, highestMicroseconds, histogramDigits),
		})
	}
	r.offer(ctx, progress)
	r.group.Wait()
	r.summarise()
	return r.result, nil
}

func newClient() *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			MaxIdleConns: 0, MaxIdleConnsPerHost: 4096, DisableCompression: true,
			IdleConnTimeout: time.Minute,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// offer begins calls at random intervals of the experiment's rate, whether or not
// earlier ones were answered.
func (r *runner) offer(ctx context.Context, progress func(Progress)) {
	start := time.Now()
	due := time.Duration(0)
	told := time.Duration(0)
	for {
		due += time.Duration(r.random.ExpFloat64() / r.experiment.rateAt(due) * float64(time.Second))
		if due >= r.experiment.Duration {
			return
		}
		if wait := due - time.Since(start); wait > 0 {
			time.Sleep(wait)
		}
		if ctx.Err() != nil {
			return
		}
		if progress != nil && due-told >= time.Second {
			told = due
			r.mu.Lock()
			progress(Progress{Elapsed: due, Begun: r.begun, Outstanding: r.outstanding})
			r.mu.Unlock()
		}
		r.begin(ctx, start.Add(due), r.experiment.phaseAt(due))
	}
}

func (r *runner) begin(ctx context.Context, due time.Time, phase phase) {
	index := r.pick()
	target := r.random.IntN(len(r.experiment.Targets))
	kind := r.experiment.Kinds[index]
	resend := r.random.Float64() < kind.ResendShare
	r.mu.Lock()
	full := r.outstanding >= maxOutstanding
	if full {
		r.result.Skipped++
	} else {
		r.outstanding++
		r.begun++
	}
	number := r.begun
	r.mu.Unlock()
	if full {
		return
	}
	r.group.Go(func() {
		r.call(ctx, index, number, target, due, resend, phase)
		r.mu.Lock()
		r.outstanding--
		r.mu.Unlock()
	})
}

// pick draws a kind of the mix.
func (r *runner) pick() int {
	total := 0.0
	for _, k := range r.experiment.Kinds {
		total += k.Weight
	}
	at := r.random.Float64() * total
	for i, k := range r.experiment.Kinds {
		at -= k.Weight
		if at < 0 {
			return i
		}
	}
	return len(r.experiment.Kinds) - 1
}

// answer is what a caller got for one send of a call.
type answer struct {
	status  int
	outcome reducer.Outcome
	digest  [sha256.Size]byte
	latency time.Duration
	broken  bool
}

func (a answer) ran() bool {
	return !a.broken && a.outcome == reducer.OutcomeRan && a.status < http.StatusInternalServerError
}

func (r *runner) call(ctx context.Context, index, number, target int, due time.Time, resend bool, phase phase) {
	kind := r.experiment.Kinds[index]
	key := ""
	if resend {
		key = fmt.Sprintf("load-%d-%d-%d", r.experiment.Seed, due.UnixNano(), number)
	}
	var again answer
	var second sync.WaitGroup
	if resend {
		second.Go(func() {
			time.Sleep(time.Duration(rand.ExpFloat64() * float64(resendAfter)))
			other := (target + 1) % len(r.experiment.Targets)
			again = r.send(ctx, kind, key, number, other, time.Now())
		})
	}
	first := r.send(ctx, kind, key, number, target, due)
	second.Wait()
	r.record(index, first, resend, again, phase)
}

func (r *runner) send(ctx context.Context, kind Kind, key string, number, target int, due time.Time) answer {
	ctx, cancel := context.WithTimeout(ctx, kind.Allowance+patience)
	defer cancel()
	path := strings.ReplaceAll(kind.Path, "@N", fmt.Sprint(number))
	var body io.Reader
	if kind.BodyBytes > 0 {
		body = io.LimitReader(letters{}, kind.BodyBytes)
	}
	req, err := http.NewRequestWithContext(ctx, kind.Method, "http://"+r.experiment.Targets[target]+path, body)
	if err != nil {
		return answer{broken: true}
	}
	if kind.BodyBytes > 0 {
		req.ContentLength = kind.BodyBytes
	}
	req.Header.Set(peer.HeaderKind, kind.Name)
	req.Header.Set(peer.HeaderTimeout, kind.Allowance.String())
	if key != "" {
		req.Header.Set(peer.HeaderIdempotencyKey, key)
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return answer{broken: true, latency: time.Since(due)}
	}
	defer func() { _ = resp.Body.Close() }()
	digest := sha256.New()
	_, err = io.Copy(digest, resp.Body)
	a := answer{
		status: resp.StatusCode, latency: time.Since(due), broken: err != nil,
		outcome: reducer.Outcome(resp.Header.Get(peer.HeaderOutcome)),
	}
	digest.Sum(a.digest[:0])
	return a
}

func (r *runner) record(index int, first answer, resent bool, again answer, phase phase) {
	r.mu.Lock()
	defer r.mu.Unlock()
	k := r.result.Kinds[index]
	k.Calls++
	onTime := first.ran() && first.latency <= r.experiment.Kinds[index].Allowance
	k.countPhase(phase, onTime)
	if resent {
		k.Resends++
		if first.ran() && again.ran() && first.digest != again.digest {
			k.Differing++
		}
	}
	switch {
	case first.broken:
		k.Broken++
	case first.outcome == reducer.OutcomeNotRun:
		k.NotRun++
	case first.outcome == reducer.OutcomeUnknown:
		k.Unknown++
	case first.status >= http.StatusInternalServerError:
		k.Failed++
	default:
		k.Answered++
		if onTime {
			k.OnTime++
		}
		_ = k.histogram.RecordValue(min(first.latency.Microseconds(), highestMicroseconds))
	}
}

func (r *runner) summarise() {
	for _, k := range r.result.Kinds {
		k.P50 = k.quantile(50)
		k.P99 = k.quantile(99)
		k.P999 = k.quantile(99.9)
		k.Highest = k.quantile(100)
	}
}

func (k *KindResult) countPhase(phase phase, onTime bool) {
	var result *PhaseResult
	switch phase {
	case phaseCrest:
		result = &k.Crest
	case phaseCalm:
		result = &k.Calm
	default:
		return
	}
	result.Calls++
	if onTime {
		result.OnTime++
	}
}

func (k *KindResult) quantile(percent float64) time.Duration {
	return time.Duration(k.histogram.ValueAtQuantile(percent)) * time.Microsecond
}

// letters is an endless body of one letter.
type letters struct{}

var letterBlock = bytes.Repeat([]byte("x"), 32<<10)

// Read fills p.
func (letters) Read(p []byte) (int, error) {
	return copy(p, letterBlock), nil
}
