package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

var started = time.Now()

// elapsed is the time since the program started.
func elapsed() time.Duration { return time.Since(started) }

// stamp returns the time since the program started in seconds.
func stamp() string { return fmt.Sprintf("%8.3f", elapsed().Seconds()) }

// recorder writes what was sent, answered and run.
type recorder struct {
	mu   sync.Mutex
	file *os.File
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{file: file}, nil
}

func (r *recorder) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%s %s\n", stamp(), fmt.Sprintf(format, args...))
}

// say writes a line to the record and to standard output.
func (r *recorder) say(format string, args ...any) {
	r.printf(format, args...)
	fmt.Printf("%s %s\n", stamp(), fmt.Sprintf(format, args...))
}
