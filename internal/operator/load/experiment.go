package load

import (
	"fmt"
	"net"
	"os"
	"strings"
	"time"

	"github.com/samber/oops"
	"gopkg.in/ini.v1"
)

// Kind is one kind of call in the mix.
type Kind struct {
	Service string
	Name    string
	Method  string
	Path    string
	// Weight is the kind's part of the mix.
	Weight float64
	// BodyBytes is the size of the request's body.
	BodyBytes int64
	// Allowance is what the caller gives a call from when it was due.
	Allowance time.Duration
	// ResendShare is the share of calls that are sent again with their key.
	ResendShare float64
}

// Label names the kind in reports.
func (k Kind) Label() string { return k.Service + "/" + k.Name }

// Experiment is a load to offer; its exported fields are set before Run.
type Experiment struct {
	// Targets are callers' addresses of nodes.
	Targets []string
	// Duration is how long calls are begun.
	Duration time.Duration
	// Rate is the calls a second outside the crest.
	Rate float64
	// Crest is the calls a second in the second half of each period; zero offers
	// a steady rate.
	Crest float64
	// Period is the time from one crest to the next.
	Period time.Duration
	// Seed drives the arrivals and the mix.
	Seed uint64
	// Kinds are the mix.
	Kinds []Kind
}

// ExperimentError is one fault of an experiment.
type ExperimentError struct {
	Section string
	Key     string
	Remedy  string
}

// Error names the section, the key and the remedy.
func (e ExperimentError) Error() string {
	return fmt.Sprintf("experiment [%s] %s: %s", e.Section, e.Key, e.Remedy)
}

const kindSection = "kind "

// ReadFile reads an experiment's INI file: a [load] section, and a section
// [kind SERVICE/NAME] for each kind.
func ReadFile(path string) (Experiment, error) {
	if _, err := os.Stat(path); err != nil {
		return Experiment{}, oops.Wrapf(err, "experiment %s; name a file that this user can read", path)
	}
	file, err := ini.Load(path)
	if err != nil {
		return Experiment{}, oops.Wrapf(err, "experiment %s; write key = value lines below [section] lines", path)
	}
	section := file.Section("load")
	e := Experiment{
		Duration: section.Key("duration").MustDuration(10 * time.Second),
		Rate:     section.Key("rate").MustFloat64(100),
		Crest:    section.Key("crest").MustFloat64(0),
		Period:   section.Key("period").MustDuration(time.Second),
		Seed:     section.Key("seed").MustUint64(1),
	}
	for _, target := range section.Key("targets").Strings(",") {
		e.Targets = append(e.Targets, strings.TrimSpace(target))
	}
	for _, s := range file.Sections() {
		label, ok := strings.CutPrefix(s.Name(), kindSection)
		if !ok {
			continue
		}
		kind, err := ParseKind(label)
		if err != nil {
			return Experiment{}, err
		}
		kind.Method = s.Key("method").MustString(kind.Method)
		kind.Path = s.Key("path").MustString(kind.Path)
		kind.Weight = s.Key("weight").MustFloat64(kind.Weight)
		kind.BodyBytes = s.Key("body_bytes").MustInt64(kind.BodyBytes)
		kind.Allowance = s.Key("allowance").MustDuration(kind.Allowance)
		kind.ResendShare = s.Key("resend_share").MustFloat64(kind.ResendShare)
		e.Kinds = append(e.Kinds, kind)
	}
	return e, nil
}

// ParseKind reads a kind of the form service/kind or service/kind=weight.
func ParseKind(text string) (Kind, error) {
	label, weight, weighted := strings.Cut(text, "=")
	service, name, ok := strings.Cut(strings.TrimSpace(label), "/")
	if !ok || service == "" || name == "" {
		return Kind{}, ExperimentError{Section: kindSection + text, Key: "name", Remedy: "write service/kind, or service/kind=weight"}
	}
	kind := Kind{
		Service: service, Name: name, Method: "GET", Path: "/" + service + "/", Weight: 1,
		Allowance: time.Second,
	}
	if !weighted {
		return kind, nil
	}
	if _, err := fmt.Sscanf(weight, "%g", &kind.Weight); err != nil || kind.Weight <= 0 {
		return Kind{}, ExperimentError{Section: kindSection + text, Key: "weight", Remedy: "write a positive number"}
	}
	return kind, nil
}

// Check returns the experiment's first fault.
func (e *Experiment) Check() error {
	switch {
	case len(e.Targets) == 0:
		return ExperimentError{Section: "load", Key: "targets", Remedy: "name the callers' address of at least one node"}
	case len(e.Kinds) == 0:
		return ExperimentError{Section: kindSection, Key: "name", Remedy: "name at least one kind, as service/kind"}
	case e.Rate <= 0 || e.Duration <= 0:
		return ExperimentError{Section: "load", Key: "rate", Remedy: "give a positive rate and a positive duration"}
	case e.Crest > 0 && e.Period <= 0:
		return ExperimentError{Section: "load", Key: "period", Remedy: "give the time from one crest to the next"}
	}
	for _, target := range e.Targets {
		if host, _, err := net.SplitHostPort(target); err != nil || net.ParseIP(host) == nil {
			return ExperimentError{Section: "load", Key: "targets", Remedy: fmt.Sprintf("%q is no IP number with a port", target)}
		}
	}
	for _, k := range e.Kinds {
		if k.Weight <= 0 || k.Allowance <= 0 || k.ResendShare < 0 || k.ResendShare > 1 {
			return ExperimentError{Section: kindSection + k.Label(), Key: "weight", Remedy: "give a positive weight and allowance, and a resend share from 0 to 1"}
		}
	}
	return nil
}

// rateAt is the rate at a time after the start.
func (e *Experiment) rateAt(elapsed time.Duration) float64 {
	if e.Crest > 0 && elapsed%e.Period >= e.Period/2 {
		return e.Crest
	}
	return e.Rate
}

// phase is a part of a swing.
type phase int

const (
	// phaseRecovery is the time right after a crest.
	phaseRecovery phase = iota
	phaseCalm
	phaseCrest
)

// recoveryTime is how long after a crest a service may need to be calm again.
const recoveryTime = 200 * time.Millisecond

// phaseAt is the phase at a time after the start.
func (e *Experiment) phaseAt(elapsed time.Duration) phase {
	if e.Crest <= 0 {
		return phaseCalm
	}
	switch at := elapsed % e.Period; {
	case at >= e.Period/2:
		return phaseCrest
	case at >= recoveryTime || elapsed < e.Period:
		return phaseCalm
	default:
		return phaseRecovery
	}
}
