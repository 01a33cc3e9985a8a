package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/integrii/flaggy"

	"github.com/tanagerline/tanagerline/internal/decision/reducer"
)

// statusCommand shows what a node knows of its members and its plan.
type statusCommand struct {
	sub   *flaggy.Subcommand
	flags operatorFlags
	json  bool
}

func (c *statusCommand) attach() *flaggy.Subcommand {
	c.sub = flaggy.NewSubcommand("status")
	c.sub.Description = "Show what a node knows of its members and its plan."
	c.flags.attach(c.sub)
	c.sub.Bool(&c.json, "j", "json", "Print JSON.")
	return c.sub
}

func (c *statusCommand) used() bool { return c.sub.Used }

func (c *statusCommand) run(ctx context.Context, stdout, _ io.Writer) error {
	client, err := c.flags.connect()
	if err != nil {
		return err
	}
	status, err := client.status(ctx, c.flags.node)
	if err != nil {
		return err
	}
	if c.json {
		encoder := json.NewEncoder(stdout)
		encoder.SetIndent("", "  ")
		return encoder.Encode(status)
	}
	return writeStatus(stdout, status)
}

func writeStatus(w io.Writer, s reducer.Status) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(table, "node\t%s\tregion %s\tzone %s\n", s.Self.Address, s.Self.Region, s.Self.Zone)
	_, _ = fmt.Fprintf(table, "plan\t%s\toffset %d\tlog read up to %d\n", s.PlanID, s.PlanOffset, s.LogNext)
	_, _ = fmt.Fprintf(table, "guard\t%d running\t%d queued\t%d keys remembered\n", s.Running, s.Queued, s.Keys)
	for _, r := range s.Rejected {
		_, _ = fmt.Fprintf(table, "rejected\t%s by %s\toffset %d\t%s\n", r.PlanID, r.Operator, r.Offset, r.Reason)
	}
	_, _ = fmt.Fprintln(table)
	_, _ = fmt.Fprintln(table, "MEMBER\tSERVICE\tUPSTREAM\tREGION\tZONE\tSLOTS\tLOAD\tSERVICE TIME\tSTATE")
	for _, m := range s.Members {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%d\t%.1f\t%v\t%s\n", m.Address, m.Service, m.Upstream,
			m.Region, m.Zone, m.Slots, m.Load, m.ServiceTime.Round(10*time.Microsecond), stateOf(m))
	}
	return table.Flush()
}

func stateOf(m reducer.MemberStatus) string {
	switch {
	case m.Leaving:
		return "leaving"
	case m.Ejected:
		return "ejected"
	case !m.Usable:
		return "avoided"
	default:
		return "in use"
	}
}
