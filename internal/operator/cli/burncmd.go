package cli

import (
	"context"
	"encoding/json"
	"io"
	"time"

	"github.com/integrii/flaggy"
	"github.com/samber/oops"

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
	c.sub.Description = "Report the service-level burn by service and kind over several windows."
	c.flags.attach(c.sub)
	c.sub.Bool(&c.json, "j", "json", "Print JSON.")
	c.sub.String(&c.plot, "p", "plot", "Write a picture to this PNG file.")
	return c.sub
}

func (c *burnCommand) used() bool { return c.sub.Used }

func (c *burnCommand) run(ctx context.Context, stdout, _ io.Writer) error {
	client, err := c.flags.connect()
	if err != nil {
		return err
	}
	resp, err := client.console(c.flags.node).Burn(ctx, &console.BurnRequest{})
	if err != nil {
		return oops.Wrapf(err, "ask node %s; check --node and that the node runs", c.flags.node)
	}
	rows := burnRows(resp)
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

func burnRows(resp *console.BurnResponse) []reducer.BurnRow {
	var rows []reducer.BurnRow
	for _, s := range resp.GetSeries() {
		row := reducer.BurnRow{Service: s.GetService(), Kind: s.GetKind()}
		for _, w := range s.GetWindows() {
			row.Windows = append(row.Windows, reducer.BurnWindow{
				Window: time.Duration(w.GetWindowSeconds()) * time.Second,
				Good:   w.GetGood(), Bad: w.GetBad(), Burn: w.GetBurn(),
			})
		}
		rows = append(rows, row)
	}
	return rows
}
