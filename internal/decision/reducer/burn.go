package reducer

import (
	"cmp"
	"slices"
	"time"
)

// The series keep an hour, the longest of BurnWindows, in buckets of ten seconds.
const (
	burnBucketLength = 10 * time.Second
	burnBuckets      = 360
)

// burnSeries is a ring of time buckets that count one kind's good and bad calls.
type burnSeries struct {
	service string
	kind    string
	buckets [burnBuckets]burnCount
}

// burnCount holds the calls of one bucket, which is numbered from the Unix epoch.
type burnCount struct {
	number int64
	good   uint32
	bad    uint32
}

// burnTable holds the series of every kind, by service and kind name.
type burnTable struct {
	seriesByKind map[string]*burnSeries
}

func (b *burnTable) init() { b.seriesByKind = map[string]*burnSeries{} }

// series returns the series of a kind and creates it if needed. Series are kept when a new
// plan takes effect.
func (b *burnTable) series(service, kind string) *burnSeries {
	key := service + "\x00" + kind
	s := b.seriesByKind[key]
	if s == nil {
		s = &burnSeries{service: service, kind: kind}
		b.seriesByKind[key] = s
	}
	return s
}

// addCall adds a call to the bucket of the current time.
func (s *burnSeries) addCall(now time.Time, good bool) {
	number := now.UnixNano() / int64(burnBucketLength)
	c := &s.buckets[number%burnBuckets]
	if c.number != number {
		*c = burnCount{number: number}
	}
	if good {
		c.good++
	} else {
		c.bad++
	}
}

// sum returns the good and bad calls in the buckets of the window that ends now.
func (s *burnSeries) sum(now time.Time, window time.Duration) (good, bad uint64) {
	last := now.UnixNano() / int64(burnBucketLength)
	first := last - int64(window/burnBucketLength) + 1
	for _, c := range s.buckets {
		if c.number >= first && c.number <= last {
			good += uint64(c.good)
			bad += uint64(c.bad)
		}
	}
	return good, bad
}

// BurnWindow holds a kind's calls and its burn rate within one window.
type BurnWindow struct {
	Window time.Duration `json:"window"`
	Good   uint64        `json:"good"`
	Bad    uint64        `json:"bad"`
	// Burn is the rate at which the error budget is spent; a rate of one spends it exactly by
	// the end of the objective's period.
	Burn float64 `json:"burn"`
}

// BurnRow holds the burn rates of one kind, one for each of BurnWindows.
type BurnRow struct {
	Service string       `json:"service"`
	Kind    string       `json:"kind"`
	Windows []BurnWindow `json:"windows"`
}

// BurnWindows returns the lengths of the windows in the burn report, shortest first.
func BurnWindows() []time.Duration {
	return []time.Duration{time.Minute, 5 * time.Minute, 30 * time.Minute, time.Hour}
}

// Burn returns the burn rates of every kind that was called in the last hour, sorted by
// service and kind.
func (r *Reducer) Burn() []BurnRow {
	var rows []BurnRow
	for _, s := range r.burn.seriesByKind {
		row := BurnRow{Service: s.service, Kind: s.kind}
		var calls uint64
		for _, window := range BurnWindows() {
			good, bad := s.sum(r.now, window)
			calls = good + bad
			row.Windows = append(row.Windows, BurnWindow{
				Window: window, Good: good, Bad: bad, Burn: burnRate(good, bad, r.Settings.Objective),
			})
		}
		if calls > 0 {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b BurnRow) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Kind, b.Kind))
	})
	return rows
}

// burnRate returns the share of bad calls divided by the share that the objective allows. It
// returns zero without calls, and for an objective that allows none.
func burnRate(good, bad uint64, objective float64) float64 {
	if good+bad == 0 || objective >= 1 {
		return 0
	}
	return float64(bad) / float64(good+bad) / (1 - objective)
}
