package scenario

import (
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/tanagerline/tanagerline/internal/decision/reducer"
	"github.com/tanagerline/tanagerline/internal/operator/load"
)

// measureCrest swings the demand from 0.3 to 1.5 times the capacity each second.
func measureCrest(b *testing.B) []verdict {
	const base, crest, signShare = 0.3, 1.5, 0.2
	var share, calm, retries samples
	for round := range experimentRounds {
		f := trustFleet(b, reducer.PolicyExpectedCompletion, 0)
		before := f.counts()
		result := f.offer(load.Experiment{
			Duration: 6 * time.Second, Rate: base * trustCapacity, Crest: crest * trustCapacity, Period: time.Second,
			Kinds: []load.Kind{readKind(1 - signShare), signKind(signShare)},
		}, round)
		after := f.counts()
		read, sign := result.Kinds[0], result.Kinds[1]
		earned := float64(3*read.Crest.OnTime + 5*sign.Crest.OnTime)
		capacity := float64(read.Crest.Calls+sign.Crest.Calls) / crest
		allowed := 5*float64(sign.Crest.Calls) + 3*(capacity-float64(sign.Crest.Calls))
		share = append(share, 100*earned/allowed)
		calm = append(calm, 100*float64(read.Calm.OnTime+sign.Calm.OnTime)/float64(read.Calm.Calls+sign.Calm.Calls))
		retries = append(retries, 100*float64(after.Retries-before.Retries)/float64(after.Calls-before.Calls))
		f.close()
	}
	return []verdict{
		{"crest: weighted on-time answers of what capacity allows", "at least 95%", share.text("%.1f") + " %", share.median() >= 95},
		{"crest: on time from 200 ms after it", "at least 99%", calm.text("%.1f") + " %", calm.median() >= 99},
		{"crest: retries", "below 10% of calls", retries.text("%.2f") + " %", retries.median() < 10},
	}
}

// measureBlocking adds uploads that would take half of the slots' time.
func measureBlocking(b *testing.B) []verdict {
	var with, without, done, overhead samples
	probes := int64(0)
	for round := range experimentRounds {
		f := trustFleet(b, reducer.PolicyExpectedCompletion, 0)
		for _, u := range f.upstreams {
			u.longWork.Store(int64(600 * time.Millisecond))
		}
		lookups := 0.35 * trustCapacity
		uploads := 0.5 * float64(trustUpstreams*trustSlots) / 0.6
		e := load.Experiment{Duration: 5 * time.Second, Rate: lookups, Kinds: []load.Kind{readKind(1)}}
		without = append(without, milliseconds(f.offer(e, round).Kinds[0].P99))
		before := f.counts()
		e.Rate = lookups + uploads
		e.Kinds = []load.Kind{readKind(lookups), {
			Service: "roster", Name: "upload", Method: http.MethodPost, Path: "/roster/evidence/@N",
			Weight: uploads, BodyBytes: 1 << 20, Allowance: 20 * time.Second,
		}}
		result := f.offer(e, round)
		with = append(with, milliseconds(result.Kinds[0].P99))
		done = append(done, 100*float64(result.Kinds[1].OnTime)/float64(result.Kinds[1].Calls))
		after := f.counts()
		for _, u := range f.upstreams {
			probes += u.needlessProbes.Load()
		}
		calls := after.Started - before.Started
		const loadHeaderBytes = 40
		body := float64(result.Kinds[1].Calls) * (1 << 20)
		overhead = append(overhead, 100*float64(calls)*loadHeaderBytes/(body+float64(calls)*600))
		f.close()
	}
	ratio := with.median() / without.median()
	return []verdict{
		{
			"blocking: p99 of lookups beside uploads", "at most 1.2x",
			fmt.Sprintf("%.2fx: %s ms, without %s", ratio, with.text("%.1f"), without.text("%.1f")), ratio <= 1.2,
		},
		{"blocking: uploads on time", "all finish", done.text("%.1f") + " %", done.median() >= 99.9},
		{"measuring: probes within a second of an answer", "0", strconv.FormatInt(probes, 10), probes == 0},
		{"measuring: load reports, of all bytes with uploads", "below 1%", overhead.text("%.3f") + " %", overhead.median() < 1},
	}
}

// measureChain calls through 15 services, the last of which is overloaded.
func measureChain(b *testing.B) []verdict {
	const depth = 15
	var most, answered samples
	for round := range experimentRounds {
		f := newExperimentFleet(b)
		var plans []reducer.ServicePlan
		for i := range depth {
			name := "s" + strconv.Itoa(i)
			n := f.addNode("amman", "amman-1")
			u := f.addUpstream(n, name, 64, time.Millisecond)
			u.callers = n.callers
			if i < depth-1 {
				u.next = "/s" + strconv.Itoa(i+1) + "/x"
			}
			plans = append(plans, experimentPlan(name))
		}
		last := f.upstreams[depth-1]
		last.slots = make(chan struct{}, 4)
		last.work.Store(int64(40 * time.Millisecond))
		f.publish(plans...)
		result := f.offer(load.Experiment{
			Targets: f.targets()[:1], Duration: 4 * time.Second, Rate: 200,
			Kinds: []load.Kind{{Service: "s0", Name: "read", Method: http.MethodGet, Path: "/s0/x", Weight: 1, Allowance: 400 * time.Millisecond}},
		}, round)
		worst := 0.0
		for _, u := range f.upstreams {
			worst = max(worst, float64(u.calls.Load())/float64(result.Kinds[0].Calls))
		}
		most = append(most, worst)
		answered = append(answered, float64(result.Kinds[0].OnTime)/4)
		f.close()
	}
	return []verdict{{
		"chain: calls at any of 15 levels, the last overloaded 2x", "at most 1.1x of callers' calls",
		most.text("%.2f") + "x; " + answered.text("%.0f") + " of 200 a second in time", most.median() <= 1.1,
	}}
}

// measureOutage offers the same load with the log up and with the log gone.
func measureOutage(b *testing.B) []verdict {
	var ratio samples
	for round := range experimentRounds {
		f := trustFleet(b, reducer.PolicyExpectedCompletion, 0)
		sign := signKind(0.3)
		sign.ResendShare = 0.2
		e := load.Experiment{
			Duration: 4 * time.Second, Rate: 0.7 * trustCapacity, Kinds: []load.Kind{readKind(0.7), sign},
		}
		onTime := func() float64 {
			result := f.offer(e, round)
			return float64(result.Kinds[0].OnTime+result.Kinds[1].OnTime) / float64(result.Kinds[0].Calls+result.Kinds[1].Calls)
		}
		up := onTime()
		f.check(f.log.Close())
		ratio = append(ratio, 100*onTime()/up)
		f.close()
	}
	return []verdict{{
		"outage: calls on time without the log, of those with it", "at least 99%", ratio.text("%.1f") + " %", ratio.median() >= 99,
	}}
}

// measureKill kills one of seven nodes and counts the calls that get "unknown", by
// the type of their key, from then on.
func measureKill(b *testing.B) []verdict {
	var reads, keyless, chosen samples
	for round := range experimentRounds {
		f := trustFleet(b, reducer.PolicyExpectedCompletion, 0)
		own := signKind(0.3)
		own.ResendShare = 1
		e := load.Experiment{
			Targets: f.targets()[:trustUpstreams-1], Duration: 4 * time.Second, Rate: 0.5 * trustCapacity,
			Kinds: []load.Kind{readKind(0.4), signKind(0.3), own},
		}
		f.offer(e, round)
		timer := time.AfterFunc(100*time.Millisecond, func() { _ = f.nodes[trustUpstreams-1].cmd.Process.Kill() })
		result := f.offer(e, round)
		timer.Stop()
		share := func(i int) float64 {
			return 100 * float64(result.Kinds[i].Unknown) / float64(result.Kinds[i].Calls)
		}
		reads = append(reads, share(0))
		keyless = append(keyless, share(1))
		chosen = append(chosen, share(2))
		f.close()
	}
	part := 100.0 / trustUpstreams
	return []verdict{
		{
			"kill: unknown among the callers' own keys", fmt.Sprintf("at most 1 in 7, %.1f %%", part),
			chosen.text("%.1f") + " %", chosen.median() <= part,
		},
		{"kill: unknown among keyless calls", "at most 1 %", keyless.text("%.2f") + " %", keyless.median() <= 1},
		{"kill: unknown among reads", "at most 1 %", reads.text("%.2f") + " %", reads.median() <= 1},
	}
}
