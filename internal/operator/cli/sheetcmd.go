package cli

import (
	"context"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"time"

	"github.com/google/uuid"
	"github.com/integrii/flaggy"
	"github.com/samber/oops"

	"github.com/tanagerline/tanagerline/internal/decision/reducer"
	"github.com/tanagerline/tanagerline/internal/operator/sheet"
	"github.com/tanagerline/tanagerline/internal/store/stream"
)

const (
	publishPoll = 200 * time.Millisecond
	publishWait = 30 * time.Second
	noBase      = -1
)

// sheetCommand checks and publishes the morning sheet.
type sheetCommand struct {
	sub     *flaggy.Subcommand
	check   *flaggy.Subcommand
	publish *flaggy.Subcommand
	status  *flaggy.Subcommand

	file     string
	flags    operatorFlags
	log      string
	base     int64
	operator string
	wait     time.Duration
}

func (c *sheetCommand) attach() *flaggy.Subcommand {
	c.base = noBase
	c.wait = publishWait
	c.sub = flaggy.NewSubcommand("sheet")
	c.sub.Description = "Check and publish the morning sheet."
	c.check = flaggy.NewSubcommand("check")
	c.check.Description = "Report every fault of a sheet with its row and column."
	c.check.AddPositionalValue(&c.file, "FILE", 1, true, "The sheet, as comma-separated values.")
	c.publish = flaggy.NewSubcommand("publish")
	c.publish.Description = "Publish a sheet and wait until it is in force in every region."
	c.publish.AddPositionalValue(&c.file, "FILE", 1, true, "The sheet, as comma-separated values.")
	c.flags.attach(c.publish)
	c.publish.String(&c.log, "l", "log", "The URL of the platform's log.")
	c.publish.Int64(&c.base, "b", "base", "The offset of the plan to replace; by default the one in force at the node.")
	c.publish.String(&c.operator, "o", "operator", "The name to record; by default the user's.")
	c.publish.Duration(&c.wait, "w", "wait", "How long to wait until the plan is in force everywhere.")
	c.status = flaggy.NewSubcommand("status")
	c.status.Description = "Show which plan is in force, region by region."
	c.flags.attach(c.status)
	c.sub.AttachSubcommand(c.check, 1)
	c.sub.AttachSubcommand(c.publish, 1)
	c.sub.AttachSubcommand(c.status, 1)
	return c.sub
}

func (c *sheetCommand) used() bool { return c.sub.Used }

func (c *sheetCommand) run(ctx context.Context, stdout, _ io.Writer) error {
	switch {
	case c.check.Used:
		services, err := c.parse()
		if err != nil {
			return err
		}
		_, err = fmt.Fprintf(stdout, "%s: no faults; %d services\n", c.file, len(services))
		return err
	case c.publish.Used:
		return c.runPublish(ctx, stdout)
	case c.status.Used:
		return c.runStatus(ctx, stdout)
	default:
		return UsageError{Remedy: "sheet: use sheet check FILE, sheet publish FILE or sheet status"}
	}
}

func (c *sheetCommand) parse() ([]reducer.ServicePlan, error) {
	data, err := os.ReadFile(c.file)
	if err != nil {
		return nil, oops.Wrapf(err, "sheet %s; name a file that this user can read", c.file)
	}
	services, err := sheet.Parse(data)
	if err != nil {
		return nil, fmt.Errorf("sheet %s: nothing was changed\n%w", c.file, err)
	}
	return services, nil
}

func (c *sheetCommand) runPublish(ctx context.Context, stdout io.Writer) error {
	services, err := c.parse()
	if err != nil {
		return err
	}
	if c.log == "" {
		return UsageError{Remedy: "sheet publish: name the platform's log with --log URL"}
	}
	client, err := c.flags.connect()
	if err != nil {
		return err
	}
	status, err := client.status(ctx, c.flags.node)
	if err != nil {
		return err
	}
	spec := reducer.PlanSpec{
		ID: "plan-" + uuid.NewString(), Base: status.PlanOffset, Operator: c.operatorName(), Services: services,
	}
	if c.base != noBase {
		spec.Base = c.base
	}
	ctx, cancel := context.WithTimeout(ctx, c.wait)
	defer cancel()
	appender := &stream.Appender{Log: stream.NewClient(c.log, nil)}
	offset, err := appender.Append(ctx, reducer.Record{ID: spec.ID, Plan: &spec}, status.LogNext)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(stdout, "recorded at offset %d, replacing the plan at offset %d\n", offset, spec.Base)
	return c.awaitForce(ctx, stdout, client, offset, spec)
}

func (c *sheetCommand) operatorName() string {
	if c.operator != "" {
		return c.operator
	}
	if user := os.Getenv("USER"); user != "" {
		return user
	}
	return "unnamed"
}

// awaitForce waits until every node in every region has the plan in force.
func (c *sheetCommand) awaitForce(
	ctx context.Context, stdout io.Writer, client *operators, offset int64, spec reducer.PlanSpec,
) error {
	var last []regionForce
	for {
		status, answers, err := client.all(ctx, c.flags.node)
		if err == nil {
			if reason, rejected := rejection(status, offset); rejected {
				return oops.Errorf("plan %s was rejected: %s", spec.ID, reason)
			}
			last = forceByRegion(answers, offset)
			if inForceEverywhere(last) {
				writeForce(stdout, last)
				_, err := fmt.Fprintf(stdout, "accepted: plan %s is in force in every region\n", spec.ID)
				return err
			}
		}
		select {
		case <-ctx.Done():
			writeForce(stdout, last)
			return oops.Errorf("plan %s is recorded at offset %d but not known to be in force everywhere; see sheet status", spec.ID, offset)
		case <-time.After(publishPoll):
		}
	}
}

// rejection returns why the plan at offset was rejected, if it was: every node that
// has read so far agrees.
func rejection(status reducer.Status, offset int64) (string, bool) {
	for _, r := range status.Rejected {
		if r.Offset == offset {
			return r.Reason, true
		}
	}
	return "", false
}

// regionForce tells where in a region a plan is in force.
type regionForce struct {
	region  string
	nodes   int
	missing []string
}

func forceByRegion(answers []nodeAnswer, offset int64) []regionForce {
	regions := map[string]*regionForce{}
	for _, a := range answers {
		region := regions[a.member.Region]
		if region == nil {
			region = &regionForce{region: a.member.Region}
			regions[a.member.Region] = region
		}
		region.nodes++
		switch {
		case a.err != nil:
			region.missing = append(region.missing, a.member.Address+" (does not answer)")
		case a.planOffset < offset:
			region.missing = append(region.missing, fmt.Sprintf("%s (offset %d)", a.member.Address, a.planOffset))
		}
	}
	var list []regionForce
	for _, name := range slices.Sorted(maps.Keys(regions)) {
		list = append(list, *regions[name])
	}
	return list
}

func inForceEverywhere(regions []regionForce) bool {
	for _, r := range regions {
		if len(r.missing) > 0 {
			return false
		}
	}
	return len(regions) > 0
}

func writeForce(w io.Writer, regions []regionForce) {
	for _, r := range regions {
		_, _ = fmt.Fprintf(w, "region %s: in force at %d of %d nodes\n", r.region, r.nodes-len(r.missing), r.nodes)
		for _, m := range r.missing {
			_, _ = fmt.Fprintf(w, "  missing: %s\n", m)
		}
	}
}

func (c *sheetCommand) runStatus(ctx context.Context, stdout io.Writer) error {
	client, err := c.flags.connect()
	if err != nil {
		return err
	}
	status, answers, err := client.all(ctx, c.flags.node)
	if err != nil {
		return err
	}
	var latest nodeAnswer
	for _, a := range answers {
		if a.err == nil && a.planOffset >= latest.planOffset {
			latest = a
		}
	}
	_, _ = fmt.Fprintf(stdout, "plan %s at offset %d\n", latest.planID, latest.planOffset)
	writeForce(stdout, forceByRegion(answers, latest.planOffset))
	for _, r := range status.Rejected {
		_, _ = fmt.Fprintf(stdout, "rejected: plan %s by %s at offset %d: %s\n", r.PlanID, r.Operator, r.Offset, r.Reason)
	}
	return nil
}
