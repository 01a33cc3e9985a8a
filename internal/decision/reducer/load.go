package reducer

import (
	"errors"
	"strconv"
	"strings"
	"time"
)

// LoadReport is what a guard tells about its load with every answer.
type LoadReport struct {
	running     int
	queued      int
	slots       int
	serviceTime time.Duration
	planOffset  int64
}

const loadReportFields = 5

var errLoadReport = errors.New("load report needs five comma-separated whole numbers that are not negative")

// NewLoadReport returns the load of a guard whose short work takes serviceTime.
func NewLoadReport(running, queued, slots int, serviceTime time.Duration, planOffset int64) LoadReport {
	return LoadReport{running: running, queued: queued, slots: slots, serviceTime: serviceTime, planOffset: planOffset}
}

// ParseLoadReport returns the report that String wrote, or an error that names
// the form it needs.
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
		running: int(values[0]), queued: int(values[1]), slots: int(values[2]),
		serviceTime: time.Duration(values[3]) * time.Microsecond, planOffset: values[4],
	}, nil
}

// IsZero reports whether the report is unset.
func (l LoadReport) IsZero() bool { return l == LoadReport{} }

// PlanOffset returns the offset of the plan in force at the guard.
func (l LoadReport) PlanOffset() int64 { return l.planOffset }

// String returns the report's text form for a header.
func (l LoadReport) String() string {
	b := make([]byte, 0, 48)
	b = strconv.AppendInt(b, int64(l.running), 10)
	b = append(b, ',')
	b = strconv.AppendInt(b, int64(l.queued), 10)
	b = append(b, ',')
	b = strconv.AppendInt(b, int64(l.slots), 10)
	b = append(b, ',')
	b = strconv.AppendInt(b, l.serviceTime.Microseconds(), 10)
	b = append(b, ',')
	b = strconv.AppendInt(b, l.planOffset, 10)
	return string(b)
}
