package planlint

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Severity ranks a finding.
type Severity string

// The severities. A configuration with errors must not be sent; a warning marks what most likely
// isn't meant, and a note tells what may well be meant.
const (
	SeverityError   Severity = "error"
	SeverityWarning Severity = "warning"
	SeverityNote    Severity = "note"
)

// Finding is one result of a check.
type Finding struct {
	Severity Severity `json:"severity"`
	// Type, Name and Field name the place as the configuration does; Name and Field may be empty.
	Type  string `json:"type"`
	Name  string `json:"name,omitempty"`
	Field string `json:"field,omitempty"`
	// Text describes the finding and its remedy. It never contains an access key or its digest.
	Text string `json:"text"`
	// Old and New are the values of a changed field.
	Old string `json:"old,omitempty"`
	New string `json:"new,omitempty"`
}

// String returns the finding as one line.
func (f Finding) String() string {
	place := f.Type
	if f.Name != "" {
		place += fmt.Sprintf(" %q", f.Name)
	}
	if f.Field != "" {
		place += ", " + f.Field
	}
	return fmt.Sprintf("%s: %s: %s", f.Severity, place, f.Text)
}

// Count returns the number of findings with the severity.
func Count(findings []Finding, severity Severity) int {
	count := 0
	for _, f := range findings {
		if f.Severity == severity {
			count++
		}
	}
	return count
}

// Sort orders the findings by severity, type and name.
func Sort(findings []Finding) {
	rank := []Severity{SeverityError, SeverityWarning, SeverityNote}
	slices.SortStableFunc(findings, func(a, b Finding) int {
		return cmp.Or(
			cmp.Compare(slices.Index(rank, a.Severity), slices.Index(rank, b.Severity)),
			cmp.Compare(a.Type, b.Type), cmp.Compare(a.Name, b.Name),
		)
	})
}

// place is a resource of the configuration.
type place struct {
	kind string
	name string
}

// finding returns a finding about a field of the resource.
func (p place) finding(severity Severity, field, format string, args ...any) Finding {
	return Finding{Severity: severity, Type: p.kind, Name: p.name, Field: field, Text: fmt.Sprintf(format, args...)}
}

// number is the value of a numeric field or a duration.
type number struct {
	field string
	value float64
}

// negatives reports the fields with negative values.
func (p place) negatives(numbers ...number) []Finding {
	var found []Finding
	for _, n := range numbers {
		if n.value < 0 {
			found = append(found, p.finding(SeverityError, n.field, "the value is negative; set it to zero or more"))
		}
	}
	return found
}

// maxListed bounds the names in one finding: a plan may have hundreds of routes.
const maxListed = 5

// listed joins the first names and tells how many more there are.
func listed(names []string) string {
	if len(names) <= maxListed {
		return strings.Join(names, ", ")
	}
	return fmt.Sprintf("%s and %d more", strings.Join(names[:maxListed], ", "), len(names)-maxListed)
}
