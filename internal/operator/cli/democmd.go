package cli

import (
	"context"
	"io"

	"github.com/integrii/flaggy"

	"github.com/tanagerline/tanagerline/internal/operator/demo"
)

// demoCommand runs a small fleet in one process.
type demoCommand struct{ sub *flaggy.Subcommand }

func (c *demoCommand) attach() *flaggy.Subcommand {
	c.sub = flaggy.NewSubcommand("demo")
	c.sub.Description = "Run a log, three nodes and their upstreams in one process, and check what they did."
	return c.sub
}

func (c *demoCommand) used() bool { return c.sub.Used }

func (c *demoCommand) run(ctx context.Context, stdout, _ io.Writer) error {
	return demo.Run(ctx, stdout)
}
