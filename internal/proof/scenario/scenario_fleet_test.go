package scenario

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/tanagerline/tanagerline/internal/decision/reducer"
	"github.com/tanagerline/tanagerline/internal/operator/console"
)

// nodeCommand writes a node's settings, as config does, and starts the node.
func nodeCommand(ts *testscript.TestScript, neg bool, args []string) {
	configCommand(ts, neg, args)
	serveCommand(ts, neg, []string{args[0], "tanagerline", "node", "--config", args[0] + ".ini"})
	awaitCommand(ts, neg, []string{"http://" + ts.Getenv(args[0]+"_operators") + "/-/healthz"})
}

// backendCommand starts an upstream beside a node; its address is kept in NAME.
func backendCommand(ts *testscript.TestScript, neg bool, args []string) {
	check(ts, !neg && len(args) >= 3, "backend NAME NODE SERVICE [FLAG...]")
	if ts.Getenv(args[0]) == "" {
		portsCommand(ts, false, args[:1])
	}
	words := []string{
		args[0], "upstream", "-name", args[0], "-listen", ts.Getenv(args[0]),
		"-node", ts.Getenv(args[1] + "_upstream"), "-service", args[2],
	}
	serveCommand(ts, false, append(words, args[3:]...))
}

// publishCommand publishes a sheet through a node and expects success.
func publishCommand(ts *testscript.TestScript, neg bool, args []string) {
	check(ts, !neg && len(args) == 2, "publish FILE NODE")
	ts.Check(ts.Exec("tanagerline", "sheet", "publish", "--node", ts.Getenv(args[1]+"_operators"),
		"--log", "http://"+ts.Getenv("LOG"), args[0]))
}

func statusOf(ts *testscript.TestScript, node string) (reducer.Status, error) {
	client := console.NewConsoleProtobufClient("http://"+ts.Getenv(node+"_operators"), &http.Client{Timeout: 2 * time.Second})
	resp, err := client.Status(context.Background(), &console.StatusRequest{})
	if err != nil {
		return reducer.Status{}, err
	}
	var status reducer.Status
	err = json.Unmarshal(resp.GetJson(), &status)
	return status, err
}

func tableOf(status reducer.Status, service string) (reducer.TableSnapshot, bool) {
	i := slices.IndexFunc(status.Tables, func(t reducer.TableSnapshot) bool { return t.Service == service })
	if i < 0 {
		return reducer.TableSnapshot{}, false
	}
	return status.Tables[i], true
}

// homesCommand waits until every named node shows that exactly the named nodes
// are home to a service's keys and can take its work.
func homesCommand(ts *testscript.TestScript, neg bool, args []string) {
	check(ts, !neg && len(args) >= 2, "homes SERVICE NODE...")
	deadline := time.Now().Add(scenarioWait)
	why := ""
	for time.Now().Before(deadline) {
		why = ""
		for _, node := range args[1:] {
			if problem := homesProblem(ts, node, args[0], args[1:]); problem != "" {
				why = node + ": " + problem
			}
		}
		if why == "" {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	ts.Fatalf("homes of %s: %s", args[0], why)
}

// membersCommand waits until every named node knows a number of a service's upstreams
// that can take work.
func membersCommand(ts *testscript.TestScript, neg bool, args []string) {
	check(ts, !neg && len(args) >= 3, "members SERVICE COUNT NODE...")
	want, err := strconv.Atoi(args[1])
	ts.Check(err)
	deadline := time.Now().Add(scenarioWait)
	for _, node := range args[2:] {
		for {
			status, err := statusOf(ts, node)
			if err == nil && usableMembers(status, args[0]) == want {
				break
			}
			if time.Now().After(deadline) {
				ts.Fatalf("%s does not know %d upstreams of %s", node, want, args[0])
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}

func usableMembers(status reducer.Status, service string) int {
	usable := 0
	for _, m := range status.Members {
		if m.Usable && m.Service == service {
			usable++
		}
	}
	return usable
}

func homesProblem(ts *testscript.TestScript, node, service string, homes []string) string {
	status, err := statusOf(ts, node)
	if err != nil {
		return err.Error()
	}
	table, ok := tableOf(status, service)
	if !ok || len(table.Owners) != len(homes) {
		return fmt.Sprintf("%d owners", len(table.Owners))
	}
	if !level(table) {
		return "the shares are not level yet"
	}
	if usable := usableMembers(status, service); usable != len(homes) {
		return fmt.Sprintf("%d usable members", usable)
	}
	for _, home := range homes {
		address := ts.Getenv(home + "_peers")
		if !slices.ContainsFunc(table.Owners, func(o reducer.Owner) bool { return o.Address == address }) {
			return home + " owns nothing"
		}
	}
	return ""
}

// level reports whether the owners' numbers of shares differ by one at most, so that
// no handover is to be expected.
func level(table reducer.TableSnapshot) bool {
	counts := make([]int, len(table.Owners))
	for _, owner := range table.OwnerIndexes {
		counts[owner]++
	}
	return slices.Max(counts)-slices.Min(counts) <= 1
}

// keyHomeCommand sets a variable to a key whose home is the named node, as the
// node AT sees it. A dated key is a ULID of the present.
func keyHomeCommand(ts *testscript.TestScript, neg bool, args []string) {
	check(ts, !neg && len(args) >= 4, "keyhome VARIABLE SERVICE HOME AT [dated]")
	status, err := statusOf(ts, args[3])
	ts.Check(err)
	table, ok := tableOf(status, args[1])
	if !ok {
		ts.Fatalf("no table of %s", args[1])
	}
	address := ts.Getenv(args[2] + "_peers")
	for n := range 10_000 {
		key := "booking-" + args[0] + "-" + strconv.Itoa(n)
		if len(args) == 5 {
			var id ulid.ULID
			ts.Check(id.SetTime(ulid.Now()))
			id[14], id[15] = byte(n>>8), byte(n)
			key = id.String()
		}
		h := fnv.New64a()
		_, _ = h.Write([]byte(key))
		share := table.OwnerIndexes[h.Sum64()%uint64(len(table.OwnerIndexes))]
		if table.Owners[share].Address == address {
			ts.Setenv(args[0], key)
			return
		}
	}
	ts.Fatalf("%s is home to nothing", args[2])
}

// planOffsetCommand sets a variable to the offset of the plan in force at a node.
func planOffsetCommand(ts *testscript.TestScript, neg bool, args []string) {
	check(ts, !neg && len(args) == 2, "planoffset NODE VARIABLE")
	status, err := statusOf(ts, args[0])
	ts.Check(err)
	ts.Setenv(args[1], strconv.FormatInt(status.PlanOffset, 10))
}
