package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"sync"

	"github.com/integrii/flaggy"

	"github.com/tanagerline/tanagerline/internal/decision/reducer"
	"github.com/tanagerline/tanagerline/internal/operator/console"
	"github.com/tanagerline/tanagerline/internal/operator/report"
)

// burnCommand reports the service-level burn by service and kind.
type burnCommand struct {
	sub   *flaggy.Subcommand
	flags operatorFlags
	json  bool
	plot  string
}

func (c *burnCommand) attach() *flaggy.Subcommand {
	c.sub = flaggy.NewSubcommand("burn")
	c.sub.Description = "Report the service-level burn of all nodes by service and kind."
	c.flags.attach(c.sub)
	c.sub.Bool(&c.json, "j", "json", "Print JSON.")
	c.sub.String(&c.plot, "p", "plot", "Write a picture to this PNG file.")
	return c.sub
}

func (c *burnCommand) used() bool { return c.sub.Used }

func (c *burnCommand) run(ctx context.Context, stdout, stderr io.Writer) error {
	client, err := c.flags.connect()
	if err != nil {
		return err
	}
	rows, silent, err := client.burn(ctx, c.flags.node)
	if err != nil {
		return err
	}
	for _, address := range silent {
		_, _ = fmt.Fprintf(stderr, "node %s does not answer; its calls are not counted\n", address)
	}
	if c.plot != "" {
		if err := report.PlotBurn(c.plot, rows); err != nil {
			return err
		}
	}
	if c.json {
		encoder := json.NewEncoder(stdout)
		encoder.SetIndent("", "  ")
		return encoder.Encode(rows)
	}
	return report.WriteBurn(stdout, rows)
}

// burn adds up the burn of every member that the node at address knows, and
// returns the members that do not answer.
func (o *operators) burn(ctx context.Context, address string) ([]reducer.BurnRow, []string, error) {
	status, err := o.status(ctx, address)
	if err != nil {
		return nil, nil, err
	}
	var mu sync.Mutex
	var rows [][]reducer.BurnRow
	var silent []string
	eachMember(status.Members, func(_ int, m reducer.MemberSpec) {
		resp, err := o.console(m.Operators).Burn(ctx, &console.BurnRequest{})
		mu.Lock()
		defer mu.Unlock()
		if err != nil {
			silent = append(silent, m.Address)
			return
		}
		rows = append(rows, console.BurnRows(resp))
	})
	return report.MergeBurn(rows), silent, nil
}
