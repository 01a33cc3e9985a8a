package settings

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/samber/oops"
	"gopkg.in/ini.v1"

	"github.com/tanagerline/tanagerline/internal/decision/reducer"
)

// Listen holds the addresses of a node's listeners.
type Listen struct {
	Callers   string
	Peers     string
	Operators string
	Upstream  string
	// Ready is where the platform asks whether callers may be sent here; it is empty
	// where only the operators' listener tells.
	Ready string
	// Metrics is where metrics are served beside the operators' listener, or empty.
	Metrics string
	// PeersAnnounced is where other nodes reach the peers' listener.
	PeersAnnounced string
}

// TLS holds the files for mutual TLS between nodes and with operators; all are
// empty where it is off.
type TLS struct {
	Certificate string
	Key         string
	Authority   string
}

// On reports whether mutual TLS is on.
func (t TLS) On() bool { return t.Certificate != "" }

// Limits bound what strangers can make a node spend.
type Limits struct {
	HeaderBytes    int
	HeaderTime     time.Duration
	IdleTime       time.Duration
	BodyTime       time.Duration
	MaxConnections int
	// BodyBytes bounds the request bodies that are kept for another attempt; zero is a
	// default.
	BodyBytes int64
	// PipelinedRequests bounds the unanswered requests of a caller's connection; below two,
	// pipelined requests run one after the other.
	PipelinedRequests int
	// PipelinedBytes bounds the heads and waiting answers of a connection with pipelined requests.
	PipelinedBytes int64
	// MemoryBytes is the memory that the process may use, and Descriptors the number of its
	// file descriptors; zero sets no bound on what clients use of them.
	MemoryBytes int64
	Descriptors int
}

// Node holds the settings of one node.
type Node struct {
	Region string
	Zone   string
	Listen Listen
	// Service is the service on this VM, and Upstream the address of its upstream; both
	// may be empty where the upstream announces them.
	Service  string
	Upstream string
	// Adapter tells that the node speaks the users' platform's own protocols.
	Adapter   bool
	LogURL    string
	LogPeriod time.Duration
	Seeds     []string
	TLS       TLS
	Limits    Limits
	Decisions reducer.Settings
}

// Problem is one fault of a settings file.
type Problem struct {
	File    string
	Section string
	Key     string
	Remedy  string
}

// Error names the file, the section, the key and the remedy.
func (p Problem) Error() string {
	return fmt.Sprintf("%s: [%s] %s: %s", p.File, p.Section, p.Key, p.Remedy)
}

// Problems lists every fault of a settings file.
type Problems []Problem

// Error lists the faults, one a line.
func (p Problems) Error() string {
	lines := make([]string, 0, len(p))
	for _, problem := range p {
		lines = append(lines, problem.Error())
	}
	return strings.Join(lines, "\n")
}

// Load reads and checks a settings file. It returns Problems with every fault,
// or another error when the file can't be read.
func Load(path string) (Node, error) { return LoadWith(path, nil) }

// LoadWith reads and checks a settings file with overrides of the form section.key=value, which
// replace what the file says. An override with an empty value is ignored, so that a deployment may
// fill in a value that it doesn't have.
func LoadWith(path string, overrides []string) (Node, error) {
	if _, err := os.Stat(path); err != nil {
		return Node{}, oops.Wrapf(err, "settings file %s; name a file that this user can read", path)
	}
	file, err := ini.LoadSources(ini.LoadOptions{}, path)
	if err != nil {
		return Node{}, Problems{{File: path, Section: ini.DefaultSection, Key: "syntax", Remedy: err.Error() + "; write key = value lines below [section] lines"}}
	}
	if err := override(file, overrides); err != nil {
		return Node{}, err
	}
	return read(path, file)
}

// override sets the values of overrides in file.
func override(file *ini.File, overrides []string) error {
	for _, text := range overrides {
		name, value, found := strings.Cut(text, "=")
		section, key, named := strings.Cut(name, ".")
		if !found || !named || section == "" || key == "" {
			return Problems{{File: "command line", Section: section, Key: key, Remedy: fmt.Sprintf("%q: write section.key=value", text)}}
		}
		if value != "" {
			file.Section(section).Key(key).SetValue(value)
		}
	}
	return nil
}

// Parse reads and checks settings given as text.
func Parse(data []byte) (Node, error) {
	const path = "(text)"
	file, err := ini.LoadSources(ini.LoadOptions{}, data)
	if err != nil {
		return Node{}, Problems{{File: path, Section: ini.DefaultSection, Key: "syntax", Remedy: err.Error() + "; write key = value lines below [section] lines"}}
	}
	return read(path, file)
}

func read(path string, file *ini.File) (Node, error) {
	r := &reader{path: path, file: file, known: map[string][]string{}}
	node := Node{
		Region: r.required("node", "region", "name the region that the VM is in"),
		Zone:   r.required("node", "zone", "name the availability zone that the VM is in"),
		Listen: Listen{
			Callers:   r.listener("callers"),
			Peers:     r.listener("peers"),
			Operators: r.listener("operators"),
			Upstream:  r.listener("upstream"),

			Ready:          r.optionalListener("ready"),
			Metrics:        r.optionalListener("metrics"),
			PeersAnnounced: r.announced(),
		},
		Service:   r.text("node", "service"),
		Upstream:  r.optionalAddress("node", "upstream"),
		Adapter:   r.flag("platform", "adapter"),
		LogURL:    r.logURL(),
		LogPeriod: r.duration("platform", "poll", 2*time.Second, 10*time.Millisecond, 10*time.Second),
		Seeds:     r.addresses("peers", "seeds"),
		TLS:       r.tls(),
		Limits: Limits{
			HeaderBytes:    r.integer("limits", "header_bytes", 64<<10, 1<<10, 1<<20),
			HeaderTime:     r.duration("limits", "header_time", 5*time.Second, 10*time.Millisecond, time.Minute),
			IdleTime:       r.duration("limits", "idle_time", 90*time.Second, time.Second, time.Hour),
			BodyTime:       r.duration("limits", "body_time", 30*time.Second, 10*time.Millisecond, time.Hour),
			MaxConnections: r.integer("limits", "connections", 4096, 1, 1<<20),
			BodyBytes:      int64(r.integer("limits", "kept_body_bytes", 0, 0, 1<<30)),

			PipelinedRequests: r.integer("limits", "pipelined_requests", 8, 0, 64),
			PipelinedBytes:    int64(r.integer("limits", "pipelined_bytes", 256<<10, 1<<10, 64<<20)),
			MemoryBytes:       int64(r.wholePartOrZero("limits", "memory_mb", leastMemoryMegabytes, 1<<20)) * bytesPerMegabyte,
			Descriptors:       r.wholePartOrZero("limits", "descriptors", leastDescriptors, 1<<24),
		},
		Decisions: r.decisions(),
	}
	r.distinct(node.Listen)
	r.unknownKeys()
	if len(r.problems) > 0 {
		return Node{}, r.problems
	}
	return node, nil
}

// reader collects values and faults.
type reader struct {
	path     string
	file     *ini.File
	problems Problems
	known    map[string][]string
}

func (r *reader) decisions() reducer.Settings {
	s := reducer.DefaultSettings()
	s.Policy = r.policy(s.Policy)
	s.Sample = r.integer("routing", "sample", s.Sample, 1, 64)
	s.ReportPeriod = r.duration("routing", "report_period", s.ReportPeriod, 0, time.Minute)
	s.MaxEjectedShare = r.share("routing", "max_ejected_share", s.MaxEjectedShare)
	s.CrossRegionBudget = int64(r.integer("routing", "cross_region_bytes_per_second", int(s.CrossRegionBudget), 0, 1<<40))
	s.ShortReserve = r.share("admission", "short_reserve", s.ShortReserve)
	s.UsableShare = r.share("admission", "usable_share", s.UsableShare)
	s.LinkRate = int64(r.number("admission", "link_megabits", 0, 0, 1e6) * bytesPerMegabit)
	s.QueuePerSlot = r.integer("admission", "queue_per_slot", s.QueuePerSlot, 0, 1024)
	s.Warmup = r.duration("admission", "warmup", s.Warmup, 0, time.Hour)
	s.RetryShare = r.share("retries", "share", s.RetryShare)
	s.RetryBurst = float64(r.integer("retries", "burst", int(s.RetryBurst), 0, 10_000))
	s.MaxRetries = r.integer("retries", "per_call", s.MaxRetries, 0, 10)
	s.HedgeShare = r.number("hedging", "share", s.HedgeShare, 0, maxHedgeShare)
	s.KeyWindow = r.duration("keys", "window", s.KeyWindow, time.Second, 7*24*time.Hour)
	s.ClockSkew = r.duration("keys", "clock_skew", s.ClockSkew, 0, time.Hour)
	s.MaxKeys = r.integer("keys", "count", s.MaxKeys, 1, 10_000_000)
	s.MaxAnswerBytes = r.integer("keys", "answer_bytes", s.MaxAnswerBytes, 0, 1<<30)
	s.SharedRetries = r.wholePart("retries", "shared", s.SharedRetries, 0, 1_000_000)
	s.SharedRetryWindow = r.duration("retries", "shared_window", s.SharedRetryWindow, time.Second, time.Hour)
	s.ReportNear = r.duration("reports", "near", s.ReportNear, 0, 10*time.Second)
	s.ReportsPerSecond = r.integer("reports", "per_second", s.ReportsPerSecond, 0, 100_000)
	s.PlanWatchers = r.integer("platform", "plan_watchers", s.PlanWatchers, 1, 10_000)
	s.ReportFar = r.duration("reports", "far", s.ReportFar, 10*time.Millisecond, time.Minute)
	s.StopLinger = r.duration("stop", "linger", s.StopLinger, 0, time.Hour)
	s.StopOpen = r.duration("stop", "open", s.StopOpen, 0, time.Hour)
	s.ExchangePeriod = r.duration("peers", "exchange", s.ExchangePeriod, 20*time.Millisecond, time.Minute)
	s.Retention = r.duration("platform", "retention", s.Retention, 0, 365*24*time.Hour)
	s.FreshAnswer = r.duration("probes", "fresh_answer", s.FreshAnswer, 10*time.Millisecond, time.Minute)
	s.ProbePeriod = r.duration("probes", "period", s.ProbePeriod, 10*time.Millisecond, time.Minute)
	s.ProbeWork = r.duration("probes", "work", s.ProbeWork, 0, time.Second)
	s.ProbeWorkBudget = r.duration("probes", "work_per_second", s.ProbeWorkBudget, 0, time.Second)
	s.ProbeBytesBudget = r.integer("probes", "bytes_per_second", s.ProbeBytesBudget, 0, 1<<20)
	s.Quarantine = r.duration("quarantine", "time", s.Quarantine, time.Second, 24*time.Hour)
	s.Objective = r.share("burn", "objective", s.Objective)
	r.quotas(&s)
	s.StopAllowance = r.duration("stop", "allowance", s.StopAllowance, time.Second, 24*time.Hour)
	return s
}

const (
	// leastMemoryMegabytes and leastDescriptors are what a node needs for itself, its peers and a
	// few clients.
	leastMemoryMegabytes = 32
	leastDescriptors     = 64

	bytesPerMegabyte = 1_000_000
)

// maxHedgeShare is the share of requests that the platform lets all entries send to a second upstream.
const maxHedgeShare = 0.2

// bytesPerMegabit is how links are measured: 10^6 bits.
const bytesPerMegabit = 1e6 / 8

// AsProblems returns the faults that an error lists, if it is of that kind.
func AsProblems(err error) (Problems, bool) {
	var problems Problems
	ok := errors.As(err, &problems)
	return problems, ok
}
