package reducer

import (
	"cmp"
	"errors"
	"strconv"
	"strings"
	"time"
)

// LoadReport holds a guard's load, which is sent with every answer.
type LoadReport struct {
	// short and long count the attempts that run or wait.
	short int
	long  int
	slots int
	// serviceTime is the usual service time; zero means unknown.
	serviceTime time.Duration
	// waited is how long the answered attempt was queued.
	waited     time.Duration
	planOffset int64
	// pace is the current service time in percent of the usual; zero means unknown.
	pace int
	// failures is the recent share of attempts that failed, in percent.
	failures int
}

const loadReportFields = 8

var errLoadReport = errors.New("load report needs eight comma-separated whole numbers that are not negative")

// NewLoadReport returns a report for a guard with the given counts of short and long
// attempts, running or queued, and the given service time of short work. planOffset is
// the log offset of the plan in force.
func NewLoadReport(short, long, slots int, serviceTime time.Duration, planOffset int64) LoadReport {
	return LoadReport{short: short, long: long, slots: slots, serviceTime: serviceTime, planOffset: planOffset}
}

// ParseLoadReport parses the form that String returns. The error describes the expected
// form.
func ParseLoadReport(text string) (LoadReport, error) {
	var values [loadReportFields]int64
	rest := text
	for i := range values {
		field, after, found := strings.Cut(rest, ",")
		if found != (i < loadReportFields-1) {
			return LoadReport{}, errLoadReport
		}
		value, err := strconv.ParseInt(field, 10, 64)
		if err != nil || value < 0 {
			return LoadReport{}, errLoadReport
		}
		values[i] = value
		rest = after
	}
	return LoadReport{
		short: int(values[0]), long: int(values[1]), slots: int(values[2]),
		serviceTime: time.Duration(values[3]) * time.Microsecond,
		waited:      time.Duration(values[4]) * time.Microsecond, planOffset: values[5],
		pace: int(values[6]), failures: int(values[7]),
	}, nil
}

// IsZero reports whether the report is unset.
func (l LoadReport) IsZero() bool { return l == LoadReport{} }

// PlanOffset returns the log offset of the plan in force at the guard.
func (l LoadReport) PlanOffset() int64 { return l.planOffset }

// WithWait returns a copy of the report for an attempt that waited in the guard's queue
// for the given time; a negative time counts as zero.
func (l LoadReport) WithWait(waited time.Duration) LoadReport {
	l.waited = max(0, waited)
	return l
}

// String returns the header form of the report: comma-separated whole numbers, with
// times in microseconds.
func (l LoadReport) String() string {
	b := make([]byte, 0, 48)
	b = strconv.AppendInt(b, int64(l.short), 10)
	b = append(b, ',')
	b = strconv.AppendInt(b, int64(l.long), 10)
	b = append(b, ',')
	b = strconv.AppendInt(b, int64(l.slots), 10)
	b = append(b, ',')
	b = strconv.AppendInt(b, l.serviceTime.Microseconds(), 10)
	b = append(b, ',')
	b = strconv.AppendInt(b, l.waited.Microseconds(), 10)
	b = append(b, ',')
	b = strconv.AppendInt(b, l.planOffset, 10)
	b = append(b, ',')
	b = strconv.AppendInt(b, int64(l.pace), 10)
	b = append(b, ',')
	b = strconv.AppendInt(b, int64(l.failures), 10)
	return string(b)
}

// loadReport returns the guard's current load. Its service time is the mean of attempts with
// an objective if there were any, otherwise that of short work. While the upstream is cold, its
// slots are those that the rate can keep busy.
func (r *Reducer) loadReport() LoadReport {
	g := &r.guard
	short := g.running - g.runningLong + len(g.short.works) + g.admission.waiting()
	long := g.runningLong + len(g.long.works)
	report := NewLoadReport(short, long, g.slots, g.shortTime, r.planInForce.offset)
	if g.admission.meanTime > 0 {
		report.serviceTime = g.admission.meanTime
	}
	report.slots = g.cold.Slots(g.slots, cmp.Or(report.serviceTime, defaultServiceTime), r.now)
	report.pace = g.admission.currentPace(r.now)
	report.failures = int(100 * g.admission.failureShare(r.now))
	return report
}

// LoadReport returns the guard's current load, which is sent with every answer.
func (r *Reducer) LoadReport() LoadReport { return r.loadReport() }
