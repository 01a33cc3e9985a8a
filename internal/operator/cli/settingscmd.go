package cli

import (
	"context"
	"fmt"
	"io"

	"github.com/integrii/flaggy"

	"github.com/tanagerline/tanagerline/internal/operator/settings"
)

// settingsCommand checks settings files.
type settingsCommand struct {
	sub   *flaggy.Subcommand
	check *flaggy.Subcommand
	file  string
}

func (c *settingsCommand) attach() *flaggy.Subcommand {
	c.sub = flaggy.NewSubcommand("settings")
	c.sub.Description = "Check a node's settings."
	c.check = flaggy.NewSubcommand("check")
	c.check.Description = "Report every problem of a settings file."
	c.check.AddPositionalValue(&c.file, "FILE", 1, true, "The settings file.")
	c.sub.AttachSubcommand(c.check, 1)
	return c.sub
}

func (c *settingsCommand) used() bool { return c.sub.Used }

func (c *settingsCommand) run(_ context.Context, stdout, _ io.Writer) error {
	if !c.check.Used {
		return UsageError{Remedy: "settings: use settings check FILE"}
	}
	loaded, err := settings.Load(c.file)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(stdout, "%s: no problems; region %s, zone %s, peers on %s\n",
		c.file, loaded.Region, loaded.Zone, loaded.Listen.Peers)
	return err
}
