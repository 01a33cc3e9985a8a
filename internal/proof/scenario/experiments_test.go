package scenario

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strings"
	"testing"
	"text/tabwriter"
	"time"

	"github.com/tanagerline/tanagerline/internal/decision/reducer"
	"github.com/tanagerline/tanagerline/internal/mesh/peer"
	"github.com/tanagerline/tanagerline/internal/operator/load"
)

const (
	experimentRounds = 3
	trustUpstreams   = 7
	trustSlots       = 6
	trustWork        = 20 * time.Millisecond
	staleReports     = 500 * time.Millisecond
	// trustCapacity is the calls a second that the roster's upstreams can run.
	trustCapacity = trustUpstreams * trustSlots * float64(time.Second/trustWork)
)

// verdict is one row of the table.
type verdict struct {
	measure  string
	target   string
	measured string
	met      bool
}

// samples are the figures of interleaved rounds.
type samples []float64

func (s samples) median() float64 {
	sorted := slices.Sorted(slices.Values(s))
	return sorted[len(sorted)/2]
}

func (s samples) text(format string) string {
	return fmt.Sprintf(format+" ("+format+" to "+format+")", s.median(), slices.Min(s), slices.Max(s))
}

// BenchmarkExperiments measures the decisions against their targets and baselines
// and prints a table. Run it with -bench Experiments -benchtime 1x.
func BenchmarkExperiments(b *testing.B) {
	rows := []struct {
		name string
		run  func(b *testing.B) []verdict
	}{
		{"tail", measureTail},
		{"crest", measureCrest},
		{"blocking", measureBlocking},
		{"region", measureRegion},
		{"failing", measureFailing},
		{"chain", measureChain},
		{"outage", measureOutage},
		{"kill", measureKill},
		{"added", measureAdded},
	}
	var table []verdict
	for _, row := range rows {
		b.Run(row.name, func(b *testing.B) {
			for range b.N {
				table = append(table, row.run(b)...)
			}
		})
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "MEASURE\tTARGET\tMEASURED: MEDIAN (RANGE)\tVERDICT")
	for _, v := range table {
		word := "missed"
		if v.met {
			word = "met"
		}
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", v.measure, v.target, v.measured, word)
	}
	_ = w.Flush()
}

// trustFleet is the Trust's roster service with a routing policy, and load reports
// that are renewed once a period.
func trustFleet(b *testing.B, policy reducer.PolicyName, period time.Duration) *experimentFleet {
	b.Helper()
	f := newExperimentFleet(b)
	zones := []string{"amman-1", "amman-2"}
	for i := range trustUpstreams {
		n := f.addNode("amman", zones[i%2], fmt.Sprintf("[routing]\npolicy = %s\nreport_period = %v", policy, period))
		f.addUpstream(n, "roster", trustSlots, trustWork)
	}
	f.publish(experimentPlan("roster"))
	return f
}

// offer runs a load against a fleet, with a seed for each round.
func (f *experimentFleet) offer(e load.Experiment, round int) *load.Result {
	f.b.Helper()
	if len(e.Targets) == 0 {
		e.Targets = f.targets()
	}
	e.Seed = uint64(1000 + round)
	result, err := e.Run(context.Background(), nil)
	f.check(err)
	return result
}

func readKind(weight float64) load.Kind {
	return load.Kind{
		Service: "roster", Name: "read", Method: http.MethodGet, Path: "/roster/crew/@N",
		Weight: weight, Allowance: 400 * time.Millisecond,
	}
}

func signKind(weight float64) load.Kind {
	k := readKind(weight)
	k.Name = "sign"
	k.Method = http.MethodPost
	return k
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// measureTail slows one upstream tenfold while reports are half a second old.
func measureTail(b *testing.B) []verdict {
	policies := []reducer.PolicyName{
		reducer.PolicyExpectedCompletion, reducer.PolicyTwoChoices,
		reducer.PolicyLeastOutstanding, reducer.PolicyRoundRobin, reducer.PolicyRandom,
	}
	slow := map[reducer.PolicyName]samples{}
	var calm samples
	for round := range experimentRounds {
		for _, policy := range policies {
			f := trustFleet(b, policy, staleReports)
			e := load.Experiment{Duration: 4 * time.Second, Rate: 0.8 * trustCapacity, Kinds: []load.Kind{readKind(1)}}
			if policy == reducer.PolicyExpectedCompletion {
				calm = append(calm, milliseconds(f.offer(e, round).Kinds[0].P99))
			}
			timer := time.AfterFunc(time.Second, func() { f.upstreams[3].slowness.Store(10) })
			result := f.offer(e, round)
			timer.Stop()
			k := result.Kinds[0]
			p99 := milliseconds(k.P99)
			if lost := k.Calls - k.Answered; lost*100 > k.Calls {
				// Unanswered calls belong to the tail; they count as the allowance.
				p99 = milliseconds(400 * time.Millisecond)
			}
			slow[policy] = append(slow[policy], p99)
			f.close()
		}
	}
	own := slow[reducer.PolicyExpectedCompletion]
	two := slow[reducer.PolicyTwoChoices]
	text := fmt.Sprintf("%s ms; two-choices %s, least-outstanding %s, round-robin %s, random %s", own.text("%.0f"),
		two.text("%.0f"), slow[reducer.PolicyLeastOutstanding].text("%.0f"),
		slow[reducer.PolicyRoundRobin].text("%.0f"), slow[reducer.PolicyRandom].text("%.0f"))
	return []verdict{
		{"tail: p99 of reads, one upstream 10x slower", "at most half of two-choices", text, own.median() <= two.median()/2},
		{
			"tail: against the run without it", "at most 1.3x",
			fmt.Sprintf("%.2fx of %s ms", own.median()/calm.median(), calm.text("%.0f")), own.median() <= 1.3*calm.median(),
		},
	}
}

// measureRegion offers one region's callers more and less than its own capacity.
func measureRegion(b *testing.B) []verdict {
	var away, excess, quiet samples
	for round := range experimentRounds {
		f := newExperimentFleet(b)
		for _, region := range []string{"amman", "amman", "irbid", "irbid", "aqaba", "aqaba"} {
			n := f.addNode(region, region+"-1")
			f.addUpstream(n, "roster", trustSlots, trustWork)
		}
		f.publish(experimentPlan("roster"))
		own := 2 * trustSlots * float64(time.Second/trustWork)
		e := load.Experiment{
			Targets: f.targets()[:2], Duration: 4 * time.Second, Rate: 0.7 * own, Kinds: []load.Kind{readKind(1)},
		}
		f.offer(e, round)
		quiet = append(quiet, float64(f.counts().CrossRegionBytes))
		elsewhere := func() (calls int64) {
			for _, u := range f.upstreams[2:] {
				calls += u.calls.Load()
			}
			return calls
		}
		before := elsewhere()
		e.Rate = 1.2 * own
		result := f.offer(e, round)
		calls := float64(result.Kinds[0].Calls)
		away = append(away, 100*float64(elsewhere()-before)/calls)
		excess = append(excess, 100*(1-own*e.Duration.Seconds()/calls))
		f.close()
	}
	return []verdict{
		{
			"region: calls sent away at 1.2x", "no more than the excess",
			away.text("%.1f") + " % of calls; excess " + excess.text("%.1f"), away.median() <= excess.median(),
		},
		{"region: bytes of calls sent away at 0.7x", "0", quiet.text("%.0f"), quiet.median() == 0},
	}
}

// measureFailing lets one upstream answer 500 in a millisecond.
func measureFailing(b *testing.B) []verdict {
	var drawn samples
	for round := range experimentRounds {
		f := trustFleet(b, reducer.PolicyExpectedCompletion, 0)
		f.upstreams[2].failing.Store(true)
		before := f.upstreams[2].calls.Load()
		result := f.offer(load.Experiment{
			Duration: 4 * time.Second, Rate: 0.6 * trustCapacity, Kinds: []load.Kind{readKind(1)},
		}, round)
		drawn = append(drawn, 100*float64(f.upstreams[2].calls.Load()-before)/float64(result.Kinds[0].Calls))
		f.close()
	}
	fair := 100.0 / trustUpstreams
	return []verdict{{
		"failing: share drawn by an upstream that fails fast", fmt.Sprintf("at most its fair %.1f %%", fair),
		drawn.text("%.1f") + " %", drawn.median() <= fair,
	}}
}

// measureAdded compares calls through nodes with direct calls, interleaved.
func measureAdded(b *testing.B) []verdict {
	const callsPerRound = 1500
	var one, two, oneMedian, twoMedian samples
	for range experimentRounds {
		f := newExperimentFleet(b)
		entry := f.addNode("amman", "amman-1")
		guard := f.addNode("amman", "amman-1")
		u := f.addUpstream(guard, "roster", trustSlots, 0)
		f.publish(experimentPlan("roster"))
		urls := []string{
			"http://" + u.address + "/roster/x", "http://" + guard.callers + "/roster/x", "http://" + entry.callers + "/roster/x",
		}
		times := make([][]float64, len(urls))
		client := &http.Client{}
		for i := range callsPerRound {
			for j := range urls {
				took := timeCall(b, client, urls[(i+j)%len(urls)])
				times[(i+j)%len(urls)] = append(times[(i+j)%len(urls)], took)
				time.Sleep(time.Second / 62 / 3)
			}
		}
		for _, t := range times {
			slices.Sort(t)
		}
		at := func(i int, share float64) float64 { return times[i][int(share*float64(len(times[i])-1))] }
		one = append(one, at(1, 0.99)-at(0, 0.99))
		two = append(two, at(2, 0.99)-at(0, 0.99))
		oneMedian = append(oneMedian, at(1, 0.5)-at(0, 0.5))
		twoMedian = append(twoMedian, at(2, 0.5)-at(0, 0.5))
		f.close()
	}
	return []verdict{
		{"added: two nodes, 62 calls/s, p99", "at most 0.36 ms", two.text("%.2f") + " ms; median " + twoMedian.text("%.2f"), two.median() <= 0.36},
		{"added: one node, 62 calls/s, p99", "at most 0.36 ms", one.text("%.2f") + " ms; median " + oneMedian.text("%.2f"), one.median() <= 0.36},
	}
}

// timeCall returns the milliseconds that a call takes.
func timeCall(b *testing.B, client *http.Client, url string) float64 {
	b.Helper()
	req, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		b.Fatal(err)
	}
	req.Header.Set(peer.HeaderKind, "read")
	start := time.Now()
	resp, err := client.Do(req)
	if err != nil {
		b.Fatal(err)
	}
	body, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	took := milliseconds(time.Since(start))
	if err != nil || !strings.HasPrefix(string(body), "answer") {
		b.Fatalf("%s: %s %s", url, resp.Status, body)
	}
	return took
}
