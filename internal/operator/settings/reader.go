package settings

import (
	"fmt"
	"net"
	"net/url"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"

	"github.com/tanagerline/tanagerline/internal/decision/reducer"
)

func (r *reader) problem(section, key, remedy string) {
	r.problems = append(r.problems, Problem{File: r.path, Section: section, Key: key, Remedy: remedy})
}

// text returns a value, or an empty string where the key is not set.
func (r *reader) text(section, key string) string {
	r.known[section] = append(r.known[section], key)
	return strings.TrimSpace(r.file.Section(section).Key(key).String())
}

func (r *reader) required(section, key, remedy string) string {
	value := r.text(section, key)
	if value == "" {
		r.problem(section, key, remedy)
	}
	return value
}

// listener returns a listener's address.
func (r *reader) listener(key string) string {
	value := r.optionalListener(key)
	if value == "" {
		r.problem("listen", key, "give an IP number and a port, such as 127.0.0.1:9000")
	}
	return value
}

// optionalListener returns a listener's address, or an empty string.
func (r *reader) optionalListener(key string) string { return r.optionalAddress("listen", key) }

func (r *reader) optionalAddress(section, key string) string {
	value := r.text(section, key)
	if value != "" && !validAddress(value) {
		r.problem(section, key, fmt.Sprintf("%q is no IP number with a port; write it such as 127.0.0.1:9000", value))
	}
	return value
}

// flag returns a value that is off where the key is not set.
func (r *reader) flag(section, key string) bool {
	value := r.text(section, key)
	if value == "" {
		return false
	}
	on, err := strconv.ParseBool(value)
	if err != nil {
		r.problem(section, key, fmt.Sprintf("%q is neither true nor false", value))
	}
	return on
}

// announced is the peers' listener as other nodes reach it; by default it is the
// listener's own address.
func (r *reader) announced() string {
	value := r.text("listen", "peers_announced")
	if value == "" {
		return r.text("listen", "peers")
	}
	if !validAddress(value) {
		r.problem("listen", "peers_announced", fmt.Sprintf("%q is no IP number with a port; write it such as 10.0.0.7:9001", value))
	}
	return value
}

func (r *reader) addresses(section, key string) []string {
	var list []string
	for part := range strings.SplitSeq(r.text(section, key), ",") {
		part = strings.TrimSpace(part)
		if part == "" {
			continue
		}
		if !validAddress(part) {
			r.problem(section, key, fmt.Sprintf("%q is no IP number with a port; write them such as 127.0.0.1:9001, 127.0.0.1:9002", part))
		}
		list = append(list, part)
	}
	return list
}

func validAddress(value string) bool {
	host, port, err := net.SplitHostPort(value)
	return err == nil && net.ParseIP(host) != nil && port != "" && port != "0"
}

func (r *reader) logURL() string {
	value := r.required("platform", "log", "give the log's URL, such as http://127.0.0.1:7000")
	u, err := url.Parse(value)
	if value != "" && (err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "") {
		r.problem("platform", "log", fmt.Sprintf("%q is no URL; write it such as http://127.0.0.1:7000", value))
	}
	return strings.TrimSuffix(value, "/")
}

func (r *reader) duration(section, key string, otherwise, least, most time.Duration) time.Duration {
	value := r.text(section, key)
	if value == "" {
		return otherwise
	}
	d, err := time.ParseDuration(value)
	if err != nil || d < least || d > most {
		r.problem(section, key, fmt.Sprintf("%q is no duration from %v to %v; write it such as %v", value, least, most, otherwise))
		return otherwise
	}
	return d
}

func (r *reader) integer(section, key string, otherwise, least, most int) int {
	value := r.text(section, key)
	if value == "" {
		return otherwise
	}
	n, err := r.file.Section(section).Key(key).Int()
	if err != nil || n < least || n > most {
		r.problem(section, key, fmt.Sprintf("%q is no whole number from %d to %d", value, least, most))
		return otherwise
	}
	return n
}

func (r *reader) number(section, key string, otherwise, least, most float64) float64 {
	value := r.text(section, key)
	if value == "" {
		return otherwise
	}
	f, err := r.file.Section(section).Key(key).Float64()
	// Written so that NaN, which is neither below nor above any bound, fails too.
	if err != nil || !(f >= least && f <= most) {
		r.problem(section, key, fmt.Sprintf("%q is no number from %v to %v", value, least, most))
		return otherwise
	}
	return f
}

// wholePart returns a limit that counts whole things. The platform may work it out as a share
// of another figure, so a fraction is allowed and dropped.
func (r *reader) wholePart(section, key string, otherwise, least, most int) int {
	return int(r.number(section, key, float64(otherwise), float64(least), float64(most)))
}

// wholePartOrZero is wholePart for a limit that zero, the default, turns off.
func (r *reader) wholePartOrZero(section, key string, least, most int) int {
	n := r.wholePart(section, key, 0, 0, most)
	if n > 0 && n < least {
		r.problem(section, key, fmt.Sprintf("%d is too few; give %d or more, or 0 for no bound", n, least))
		return 0
	}
	return n
}

func (r *reader) share(section, key string, otherwise float64) float64 {
	value := r.text(section, key)
	if value == "" {
		return otherwise
	}
	f, err := r.file.Section(section).Key(key).Float64()
	if err != nil || f < 0 || f >= 1 {
		r.problem(section, key, fmt.Sprintf("%q is no share; give a number from 0 up to but not including 1, such as %v", value, otherwise))
		return otherwise
	}
	return f
}

// quotas reads the bounds of tenants' quotas, which are off where the section is absent.
func (r *reader) quotas(s *reducer.Settings) {
	on := r.file.HasSection("quotas") // Looking up a key adds its section.
	window := r.duration("quotas", "window", defaultQuotaWindow, time.Second, time.Hour)
	s.QuotaOverage = r.share("quotas", "overage", defaultQuotaOverage)
	s.QuotaSlack = r.number("quotas", "slack", defaultQuotaSlack, 0, 1e6)
	if on {
		s.QuotaWindow = window
	}
}

// The bounds of tenants' quotas where the section does not set them.
const (
	defaultQuotaWindow  = 5 * time.Second
	defaultQuotaOverage = 0.1
	defaultQuotaSlack   = 20
)

func (r *reader) policy(otherwise reducer.PolicyName) reducer.PolicyName {
	value := reducer.PolicyName(r.text("routing", "policy"))
	if value == "" {
		return otherwise
	}
	if !slices.Contains(reducer.PolicyNames(), value) {
		r.problem("routing", "policy", fmt.Sprintf("%q is no policy; choose one of %v", value, reducer.PolicyNames()))
	}
	return value
}

func (r *reader) tls() TLS {
	t := TLS{
		Certificate: r.text("tls", "certificate"),
		Key:         r.text("tls", "key"),
		Authority:   r.text("tls", "authority"),
	}
	files := []struct{ key, path string }{
		{"certificate", t.Certificate}, {"key", t.Key}, {"authority", t.Authority},
	}
	set := 0
	for _, f := range files {
		if f.path == "" {
			continue
		}
		set++
		if _, err := os.Stat(f.path); err != nil {
			r.problem("tls", f.key, err.Error()+"; name a file that this user can read")
		}
	}
	if set != 0 && set != len(files) {
		r.problem("tls", "certificate", "set certificate, key and authority together, or none of them")
	}
	return t
}

// distinct checks that no two listeners share an address.
func (r *reader) distinct(l Listen) {
	seen := map[string]string{}
	listeners := []struct{ key, address string }{
		{"callers", l.Callers},
		{"peers", l.Peers},
		{"operators", l.Operators},
		{"upstream", l.Upstream},
		{"ready", l.Ready},
		{"metrics", l.Metrics},
	}
	for _, listener := range listeners {
		if listener.address == "" {
			continue
		}
		if other, taken := seen[listener.address]; taken {
			r.problem("listen", listener.key, fmt.Sprintf("%s is also the address of %s; give each listener its own", listener.address, other))
		}
		seen[listener.address] = listener.key
	}
}

// unknownKeys reports sections and keys that no setting has, most often slips.
func (r *reader) unknownKeys() {
	for _, section := range r.file.Sections() {
		known, ok := r.known[section.Name()]
		if !ok {
			if section.Name() != ini.DefaultSection || len(section.Keys()) > 0 {
				r.problem(section.Name(), "*", "no such section; see docs/settings.md, and remove or rename it")
			}
			continue
		}
		for _, key := range section.Keys() {
			if !slices.Contains(known, key.Name()) {
				r.problem(section.Name(), key.Name(), "no such key; use one of "+strings.Join(known, ", "))
			}
		}
	}
}
