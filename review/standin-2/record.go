package main

import (
	"fmt"
	"os"
	"sort"
	"sync"
	"time"
)

// recorder collects what was sent, answered and run, for record.txt.
type recorder struct {
	begun time.Time
	mu    sync.Mutex
	lines []recordLine
}

type recordLine struct {
	at   time.Duration
	text string
}

func newRecorder() *recorder { return &recorder{begun: time.Now()} }

func (r *recorder) now() time.Duration { return time.Since(r.begun) }

// add adds a line with the present time.
func (r *recorder) add(who, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, recordLine{r.now(), who + ": " + fmt.Sprintf(format, args...)})
}

// write writes all lines in order of time.
func (r *recorder) write(path string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	sort.SliceStable(r.lines, func(i, j int) bool { return r.lines[i].at < r.lines[j].at })
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	for _, l := range r.lines {
		if _, err := fmt.Fprintf(f, "%9.4f %s\n", l.at.Seconds(), l.text); err != nil {
			return err
		}
	}
	return f.Close()
}

// lineAt adds a line with a time that has passed.
func (r *recorder) lineAt(at time.Duration, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, recordLine{at, fmt.Sprintf(format, args...)})
}
