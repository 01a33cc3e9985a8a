package settings

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const good = `[node]
region = amman
zone = amman-1
[listen]
callers = 127.0.0.1:9000
peers = 127.0.0.1:9001
operators = 127.0.0.1:9002
upstream = 127.0.0.1:9003
[platform]
log = http://127.0.0.1:7000/
`

func TestParseFillsInDefaults(t *testing.T) {
	c := qt.New(t)
	node, err := Parse([]byte(good))
	c.Assert(err, qt.IsNil)
	c.Assert(node.LogURL, qt.Equals, "http://127.0.0.1:7000")
	c.Assert(node.LogPeriod, qt.Equals, 2*time.Second)
	c.Assert(node.Listen.PeersAnnounced, qt.Equals, "127.0.0.1:9001")
	c.Assert(node.Decisions.Sample, qt.Equals, 3)
	c.Assert(node.Limits.PipelinedRequests, qt.Equals, 8)
	c.Assert(node.Decisions.HedgeShare, qt.Equals, 0.0)
}

// TestParseDropsTheFractionOfSharedRetries guards against a node that does not start because
// the platform's figure is a fraction.
func TestParseDropsTheFractionOfSharedRetries(t *testing.T) {
	c := qt.New(t)
	node, err := Parse([]byte(good + "[retries]\nshared = 157.5\n"))
	c.Assert(err, qt.IsNil)
	c.Assert(node.Decisions.SharedRetries, qt.Equals, 157)
}

// TestQuotasAreOnOnlyWithTheirSection guards against quotas in deployments that have none.
func TestQuotasAreOnOnlyWithTheirSection(t *testing.T) {
	c := qt.New(t)
	node, err := Parse([]byte(good))
	c.Assert(err, qt.IsNil)
	c.Assert(node.Decisions.QuotaWindow, qt.Equals, time.Duration(0))
	node, err = Parse([]byte(good + "[quotas]\noverage = 0.2\n"))
	c.Assert(err, qt.IsNil)
	c.Assert(node.Decisions.QuotaWindow, qt.Equals, 5*time.Second)
	c.Assert(node.Decisions.QuotaOverage, qt.Equals, 0.2)
	c.Assert(node.Decisions.QuotaSlack, qt.Equals, 20.0)
}

// TestOverridesReplaceTheFile guards against a platform's values that are lost, or that switch on a
// part whose value the deployment doesn't have.
func TestOverridesReplaceTheFile(t *testing.T) {
	c := qt.New(t)
	path := filepath.Join(t.TempDir(), "node.ini")
	c.Assert(os.WriteFile(path, []byte(good+"[routing]\nsample = 5\n"), 0o600), qt.IsNil)
	node, err := LoadWith(path, []string{"routing.sample=7", "quotas.window=", "keys.window=20s"})
	c.Assert(err, qt.IsNil)
	c.Assert(node.Decisions.Sample, qt.Equals, 7)
	c.Assert(node.Decisions.KeyWindow, qt.Equals, 20*time.Second)
	c.Assert(node.Decisions.QuotaWindow, qt.Equals, time.Duration(0))
	for _, wrong := range []string{"sample=7", "routing.sample", ".sample=7", "routing.sample=0", "routing.simple=1"} {
		_, err := LoadWith(path, []string{wrong})
		_, ok := AsProblems(err)
		c.Assert(ok, qt.IsTrue, qt.Commentf("%s: %v", wrong, err))
	}
}

// TestParseTakesTheMachinesMemoryAndDescriptors guards against limits that are on by default, and against
// a node that does not start because the platform's figure is a fraction.
func TestParseTakesTheMachinesMemoryAndDescriptors(t *testing.T) {
	c := qt.New(t)
	node, err := Parse([]byte(good))
	c.Assert(err, qt.IsNil)
	c.Assert(node.Limits.MemoryBytes, qt.Equals, int64(0))
	c.Assert(node.Limits.Descriptors, qt.Equals, 0)
	node, err = Parse([]byte(good + "[limits]\nmemory_mb = 184.5\ndescriptors = 1024\n"))
	c.Assert(err, qt.IsNil)
	c.Assert(node.Limits.MemoryBytes, qt.Equals, int64(184_000_000))
	c.Assert(node.Limits.Descriptors, qt.Equals, 1024)
}

func TestParseReportsEveryProblem(t *testing.T) {
	tests := []struct {
		name    string
		text    string
		section string
		keys    []string
	}{
		{name: "nothing set", text: "", section: "node", keys: []string{"region", "zone"}},
		{name: "unknown key", text: good + "[keys]\nwindwo = 1s\n", section: "keys", keys: []string{"windwo"}},
		{name: "unknown section", text: good + "[kyes]\nwindow = 1s\n", section: "kyes", keys: []string{"*"}},
		{name: "not a duration", text: good + "[keys]\nwindow = long\n", section: "keys", keys: []string{"window"}},
		{name: "out of range", text: good + "[routing]\nsample = 0\nmax_ejected_share = 1\n", section: "routing", keys: []string{"sample", "max_ejected_share"}},
		{name: "bounds of pipelined requests", text: good + "[limits]\npipelined_requests = 65\npipelined_bytes = 0\n", section: "limits", keys: []string{"pipelined_requests", "pipelined_bytes"}},
		{name: "more hedges than the platform allows", text: good + "[hedging]\nshare = 0.21\n", section: "hedging", keys: []string{"share"}},
		{name: "hedges without end", text: good + "[hedging]\nshare = NaN\n", section: "hedging", keys: []string{"share"}},
		{name: "no such policy", text: good + "[routing]\npolicy = best\n", section: "routing", keys: []string{"policy"}},
		{name: "host name for a seed", text: good + "[peers]\nseeds = 127.0.0.1:1, node-2:9001\n", section: "peers", keys: []string{"seeds"}},
		{name: "quotas out of range", text: good + "[quotas]\nwindow = 1ms\noverage = 1\nslack = -1\n", section: "quotas", keys: []string{"window", "overage", "slack"}},
		{name: "too little memory", text: good + "[limits]\nmemory_mb = 8\ndescriptors = -1\n", section: "limits", keys: []string{"memory_mb", "descriptors"}},
		{name: "half of TLS", text: good + "[tls]\ncertificate = /absent/cert.pem\n", section: "tls", keys: []string{"certificate"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			_, err := Parse([]byte(test.text))
			problems, ok := AsProblems(err)
			c.Assert(ok, qt.IsTrue, qt.Commentf("error: %v", err))
			for _, key := range test.keys {
				found := false
				for _, p := range problems {
					found = found || p.Section == test.section && p.Key == key && p.Remedy != ""
				}
				c.Assert(found, qt.IsTrue, qt.Commentf("[%s] %s in %v", test.section, key, problems))
			}
		})
	}
}

func TestListenersNeedAddressesOfTheirOwn(t *testing.T) {
	c := qt.New(t)
	text := good + "[listen]\noperators = 127.0.0.1:9001\n"
	_, err := Parse([]byte(text))
	c.Assert(err, qt.ErrorMatches, `.*\[listen\] operators: 127.0.0.1:9001 is also the address of peers.*`)
}

func TestLoadNamesTheFile(t *testing.T) {
	c := qt.New(t)
	path := filepath.Join(t.TempDir(), "node.ini")
	c.Assert(os.WriteFile(path, []byte("[node]\nregion = amman\n"), 0o600), qt.IsNil)
	_, err := Load(path)
	c.Assert(err, qt.ErrorMatches, "(?s).*node.ini: .node. zone: .*")
	_, err = Load(path + ".absent")
	c.Assert(err, qt.ErrorMatches, ".*absent; name a file that this user can read.*")
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(good))
	f.Add([]byte("[listen\n=\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		node, err := Parse(data)
		if err == nil && (node.Region == "" || node.Listen.Peers == "") {
			t.Fatal("settings without a region or a listener were taken")
		}
	})
}
