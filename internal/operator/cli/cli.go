package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"
)

// The exit codes of every command.
const (
	exitDone   = 0
	exitFailed = 1
	exitUsage  = 2
)

// UsageError is a call of a command that can't be understood.
type UsageError struct{ Remedy string }

// Error names the remedy.
func (e UsageError) Error() string { return e.Remedy }

// command is one command of the program.
type command interface {
	// attach declares the command's flags.
	attach() *flaggy.Subcommand
	// used reports whether the command was called.
	used() bool
	// run carries the command out.
	run(ctx context.Context, stdout, stderr io.Writer) error
}

func commands(platform Platform) []command {
	return []command{
		&burnCommand{},
		&configCommand{read: platform.Configuration, fieldName: platform.ConfigurationField},
		&demoCommand{},
		&explainCommand{},
		&loadCommand{},
		&nodeCommand{adapter: platform.Adapter},
		&settingsCommand{},
		&sheetCommand{},
		&statusCommand{},
	}
}

// Main runs the command that args name, with the parts for the platform, and returns its exit code.
func Main(args []string, stdout, stderr io.Writer, platform Platform) int {
	parser := flaggy.NewParser("tanagerline")
	parser.Description = "A load balancer for servers whose load shifts in milliseconds."
	parser.ShowHelpOnUnexpected = true
	parser.DisableShowVersionWithVersion()
	list := commands(platform)
	for _, c := range list {
		parser.AttachSubcommand(c.attach(), 1)
	}
	if err := parser.ParseArgs(args); err != nil {
		_, _ = fmt.Fprintf(stderr, "tanagerline: %v; see tanagerline --help\n", err)
		return exitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	for _, c := range list {
		if c.used() {
			return exitCode(c.run(ctx, stdout, stderr), stderr)
		}
	}
	parser.ShowHelp()
	return exitUsage
}

func exitCode(err error, stderr io.Writer) int {
	if err == nil {
		return exitDone
	}
	_, _ = fmt.Fprintf(stderr, "tanagerline: %v\n", err)
	var usage UsageError
	if errors.As(err, &usage) {
		return exitUsage
	}
	return exitFailed
}
