package node

import (
	"bytes"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"

	"github.com/tanagerline/tanagerline/internal/edge/budget"
	"github.com/tanagerline/tanagerline/internal/operator/settings"
)

// Guards against a crowd that floods the log, and against refusals that no metric counts.
func TestRefusedClientsAreCountedAndLoggedWithinABound(t *testing.T) {
	var written bytes.Buffer
	n := &Node{Logger: &log.Logger{Writer: log.IOWriter{Writer: &written}}}
	n.decided = newDecisions(n.Logger)
	c := newClients(n)
	const refused = 10 * clientLineBurst
	for range refused {
		c.tell(budget.Event{Cause: budget.CauseMemory, Address: "192.0.2.1", HeldBytes: 7})
	}
	counter := metrics.GetOrRegisterCounter("clients.refused.memory", n.decided.registry)
	qt.Check(t, counter.Count(), qt.Equals, int64(refused))
	lines := strings.Count(written.String(), "192.0.2.1")
	qt.Check(t, lines >= clientLineBurst && lines < 2*clientLineBurst, qt.IsTrue, qt.Commentf("%d lines", lines))
}

// Guards against callers that leave no descriptors for peers, the upstream and the store.
func TestListenersShareTheDescriptors(t *testing.T) {
	n := &Node{Settings: settings.Node{Limits: settings.Limits{MaxConnections: 3000, Descriptors: 1024}}}
	c := &clients{node: n}
	const otherListeners = 4
	sum := c.maxConnections(budget.Callers) + c.maxConnections(budget.Peers) + otherListeners*c.maxConnections(budget.Others)
	qt.Check(t, sum < 1024*85/100, qt.IsTrue, qt.Commentf("%d", sum))
	n.Settings.Limits.Descriptors = 0
	qt.Check(t, c.maxConnections(budget.Others), qt.Equals, 3000)
}
