package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/integrii/flaggy"

	"github.com/tanagerline/tanagerline/internal/operator/load"
)

// loadCommand offers a load to nodes and reports what came of it.
type loadCommand struct {
	sub        *flaggy.Subcommand
	experiment string
	targets    string
	kinds      string
	method     string
	path       string
	bodyBytes  int64
	allowance  time.Duration
	resend     float64
	rate       float64
	crest      float64
	period     time.Duration
	duration   time.Duration
	seed       uint64
	json       bool
	plot       string
}

func (c *loadCommand) attach() *flaggy.Subcommand {
	c.duration = 10 * time.Second
	c.period = time.Second
	c.rate = 100
	c.seed = 1
	c.allowance = time.Second
	c.method = "GET"
	c.sub = flaggy.NewSubcommand("load")
	c.sub.Description = "Offer an open-loop load to nodes, and report latencies by kind."
	c.sub.String(&c.experiment, "e", "experiment", "An experiment file; it replaces the flags below except --json and --plot.")
	c.sub.String(&c.targets, "t", "target", "Callers' addresses of nodes, separated by commas.")
	c.sub.String(&c.kinds, "k", "kinds", "The mix, as service/kind=weight, separated by commas.")
	c.sub.String(&c.method, "m", "method", "The calls' method.")
	c.sub.String(&c.path, "", "path", "The calls' path; @N is replaced by the call's number.")
	c.sub.Int64(&c.bodyBytes, "", "body-bytes", "The size of the calls' bodies.")
	c.sub.Duration(&c.allowance, "a", "allowance", "What a caller gives a call.")
	c.sub.Float64(&c.resend, "", "resend-share", "The share of calls that are sent again with the same key.")
	c.sub.Float64(&c.rate, "r", "rate", "Calls a second.")
	c.sub.Float64(&c.crest, "", "crest", "Calls a second in the second half of each period.")
	c.sub.Duration(&c.period, "", "period", "The time from one crest to the next.")
	c.sub.Duration(&c.duration, "d", "duration", "How long calls are begun.")
	c.sub.UInt64(&c.seed, "s", "seed", "The seed of the arrivals and the mix.")
	c.sub.Bool(&c.json, "j", "json", "Print JSON.")
	c.sub.String(&c.plot, "p", "plot", "Write a picture to this PNG file.")
	return c.sub
}

func (c *loadCommand) used() bool { return c.sub.Used }

func (c *loadCommand) run(ctx context.Context, stdout, stderr io.Writer) error {
	experiment, err := c.read()
	if err != nil {
		return err
	}
	if err := experiment.Check(); err != nil {
		return UsageError{Remedy: "load: " + err.Error()}
	}
	result, err := experiment.Run(ctx, func(p load.Progress) {
		_, _ = fmt.Fprintf(stderr, "%v: %d calls begun, %d outstanding\n", p.Elapsed.Round(time.Second), p.Begun, p.Outstanding)
	})
	if err != nil {
		return err
	}
	if c.plot != "" {
		if err := result.Plot(c.plot); err != nil {
			return err
		}
	}
	if c.json {
		encoder := json.NewEncoder(stdout)
		encoder.SetIndent("", "  ")
		return encoder.Encode(result)
	}
	return result.WriteTable(stdout)
}

func (c *loadCommand) read() (load.Experiment, error) {
	if c.experiment != "" {
		return load.ReadFile(c.experiment)
	}
	e := load.Experiment{
		Duration: c.duration, Rate: c.rate, Crest: c.crest, Period: c.period, Seed: c.seed,
	}
	if c.targets != "" {
		e.Targets = strings.Split(c.targets, ",")
	}
	if c.kinds == "" {
		return e, nil
	}
	for text := range strings.SplitSeq(c.kinds, ",") {
		kind, err := load.ParseKind(text)
		if err != nil {
			return e, UsageError{Remedy: "load: " + err.Error()}
		}
		kind.Method = c.method
		kind.BodyBytes = c.bodyBytes
		kind.Allowance = c.allowance
		kind.ResendShare = c.resend
		if c.path != "" {
			kind.Path = c.path
		}
		e.Kinds = append(e.Kinds, kind)
	}
	return e, nil
}
