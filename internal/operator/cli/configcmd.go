package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"

	"github.com/integrii/flaggy"
	"github.com/samber/oops"

	"github.com/tanagerline/tanagerline/internal/decision/reducer"
	"github.com/tanagerline/tanagerline/internal/operator/planlint"
)

// configCommand checks configurations before they are sent.
type configCommand struct {
	sub   *flaggy.Subcommand
	check *flaggy.Subcommand

	file    string
	against string
	json    bool
	// read decodes the platform's configurations.
	read ConfigurationReader
	// fieldName returns a plan's field by the name that it has there.
	fieldName func(string) string
}

func (c *configCommand) attach() *flaggy.Subcommand {
	c.sub = flaggy.NewSubcommand("config")
	c.sub.Description = "Check a configuration before it is sent."
	c.check = flaggy.NewSubcommand("check")
	c.check.Description = "Report errors, entries that never match, contradictions and differences."
	c.check.AddPositionalValue(&c.file, "FILE", 1, true, "The configuration, as JSON.")
	c.check.String(&c.against, "a", "against", "The configuration in force, to list what differs from it.")
	c.check.Bool(&c.json, "j", "json", "Print the findings as JSON.")
	c.sub.AttachSubcommand(c.check, 1)
	return c.sub
}

func (c *configCommand) used() bool { return c.sub.Used }

func (c *configCommand) run(_ context.Context, stdout, _ io.Writer) error {
	if !c.check.Used {
		return UsageError{Remedy: "config: use config check FILE [--against FILE] [--json]"}
	}
	findings, err := c.findings()
	if err != nil {
		return err
	}
	for i := range findings {
		findings[i].Field = c.fieldName(findings[i].Field)
	}
	planlint.Sort(findings)
	if err := c.write(stdout, findings); err != nil {
		return err
	}
	if count := planlint.Count(findings, planlint.SeverityError); count > 0 {
		return oops.Errorf("configuration %s: %d errors; correct them before it is sent", c.file, count)
	}
	return nil
}

// findings checks the file.
func (c *configCommand) findings() ([]planlint.Finding, error) {
	data, err := readConfigurationFile(c.file)
	if err != nil {
		return nil, err
	}
	plan, findings, err := c.read(data)
	if err != nil {
		return undecodable(err), nil
	}
	differences, err := c.differences(plan, findings)
	if err != nil {
		return nil, err
	}
	return slices.Concat(findings, planlint.Check(plan.Spec()), differences), nil
}

// differences compares the plan with the configuration in force, if one is named. The problems are
// those that reading the plan's file found.
func (c *configCommand) differences(plan reducer.Plan, problems []planlint.Finding) ([]planlint.Finding, error) {
	if c.against == "" {
		return nil, nil
	}
	data, err := readConfigurationFile(c.against)
	if err != nil {
		return nil, err
	}
	inForce, problemsInForce, err := c.read(data)
	if err != nil {
		return nil, oops.Wrapf(err, "configuration %s; name the configuration in force with --against", c.against)
	}
	return slices.Concat(
		incomplete(c.file, problems), incomplete(c.against, problemsInForce),
		planlint.CompareVersions(inForce.Offset(), plan.Offset()), planlint.Compare(inForce.Spec(), plan.Spec()),
	), nil
}

// incomplete warns that a file's plan, which lacks what can't be decoded, can't be compared in full.
func incomplete(path string, problems []planlint.Finding) []planlint.Finding {
	count := planlint.Count(problems, planlint.SeverityError)
	if count == 0 {
		return nil
	}
	return []planlint.Finding{{
		Severity: planlint.SeverityWarning, Type: planlint.TypeConfiguration,
		Text: fmt.Sprintf("%s has %d errors of form, so that the differences may be wrong; correct it, see config check %s", path, count, path),
	}}
}

// undecodable returns the finding about a document that can't be decoded.
func undecodable(err error) []planlint.Finding {
	return []planlint.Finding{{Severity: planlint.SeverityError, Type: planlint.TypeConfiguration, Text: err.Error()}}
}

func readConfigurationFile(path string) ([]byte, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, oops.Wrapf(err, "configuration %s; name a file that this user can read", path)
	}
	return data, nil
}

// write prints the findings as JSON, or one on each line with a summary.
func (c *configCommand) write(stdout io.Writer, findings []planlint.Finding) error {
	if c.json {
		encoder := json.NewEncoder(stdout)
		encoder.SetIndent("", "  ")
		return encoder.Encode(append([]planlint.Finding{}, findings...))
	}
	for _, f := range findings {
		if _, err := fmt.Fprintln(stdout, f); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(stdout, "%s: %d errors, %d warnings, %d notes\n", c.file, planlint.Count(findings, planlint.SeverityError),
		planlint.Count(findings, planlint.SeverityWarning), planlint.Count(findings, planlint.SeverityNote))
	return err
}
