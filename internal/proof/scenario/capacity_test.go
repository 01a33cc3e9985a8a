package scenario

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/tanagerline/tanagerline/internal/decision/reducer"
)

// ticksPerSecond is the unit of the processor times in /proc.
const ticksPerSecond = 100

// BenchmarkCapacity starts fleets of several sizes as separate processes, leaves them
// idle, and prints what control costs a node. Run it with -benchtime 1x.
func BenchmarkCapacity(b *testing.B) {
	for _, size := range []int{10, 40, 120} {
		b.Run(fmt.Sprintf("nodes=%d", size), func(b *testing.B) {
			for range b.N {
				measureIdle(b, size)
			}
		})
	}
}

func measureIdle(b *testing.B, size int) {
	const quiet = 20 * time.Second
	f := newExperimentFleet(b)
	defer f.close()
	services := max(1, size/8)
	var plans []reducer.ServicePlan
	for i := range services {
		plans = append(plans, experimentPlan("s"+strconv.Itoa(i)))
	}
	for i := range size {
		n := f.addNode("region-"+strconv.Itoa(i%2), "zone-"+strconv.Itoa(i%7), "[peers]\nexchange = 3s")
		f.addUpstream(n, "s"+strconv.Itoa(i%services), trustSlots, time.Millisecond)
	}
	f.publish(plans...)
	time.Sleep(15 * time.Second)
	cpu, bytes := f.spent()
	time.Sleep(quiet)
	cpuAfter, bytesAfter := f.spent()
	perNode := quiet.Seconds() * float64(size)
	b.ReportMetric(100*(cpuAfter-cpu)/perNode, "%core/node")
	b.ReportMetric(float64(bytesAfter-bytes)/perNode, "controlB/s/node")
	b.ReportMetric(f.memory()/float64(size), "MB/node")
	began := time.Now()
	f.publishAgain(plans)
	b.ReportMetric(time.Since(began).Seconds(), "s/plan")
}

// spent adds up the processor seconds and the control bytes of all nodes.
func (f *experimentFleet) spent() (seconds float64, bytes int64) {
	for _, n := range f.nodes {
		data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", n.cmd.Process.Pid))
		f.check(err)
		fields := strings.Fields(string(data[strings.LastIndexByte(string(data), ')')+1:]))
		for _, i := range []int{11, 12} {
			ticks, err := strconv.ParseFloat(fields[i], 64)
			f.check(err)
			seconds += ticks / ticksPerSecond
		}
		text, err := get("http://" + n.operators + "/-/metrics")
		f.check(err)
		_, after, _ := strings.Cut(text, `"control.bytes":{"value":`)
		var count int64
		_, err = fmt.Sscan(strings.Split(after, "}")[0], &count)
		f.check(err)
		bytes += count
	}
	return seconds, bytes
}

// memory adds up the nodes' resident megabytes.
func (f *experimentFleet) memory() float64 {
	sum := 0.0
	for _, n := range f.nodes {
		data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.cmd.Process.Pid))
		f.check(err)
		_, after, _ := strings.Cut(string(data), "VmRSS:")
		var kilobytes float64
		_, err = fmt.Sscan(after, &kilobytes)
		f.check(err)
		sum += kilobytes / 1024
	}
	return sum
}

// publishAgain replaces the plan and waits until it is in force everywhere.
func (f *experimentFleet) publishAgain(plans []reducer.ServicePlan) {
	f.b.Helper()
	offset := f.statuses()[0].PlanOffset
	body := fmt.Sprintf(`{"id":"again","plan":{"id":"again","base":%d,"operator":"experiment","services":[{"name":%q,"kinds":[{"name":"read","weight":1,"allowance":1000000000,"length":"short","idempotent":true}]}]}}`,
		offset, plans[0].Name)
	resp, err := http.Post(f.logURL+"/streams/tanagerline", "application/json", strings.NewReader(body))
	f.check(err)
	_ = resp.Body.Close()
	for {
		everywhere := true
		for _, s := range f.statuses() {
			everywhere = everywhere && s.PlanOffset > offset
		}
		if everywhere {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}
