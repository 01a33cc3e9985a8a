package cli

import (
	"context"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/integrii/flaggy"
	"github.com/samber/oops"

	"github.com/tanagerline/tanagerline/internal/operator/console"
)

// explainCommand tells why a call went where it did.
type explainCommand struct {
	sub   *flaggy.Subcommand
	flags operatorFlags
	name  string
}

func (c *explainCommand) attach() *flaggy.Subcommand {
	c.sub = flaggy.NewSubcommand("explain")
	c.sub.Description = "Tell why a call went where it did: its choices, refusals and retries."
	c.flags.attach(c.sub)
	c.sub.AddPositionalValue(&c.name, "KEY|ATTEMPT", 1, true, "The call's key or the ID of one of its attempts.")
	return c.sub
}

func (c *explainCommand) used() bool { return c.sub.Used }

func (c *explainCommand) run(ctx context.Context, stdout, _ io.Writer) error {
	client, err := c.flags.connect()
	if err != nil {
		return err
	}
	_, answers, err := client.all(ctx, c.flags.node)
	if err != nil {
		return err
	}
	found := false
	for _, a := range answers {
		if a.err != nil {
			continue
		}
		resp, err := client.console(a.member.Operators).Explain(ctx, &console.ExplainRequest{Name: c.name})
		if err != nil || len(resp.GetSteps()) == 0 {
			continue
		}
		found = true
		if err := writeSteps(stdout, a.member.Address, resp.GetSteps()); err != nil {
			return err
		}
	}
	if !found {
		return oops.Errorf("%s: no node remembers such a call; each keeps only its last few thousand steps", c.name)
	}
	return nil
}

func writeSteps(w io.Writer, address string, steps []*console.Step) error {
	_, _ = fmt.Fprintf(w, "at node %s\n", address)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, s := range steps {
		at := time.Unix(0, s.GetAtUnixNanoseconds()).UTC().Format("15:04:05.000")
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\n", at, s.GetKind(), s.GetTarget(), s.GetAttempt(), s.GetDetail())
		candidates := slices.Clone(s.GetCandidates())
		for _, c := range candidates {
			_, _ = fmt.Fprintf(table, "\tcompared\t%s\texpected in %v\tload %.1f\n",
				c.GetAddress(), time.Duration(c.GetScoreNanoseconds()).Round(time.Microsecond), c.GetLoad())
		}
	}
	return table.Flush()
}
