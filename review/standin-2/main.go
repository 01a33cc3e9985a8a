// Command standin2 plays the cases of the second review: it starts the project's nodes as processes, and
// stand-ins for the store, the servers and the clients.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// limit is how long a case may take at most.
const limit = 115 * time.Second

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// verdict is the result of a case: the lines that say what was seen, and whether the rule was broken.
type verdict struct {
	broken bool
	lines  []string
}

var cases = map[string]func(f *fleet, trouble bool) (verdict, error){
	"quota":   playQuota,
	"leaving": playLeaving,
	"stop":    playStop,
	"poison":  playPoison,
	"queries": playPoisonWithQueries,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

func play(run func(f *fleet, trouble bool) (verdict, error), folder string, trouble bool) int {
	rec := newRecorder()
	f, err := newFleet(rec)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer f.close()
	// Whatever happens, no process stays behind.
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	go func() {
		select {
		case <-stop:
		case <-time.After(limit):
		}
		f.close()
		os.Exit(exitNotRun)
	}()
	v, err := run(f, trouble)
	if err != nil {
		rec.add("case", "could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		_ = rec.write(filepath.Join(folder, "record.txt"))
		return exitNotRun
	}
	for _, line := range v.lines {
		rec.add("check", "%s", line)
		fmt.Println(line)
	}
	if err := rec.write(filepath.Join(folder, "record.txt")); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	if v.broken {
		return exitBroken
	}
	return exitHeld
}
