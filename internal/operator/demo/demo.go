package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/samber/oops"

	"github.com/tanagerline/tanagerline/internal/decision/reducer"
	"github.com/tanagerline/tanagerline/internal/operator/console"
	"github.com/tanagerline/tanagerline/internal/operator/load"
	"github.com/tanagerline/tanagerline/internal/operator/report"
	"github.com/tanagerline/tanagerline/internal/operator/sheet"
	"github.com/tanagerline/tanagerline/internal/store/stream"
)

const (
	loadDuration  = 5 * time.Second
	slowFrom      = 1500 * time.Millisecond
	drainFrom     = 3 * time.Second
	slowdown      = 60 * time.Millisecond
	uploadBytes   = 2 << 20
	demoRate      = 120
	demoSeed      = 7
	operatorsWait = 3 * time.Second
)

// demoSheet is the sheet as a spreadsheet exports it.
const demoSheet = "\xef\xbb\xbfrow,service,name,weight,deadline,length,idempotent,state\r\n" +
	"kind,records,read,8,2s,short,yes,\r\n" +
	"kind,records,certify,10,3s,short,no,\r\n" +
	"kind,records,evidence,2,20s,long,no,\r\n" +
	"region,records,\"levant\",1,,,,\r\n" +
	",,,,,,,\r\n"

// Run runs the demonstration and reports to w. It returns an error that names
// every count that is not right.
func Run(ctx context.Context, w io.Writer) error {
	_, _ = fmt.Fprintln(w, "starting an in-memory log and three nodes with an upstream each, in two zones")
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f, err := startFleet(ctx)
	if err != nil {
		return err
	}
	if err := f.publish(ctx); err != nil {
		return err
	}
	_, _ = fmt.Fprintln(w, "the sheet is in force at every node; offering calls, with a slow upstream and then a drain")
	result, err := f.offer(ctx, w)
	if err != nil {
		return err
	}
	if err := result.WriteTable(w); err != nil {
		return err
	}
	rows, err := f.burn(ctx)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintln(w)
	if err := report.WriteBurn(w, rows); err != nil {
		return err
	}
	if err := f.stop(); err != nil {
		return err
	}
	return f.check(w, result)
}

// publish appends the sheet's plan and waits until it is in force everywhere.
func (f *fleet) publish(ctx context.Context) error {
	services, err := sheet.Parse([]byte(demoSheet))
	if err != nil {
		return err
	}
	plan := reducer.PlanSpec{ID: "plan-" + uuid.NewString(), Operator: "demo", Services: services}
	appender := &stream.Appender{Log: f.log}
	if _, err := appender.Append(ctx, reducer.Record{ID: plan.ID, Plan: &plan}, 1); err != nil {
		return err
	}
	deadline := time.Now().Add(readyWait)
	for time.Now().Before(deadline) {
		if f.ready(ctx, plan.ID) {
			return nil
		}
		time.Sleep(readyPoll)
	}
	return oops.Errorf("the plan was not in force at every node within %v; run the demo on a machine that is less busy", readyWait)
}

// ready reports whether every node has the plan, knows all members and sees the
// home table shared out.
func (f *fleet) ready(ctx context.Context, planID string) bool {
	for _, n := range f.nodes {
		resp, err := f.console(n).Status(ctx, &console.StatusRequest{})
		if err != nil || resp.GetPlanId() != planID {
			return false
		}
		var status reducer.Status
		if json.Unmarshal(resp.GetJson(), &status) != nil {
			return false
		}
		if len(status.Members) != len(f.nodes) || len(status.Tables) == 0 || len(status.Tables[0].Owners) != len(f.nodes) {
			return false
		}
	}
	return true
}

func (f *fleet) console(n *fleetNode) console.Console {
	return console.NewConsoleProtobufClient("http://"+n.settings.Listen.Operators, &http.Client{Timeout: operatorsWait})
}

// offer runs the load; meanwhile one upstream becomes slow and another drains.
func (f *fleet) offer(ctx context.Context, w io.Writer) (*load.Result, error) {
	e := load.Experiment{
		Duration: loadDuration, Rate: demoRate, Seed: demoSeed,
		Kinds: []load.Kind{
			{Service: "records", Name: "read", Method: http.MethodGet, Path: "/records/crew/@N", Weight: 8, Allowance: 2 * time.Second},
			{
				Service: "records", Name: "certify", Method: http.MethodPost, Path: "/records/certifications/@N", Weight: 3,
				BodyBytes: 300, Allowance: 3 * time.Second, ResendShare: 0.5,
			},
			{
				Service: "records", Name: "evidence", Method: http.MethodPost, Path: "/records/evidence/@N", Weight: 0.5,
				BodyBytes: uploadBytes, Allowance: 20 * time.Second,
			},
		},
	}
	for _, n := range f.nodes {
		e.Targets = append(e.Targets, n.settings.Listen.Callers)
	}
	slow := time.AfterFunc(slowFrom, func() {
		_, _ = fmt.Fprintf(w, "upstream %s answers %v later from now on\n", f.upstreams[1].name, slowdown)
		f.upstreams[1].slowdown.Store(int64(slowdown))
	})
	defer slow.Stop()
	drain := time.AfterFunc(drainFrom, func() {
		_, _ = fmt.Fprintf(w, "upstream %s drains from now on\n", f.upstreams[2].name)
		_ = f.upstreams[2].drain(ctx)
	})
	defer drain.Stop()
	return e.Run(ctx, nil)
}

func (f *fleet) burn(ctx context.Context) ([]reducer.BurnRow, error) {
	var nodes [][]reducer.BurnRow
	for _, n := range f.nodes {
		resp, err := f.console(n).Burn(ctx, &console.BurnRequest{})
		if err != nil {
			return nil, oops.Wrapf(err, "ask node %s", n.settings.Listen.Operators)
		}
		nodes = append(nodes, console.BurnRows(resp))
	}
	return report.MergeBurn(nodes), nil
}

// CountError is a count of the demonstration that is not right.
type CountError struct {
	What string
	Got  int
	Want int
}

// Error names the count.
func (e CountError) Error() string {
	return fmt.Sprintf("%s: got %d, want %d", e.What, e.Got, e.Want)
}

// check compares what callers got with what the upstreams ran.
func (f *fleet) check(w io.Writer, result *load.Result) error {
	var wrong []error
	expect := func(what string, got, want int) {
		if got != want {
			wrong = append(wrong, CountError{What: what, Got: got, Want: want})
		}
	}
	keyedCalls := 0
	for _, k := range result.Kinds {
		expect(k.Kind+" answered", k.Answered, k.Calls)
		expect(k.Kind+" on time", k.OnTime, k.Calls)
		expect(k.Kind+" resends with another answer", k.Differing, 0)
		if k.Kind != "records/read" {
			keyedCalls += k.Calls
		}
	}
	f.ledger.mu.Lock()
	defer f.ledger.mu.Unlock()
	doubled := 0
	for _, runs := range f.ledger.runs {
		if runs > 1 {
			doubled++
		}
	}
	expect("keys that ran", len(f.ledger.runs), keyedCalls)
	expect("keys that ran more than once", doubled, 0)
	_, _ = fmt.Fprintf(w, "\n%d non-idempotent calls, %d keys ran, %d more than once; %d requests reached the draining upstream after its drain\n",
		keyedCalls, len(f.ledger.runs), doubled, f.upstreams[2].begunAfterDrain.Load())
	return joinCounts(wrong)
}

func joinCounts(wrong []error) error {
	if len(wrong) == 0 {
		return nil
	}
	text := ""
	for _, err := range wrong {
		text += "\n  " + err.Error()
	}
	return oops.Errorf("counts are not right:%s", text)
}
