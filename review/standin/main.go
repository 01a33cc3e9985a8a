// Command standin plays one case of the review: it starts the project's program as
// separate processes, and stands in for the platform's store, the servers, the clients
// and the links. It has no dependency beside the standard library.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases holds each case by the name that its run.sh gives.
var cases = map[string]func(*fleet) (broken bool, err error){
	"reset-resend":    playResetResend,
	"lossy-links":     playLossy,
	"late-heartbeat":  playLateHeartbeat,
	"early-rejection": playEarlyRejection,
}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE ROOT RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Args[3]))
}

// play runs a case and returns the exit code. root is the project's root, recordFile the
// file that gets a line for everything that was sent, answered and run.
func play(name, root, recordFile string) int {
	body := cases[name]
	if body == nil {
		fmt.Fprintf(os.Stderr, "standin: no case %q\n", name)
		return exitNotRun
	}
	log, err := newRecord(recordFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		return exitNotRun
	}
	defer log.close()
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		return exitNotRun
	}
	defer func() { _ = os.RemoveAll(folder) }()
	f := &fleet{
		program: filepath.Join(root, "target", "tanagerline"), template: filepath.Join(root, "deploy", "node.ini.tmpl"),
		root: root, folder: folder, log: log, trouble: os.Getenv("TROUBLE") != "0",
	}
	defer f.end()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-stopped
		f.end()
		os.Exit(exitNotRun)
	}()
	log.printf("case %s trouble=%t", name, f.trouble)
	broken, err := body(f)
	switch {
	case err != nil:
		log.printf("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "standin:", err)
		return exitNotRun
	case broken:
		log.printf("verdict: the rule was broken")
		return exitBroken
	default:
		log.printf("verdict: the rule held")
		return exitHeld
	}
}
