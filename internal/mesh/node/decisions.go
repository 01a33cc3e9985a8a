package node

import (
	"time"

	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"

	"github.com/tanagerline/tanagerline/internal/decision/reducer"
)

const (
	// linesPerSecond and lineBurst bound the log lines about requests: several times
	// what a node writes at its usual load.
	linesPerSecond = 300
	lineBurst      = 600
	// dropNotice is how often dropped lines are counted in the log.
	dropNotice = 5 * time.Second
	// sampleSize and sampleDecay are the usual choice for a histogram that follows the
	// last five minutes.
	sampleSize  = 1028
	sampleDecay = 0.015
)

// decisions tells operators what the reducer decided: a line for each decision, within
// a bound, and histograms of the times that calls and attempts take.
type decisions struct {
	logger   *log.Logger
	registry metrics.Registry

	lines    float64
	earnedAt time.Time
	dropped  int
	noticeAt time.Time
}

func newDecisions(logger *log.Logger) *decisions {
	return &decisions{logger: logger, registry: metrics.NewRegistry(), lines: lineBurst, earnedAt: time.Now(), noticeAt: time.Now()}
}

// tell takes one decision. The loop calls it for one event after another.
func (d *decisions) tell(decided reducer.Decision) {
	d.count(decided)
	if decided.TouchesRequest() && !d.mayWrite(time.Now()) {
		d.dropped++
		return
	}
	line := d.logger.Info().Str("event", string(decided.Kind))
	writeText(line, "request", decided.Request)
	writeText(line, "attempt", string(decided.Attempt))
	writeText(line, "service", decided.Service)
	writeText(line, "route", decided.Route)
	writeText(line, "tenant", decided.Tenant)
	writeText(line, "peer", decided.Peer)
	writeText(line, "instance", decided.Instance)
	writeText(line, "reason", decided.Reason)
	writeText(line, "basis", string(decided.Basis))
	if decided.BodySpent {
		line.Str("body", "spent")
	}
	if decided.RegionsLimited {
		line.Str("regions", "limited")
	}
	if decided.Cold {
		line.Str("upstream", "cold")
	}
	line = line.Int64("plan", decided.Plan).Float64("load", decided.Load)
	writeTime(line, "report_age", decided.ReportAge)
	writeTime(line, "expected", decided.Expected)
	writeTime(line, "remaining", decided.Remaining)
	writeTime(line, "took", decided.Took)
	if decided.Tries > 0 {
		line = line.Int("tries", decided.Tries)
	}
	if decided.Status > 0 {
		line = line.Int("status", decided.Status)
	}
	if decided.Skipped > 0 {
		line = line.Int("skipped", decided.Skipped)
	}
	line.Msgs()
}

func writeText(line *log.Entry, key, value string) {
	if value != "" {
		line.Str(key, value)
	}
}

func writeTime(line *log.Entry, key string, value time.Duration) {
	if value != 0 {
		line.Str(key, value.Round(10*time.Microsecond).String())
	}
}

// mayWrite spends one line, and says now and then how many were dropped.
func (d *decisions) mayWrite(now time.Time) bool {
	d.lines = min(lineBurst, d.lines+linesPerSecond*now.Sub(d.earnedAt).Seconds())
	d.earnedAt = now
	if d.dropped > 0 && now.Sub(d.noticeAt) > dropNotice {
		d.noticeAt = now
		d.logger.Warn().Str("event", "lines-dropped").Int("lines", d.dropped).Msgs()
		metrics.GetOrRegisterCounter("log.dropped", d.registry).Inc(int64(d.dropped))
		d.dropped = 0
	}
	if d.lines < 1 {
		return false
	}
	d.lines--
	return true
}

// count keeps the counters and the histograms.
func (d *decisions) count(decided reducer.Decision) {
	name := "decisions." + string(decided.Kind)
	if decided.Reason != "" && decided.TouchesRequest() {
		name += "." + decided.Reason
	}
	metrics.GetOrRegisterCounter(name, d.registry).Inc(1)
	if decided.RegionsLimited {
		metrics.GetOrRegisterCounter("regions.limited."+string(decided.Kind), d.registry).Inc(1)
	}
	if decided.Cold {
		metrics.GetOrRegisterCounter("cold."+name, d.registry).Inc(1)
	}
	switch decided.Kind {
	case reducer.DecisionCallAnswered, reducer.DecisionCallRejected:
		d.histogram("call.microseconds." + string(decided.Kind)).Update(decided.Took.Microseconds())
		if decided.AnsweredBy != "" {
			d.histogram("call.microseconds.answered-by-" + decided.AnsweredBy).Update(decided.Took.Microseconds())
		}
	case reducer.DecisionWorkStarted:
		d.histogram("work.wait.microseconds").Update(decided.Took.Microseconds())
	case reducer.DecisionWorkEnded:
		d.histogram("work.microseconds").Update(decided.Took.Microseconds())
	}
}

// histogram returns a histogram; only the first use of its name makes the sample.
func (d *decisions) histogram(name string) metrics.Histogram {
	if known, ok := d.registry.Get(name).(metrics.Histogram); ok {
		return known
	}
	return metrics.GetOrRegisterHistogram(name, d.registry, metrics.NewExpDecaySample(sampleSize, sampleDecay))
}
