package cli

import (
	"bytes"
	"context"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/integrii/flaggy"
	"github.com/phuslu/log"

	"github.com/tanagerline/tanagerline/internal/mesh/node"
	"github.com/tanagerline/tanagerline/internal/operator/settings"
)

// nodeCommand runs the process beside an upstream.
type nodeCommand struct {
	sub    *flaggy.Subcommand
	config string
	// overrides replace settings of the file, each as section.key=value.
	overrides []string
	// adapter makes the adapter for a node's platform.
	adapter AdapterFactory
}

// collectAtPercent is how much the heap may grow before it is collected, in percent of what was
// live: a node allocates little, and its VM's memory belongs to the upstream.
const collectAtPercent = 50

// settingsVariable names the settings file where the command line doesn't.
const settingsVariable = "TANAGERLINE_CONFIG"

func (c *nodeCommand) attach() *flaggy.Subcommand {
	c.sub = flaggy.NewSubcommand("node")
	c.sub.Description = "Run the process beside an upstream; SIGTERM stops it gracefully."
	c.sub.String(&c.config, "c", "config", "The settings file.")
	c.sub.StringSlice(&c.overrides, "s", "set", "A setting that replaces the file's, as section.key=value; may be repeated.")
	return c.sub
}

func (c *nodeCommand) used() bool { return c.sub.Used }

func (c *nodeCommand) run(ctx context.Context, stdout, _ io.Writer) error {
	if c.config == "" {
		c.config = os.Getenv(settingsVariable)
	}
	if c.config == "" {
		return UsageError{Remedy: "node: name the settings file with --config FILE, or in " + settingsVariable + ""}
	}
	loaded, err := settings.LoadWith(c.config, c.overrides)
	if err != nil {
		return err
	}
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(collectAtPercent)
	}
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)
	n := &node.Node{Settings: loaded, SettingsFile: c.config, SettingsOverrides: c.overrides, Reload: reload, Logger: newLogger(stdout)}
	if loaded.Adapter {
		n.Adapter = c.adapter(loaded)
	}
	err = n.Run(ctx)
	if closer, ok := n.Logger.Writer.(io.Closer); ok {
		// The last lines are written before the process ends.
		_ = closer.Close()
	}
	return err
}

// logQueue is how many lines wait for a slow reader of the log before lines are dropped.
const logQueue = 4096

// newLogger returns a logger that writes one key=value line for each event without
// waiting for its reader.
func newLogger(w io.Writer) *log.Logger {
	return &log.Logger{
		Level:      log.InfoLevel,
		TimeFormat: "2006-01-02T15:04:05.000Z07:00",
		Writer: &logWriter{Writer: &log.AsyncWriter{
			ChannelSize: logQueue, DiscardOnFull: true,
			Writer: &log.ConsoleWriter{Writer: w, Formatter: formatEvent},
		}},
	}
}

// formatEvent writes an event's pairs without the library's empty message at the end.
func formatEvent(w io.Writer, args *log.FormatterArgs) (int, error) {
	var line bytes.Buffer
	if _, err := (log.LogfmtFormatter{TimeField: "time"}).Formatter(&line, args); err != nil {
		return 0, err
	}
	text := bytes.TrimSuffix(bytes.TrimRight(line.Bytes(), "\n"), []byte(` ""`))
	return w.Write(append(text, '\n'))
}
